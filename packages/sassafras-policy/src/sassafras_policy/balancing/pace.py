"""How many calls a target that starts or recovers may run at once."""

# Part of the slots that a target gets before it has answered.
_INITIAL_SHARE = 1 / 16
_MIN_INITIAL = 2.0
# Answers that decide about the next step; fewer below a limit of as many.
_ROUND_SIZE = 16
# Growth for each round of good answers, and after a step that made them worse.
_GROWTH = 2.0
_CAREFUL_GROWTH = 1.25
# A step made the answers worse if they take longer by these factors, compared
# with other targets and with the target's own answers before. What is usual at
# other targets is not known well while a whole service starts.
_WORSE_RATIO = 1.5
_WORSE_OWN_RATIO = 1.25
# Part of the slots beyond which some targets slow down.
_HEADROOM_SHARE = 0.95
# Weight of one call in the times beyond that part and below it.
_TIME_WEIGHT = 1 / 32
_MIN_TIMES = 32
# The last slots cost more than they add if calls take longer by this factor.
_CROWDED_RATIO = 1.15
# Calls for which the last slots are left free at first, so that there are times
# to compare with even if calls arrive for all slots from the start.
_FIRST_CALLS = 256
# Calls after which the last slots are tried again.
_CROWDED_CALLS = 5_000


class Pace:
    """A limit that doubles as long as the target answers well.

    A round consists of as many calls as may run at once, all of which started
    after the last step, so a step takes about the time of a call. It is good
    unless its calls fail, or take longer than before the step, each compared
    with the time that is usual at the other targets at that moment. Where all
    targets of a service start together, none is held back. A target that fails
    every call is left with a single one at a time.

    Attributes:
      limit: Calls that may run at once.
      is_starting: Whether other targets answer while this one has not reached
        all of its slots since its start.
    """

    def __init__(self, slots: int) -> None:
        self._slots = max(1, slots)
        self._allowed = float(self._slots)
        self._growth = _GROWTH
        self._has_grown = False
        self._is_doubted = False
        self._best = 0.0
        self._round_start = 0.0
        self._answers = 0
        self._successes = 0
        self._relative_sum = 0.0
        self._own_sum = 0.0
        self._crowded_time = 0.0
        self._free_time = 0.0
        self._crowded_count = 0
        self._free_count = 0
        self._crowded_until = _FIRST_CALLS
        self.limit = 1
        self.is_starting = False
        self._update_limit()

    @property
    def is_open(self) -> bool:
        """Whether the target may run as many calls as it has slots."""
        return self._allowed >= self._slots

    def hold_back(self) -> None:
        """Begins with few calls, as the other targets have answered already."""
        self._allowed = min(
            float(self._slots),
            max(_MIN_INITIAL, self._slots * _INITIAL_SHARE),
        )
        self.is_starting = not self.is_open
        self._update_limit()

    def resize(self, slots: int) -> None:
        """Changes the number of announced slots."""
        was_open = self.is_open
        self._slots = max(1, slots)
        if was_open or self.is_open:
            self._allowed = float(self._slots)
        self._update_limit()

    def observe(
        self,
        started_at: float,
        relative: float,
        own_relative: float,
        succeeded: bool,
        in_flight: int,
        now: float,
    ) -> bool:
        """Records a call that ended at the target.

        Args:
          started_at: When it was sent to the target.
          relative: Its time, as a multiple of what is usual at the targets of
            the service.
          own_relative: The same, of what was usual at this target before.
          succeeded: Whether the target answered it without an error.
          in_flight: Calls that were running when it started.
          now: The current time.

        Returns:
          Whether the target may run as many calls as it has slots.
        """
        is_open = self._allowed >= self._slots
        if succeeded and is_open:
            self._observe_crowding(relative, in_flight)
        if started_at < self._round_start:
            return is_open
        self._answers += 1
        if succeeded:
            self._successes += 1
            self._relative_sum += relative
            self._own_sum += own_relative
        if self._answers >= min(self._allowed, _ROUND_SIZE):
            self._close_round(now)
        return self._allowed >= self._slots

    def _close_round(self, now: float) -> None:
        answers, successes = self._answers, self._successes
        mean = self._relative_sum / max(1, successes)
        own_mean = self._own_sum / max(1, successes)
        self._answers = self._successes = 0
        self._relative_sum = self._own_sum = 0.0
        allowed = self._allowed
        if not successes:
            allowed = max(1.0, allowed / _GROWTH)
            self._growth = _GROWTH
            self._best = 0.0
        elif (
            self._has_grown
            and mean > _WORSE_RATIO * self._best > 0.0
            and own_mean > _WORSE_OWN_RATIO
        ):
            allowed = max(1.0, allowed / self._growth)
            self._growth = _CAREFUL_GROWTH
            self._is_doubted = True
        else:
            if self._is_doubted or not self._best:
                # Answers that stay slow after the step back are not due to the
                # number of calls.
                self._best = mean
                self._is_doubted = False
            self._best = min(self._best, mean)
            if 2 * successes >= answers:
                allowed = min(float(self._slots), allowed * self._growth)
        self._has_grown = allowed > self._allowed
        if allowed != self._allowed:
            self._allowed = allowed
            self._round_start = now
            self._update_limit()

    def _observe_crowding(self, relative: float, in_flight: int) -> None:
        """Finds out whether the target slows down at its last slots."""
        if self._crowded_until:
            self._crowded_until -= 1
            if not self._crowded_until:
                self._crowded_count = 0
                self._update_limit()
        if in_flight > _HEADROOM_SHARE * self._slots:
            self._crowded_count += 1
            self._crowded_time += max(_TIME_WEIGHT, 1 / self._crowded_count) * (
                relative - self._crowded_time
            )
        else:
            self._free_count += 1
            self._free_time += max(_TIME_WEIGHT, 1 / self._free_count) * (
                relative - self._free_time
            )
        if (
            not self._crowded_until
            and self._crowded_count >= _MIN_TIMES
            and self._free_count >= _MIN_TIMES
            and self._crowded_time > _CROWDED_RATIO * self._free_time
        ):
            self._crowded_until = _CROWDED_CALLS
            self._update_limit()

    def _update_limit(self) -> None:
        limit = self._allowed
        if limit >= self._slots:
            self.is_starting = False
        if self._crowded_until:
            limit = min(limit, _HEADROOM_SHARE * self._slots)
        self.limit = max(1, int(limit))
