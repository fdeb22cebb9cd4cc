"""The retry guard, which limits the retries of one node."""

import collections
import dataclasses

_WINDOW_S = 10
_RATIO = 0.1

# A node with little traffic must be able to use the full allowance of a few
# requests.
_FLOOR = 10

# Stages of a request that are told apart; later ones count as the last.
_STAGES = 4


def _by_stage() -> list[int]:
    return [0] * _STAGES


@dataclasses.dataclass(slots=True)
class _SecondCounts:
    second: int
    first_attempts: int = 0
    asked: list[int] = dataclasses.field(default_factory=_by_stage)
    taken: list[int] = dataclasses.field(default_factory=_by_stage)


class RetryGuard:
    """Keeps a node's retries below a ratio of its first attempts.

    A few retries in each window are always allowed. The retry allowance bounds
    one root request; the guard bounds the load that many failing requests
    together add to an overloaded service.
    """

    def __init__(
        self,
        ratio: float = _RATIO,
        floor: float = _FLOOR,
        window_s: float = _WINDOW_S,
    ) -> None:
        """Sets the bounds.

        Args:
          ratio: Retries allowed for each first attempt.
          floor: Retries allowed in each window regardless of traffic.
          window_s: Length of the window in seconds.
        """
        self._ratio = ratio
        self._floor = floor
        self._window_s = window_s
        self._seconds: collections.deque[_SecondCounts] = collections.deque()

    def set_floor(self, floor: float) -> None:
        """Changes the retries that are allowed regardless of traffic."""
        self._floor = floor

    def count_first_attempt(self, now: float) -> None:
        """Counts a call that is not a retry."""
        self._current_second(now).first_attempts += 1

    def take(self, now: float, stage: int = 0) -> bool:
        """Returns whether one more retry is allowed, and if so counts it.

        A call that fails for good fails its request, with all calls that were
        made for it before. So a call may take only what the calls of later
        stages have not asked for in the window.

        Args:
          now: The current time.
          stage: How many calls of the same request have succeeded before.
        """
        stage = min(stage, _STAGES - 1)
        current = self._current_second(now)
        current.asked[stage] += 1
        first_attempts = sum(item.first_attempts for item in self._seconds)
        allowed = max(self._floor, int(first_attempts * self._ratio))
        taken = sum(sum(item.taken) for item in self._seconds)
        reserved = sum(
            sum(item.taken[: stage + 1]) + sum(item.asked[stage + 1 :])
            for item in self._seconds
        )
        if max(taken, reserved) >= allowed:
            return False
        current.taken[stage] += 1
        return True

    def refund(self, now: float) -> None:
        """Reverts the count of a retry of stage 0 that was not made."""
        current = self._current_second(now)
        if current.taken[0] > 0:
            current.taken[0] -= 1

    def _current_second(self, now: float) -> _SecondCounts:
        second = int(now)
        if self._seconds and self._seconds[-1].second == second:
            # Those that are too old were removed when it was added.
            return self._seconds[-1]
        while self._seconds and (
            self._seconds[0].second <= second - self._window_s
        ):
            self._seconds.popleft()
        self._seconds.append(_SecondCounts(second))
        return self._seconds[-1]
