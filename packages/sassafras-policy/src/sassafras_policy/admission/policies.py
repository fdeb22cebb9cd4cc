"""Admission policies of a target, selected by name in the settings."""

import dataclasses
from typing import ClassVar
from typing import Protocol

from sassafras_base import registry
from sassafras_policy.admission import concurrency
from sassafras_policy.admission import levels
from sassafras_policy.admission import priorities
from sassafras_policy.admission import queueing
from sassafras_policy.calls import messages
from sassafras_policy.calls import reports

# Maximum wait of the more important classes, in service times of the target.
_MAX_WAIT_SERVICE_TIMES = 2.0

# Part of the time left to its deadline that a sub-call may wait for a slot.
_SUB_CALL_WAIT_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class Decision:
    """Whether a call may go to the target now.

    Attributes:
      admitted: Whether it may start at once; its slot is then taken.
      level: Admission level; calls of this rank and above are refused.
      ticket: Its queue ticket if it may wait, else None.
      displaced: The ticket of a less important call that must be refused in
        its favour, or None.
    """

    admitted: bool
    level: int
    ticket: queueing.Ticket | None = None
    displaced: queueing.Ticket | None = None


@dataclasses.dataclass(slots=True)
class Release:
    """Calls that left the queue after a slot became free.

    Attributes:
      admitted: Calls that may start; their slots are taken.
      late: Calls whose deadlines have passed; they must be refused.
    """

    admitted: tuple[queueing.Ticket, ...] = ()
    late: tuple[queueing.Ticket, ...] = ()


class AdmissionPolicy(Protocol):
    """Decides which calls one target executes.

    The owner of the policy waits on behalf of queued calls and reports the
    end of each call.

    Attributes:
      uses_answers: Whether the policy needs `observe`.
    """

    uses_answers: ClassVar[bool]

    @property
    def load(self) -> float:
        """Ratio of the calls in flight to the limit."""
        ...

    @property
    def limit(self) -> int:
        """Maximum number of concurrent calls."""
        ...

    @property
    def scale(self) -> priorities.PriorityScale:
        """The priorities of the active configuration."""
        ...

    def level(self, now: float) -> int:
        """Returns the admission level."""
        ...

    def room(self, now: float) -> reports.Room | None:
        """Returns the room to report with responses; None to report none."""
        ...

    def resize(self, slots: int, scale: priorities.PriorityScale) -> None:
        """Changes the number of announced slots and the priorities."""
        ...

    def decide(self, context: messages.CallContext, now: float) -> Decision:
        """Decides on a call that has just arrived."""
        ...

    def paused(self) -> None:
        """Records that a running call started to wait for another service."""
        ...

    def resumed(self) -> None:
        """Records that a paused call continues."""
        ...

    def finished(self, latency_s: float, success: bool, now: float) -> None:
        """Releases the slot of a call and records its latency for the limit.

        Args:
          latency_s: Time at the target, excluding its calls to other services.
          success: Whether the target responded without an error.
          now: The current time.
        """
        ...

    def observe(
        self,
        started_at: float,
        relative: float,
        own_relative: float,
        succeeded: bool,
        in_flight: int,
        now: float,
    ) -> bool:
        """Records how a call that reached the target ended.

        Args:
          started_at: When it was sent to the target.
          relative: Its time, as a multiple of what is usual at the targets of
            the service.
          own_relative: The same, of what was usual at this target before.
          succeeded: Whether the target answered it without an error.
          in_flight: Calls that were running when it started.
          now: The current time.

        Returns:
          Whether the limit is not kept below the slots by a pace.
        """
        ...

    @property
    def in_flight(self) -> int:
        """Calls that run at the target."""
        ...

    @property
    def slots(self) -> int:
        """Calls that the target announced that it can run at once."""
        ...

    @property
    def is_open(self) -> bool:
        """Whether the limit is not kept below the slots by a pace."""
        ...

    def hold_back(self) -> None:
        """Begins with few calls, at a target that starts beside others."""
        ...

    def release_unused(self) -> None:
        """Releases the slot of a call without recording its latency.

        The call never went to the target, or got an error response.
        """
        ...

    def release(self, now: float) -> Release:
        """Releases calls from the queue while there are free slots."""
        ...

    def abandon(self, ticket: queueing.Ticket, now: float) -> None:
        """Removes a call that stopped waiting from the queue."""
        ...


admission_policies: registry.Registry[type[AdmissionPolicy]] = (
    registry.Registry("admission policy")
)


class _Unpaced:
    """Parts of a policy that lets targets start with all of their slots."""

    _in_flight: int
    _slots: int

    def observe(
        self,
        started_at: float,
        relative: float,
        own_relative: float,
        succeeded: bool,
        in_flight: int,
        now: float,
    ) -> bool:
        """See AdmissionPolicy."""
        return True

    @property
    def in_flight(self) -> int:
        """See AdmissionPolicy."""
        return self._in_flight

    @property
    def slots(self) -> int:
        """See AdmissionPolicy."""
        return self._slots

    @property
    def is_open(self) -> bool:
        """See AdmissionPolicy."""
        return True

    def hold_back(self) -> None:
        """See AdmissionPolicy."""


class _Baseline(_Unpaced):
    """Counts calls in flight; has no queue and an open level."""

    # A call that waits for another service counts like any other.

    uses_answers: ClassVar[bool] = False

    def __init__(self, slots: int, scale: priorities.PriorityScale) -> None:
        self._in_flight = 0
        self.resize(slots, scale)

    @property
    def load(self) -> float:
        """See AdmissionPolicy."""
        return self._in_flight / self._slots

    @property
    def limit(self) -> int:
        """See AdmissionPolicy."""
        return self._slots

    @property
    def scale(self) -> priorities.PriorityScale:
        """See AdmissionPolicy."""
        return self._scale

    def level(self, now: float) -> int:
        """See AdmissionPolicy."""
        del now
        return self._scale.open_level

    def room(self, now: float) -> reports.Room | None:
        """See AdmissionPolicy."""
        del now
        return None

    def resize(self, slots: int, scale: priorities.PriorityScale) -> None:
        """See AdmissionPolicy."""
        self._slots = max(1, slots)
        self._scale = scale

    def finished(self, latency_s: float, success: bool, now: float) -> None:
        """See AdmissionPolicy."""
        del latency_s, success, now
        self._in_flight -= 1

    def paused(self) -> None:
        """See AdmissionPolicy."""

    def resumed(self) -> None:
        """See AdmissionPolicy."""

    def release_unused(self) -> None:
        """See AdmissionPolicy."""
        self._in_flight -= 1

    def release(self, now: float) -> Release:
        """See AdmissionPolicy."""
        del now
        return Release()

    def abandon(self, ticket: queueing.Ticket, now: float) -> None:
        """See AdmissionPolicy."""
        del ticket, now


@admission_policies.register("slots")
class Slots(_Baseline):
    """Admits as many calls as the target has announced slots; a baseline."""

    def decide(self, context: messages.CallContext, now: float) -> Decision:
        """See AdmissionPolicy."""
        del context, now
        admitted = self._in_flight < self._slots
        self._in_flight += admitted
        return Decision(admitted=admitted, level=self._scale.open_level)


@admission_policies.register("unlimited")
class Unlimited(_Baseline):
    """Admits every call; a baseline without admission control."""

    def decide(self, context: messages.CallContext, now: float) -> Decision:
        """See AdmissionPolicy."""
        del context, now
        self._in_flight += 1
        return Decision(admitted=True, level=self._scale.open_level)


@admission_policies.register("adaptive")
class Adaptive(_Unpaced):
    """Combines an adaptive limit, a short priority queue and a level.

    The adaptive limit applies to the calls that the target works on. Calls
    that wait for another service do not slow the target down and only occupy
    one of its announced slots. When they counted towards the limit, a slow
    service blocked all targets upstream of it.
    """

    uses_answers: ClassVar[bool] = False

    def __init__(self, slots: int, scale: priorities.PriorityScale) -> None:
        self._slots = max(1, slots)
        self._limit = self._make_limit(slots)
        self._queue = queueing.WaitingQueue()
        self._scale = scale
        self._levels = levels.LevelController(scale)
        self._in_flight = 0
        self._paused = 0

    @property
    def load(self) -> float:
        """See AdmissionPolicy."""
        waiting = len(self._queue)
        return max(
            (self._in_flight - self._paused + waiting) / self._limit.value,
            (self._in_flight + waiting) / self._slots,
        )

    @property
    def limit(self) -> int:
        """See AdmissionPolicy."""
        return self._limit.value

    @property
    def scale(self) -> priorities.PriorityScale:
        """See AdmissionPolicy."""
        return self._scale

    def level(self, now: float) -> int:
        """See AdmissionPolicy."""
        return self._levels.value(now)

    def room(self, now: float) -> reports.Room | None:
        """See AdmissionPolicy."""
        del now
        return None

    def resize(self, slots: int, scale: priorities.PriorityScale) -> None:
        """See AdmissionPolicy."""
        self._slots = max(1, slots)
        self._limit.resize(slots)
        if scale != self._scale:
            self._scale = scale
            self._levels.rescale(scale)

    def decide(self, context: messages.CallContext, now: float) -> Decision:
        """See AdmissionPolicy."""
        level = self._levels.record_arrival(context.rank, now)
        if self._has_free_slot and not self._queue:
            # The level never refuses a call while a slot is free: it exists to
            # keep the queue short, and it lags behind the target's state.
            self._in_flight += 1
            self._levels.record_wait(0.0)
            return Decision(admitted=True, level=level)
        self._levels.record_saturation()
        # Refusing a sub-call wastes the work done upstream, so it is only
        # displaced by more important or older calls in the queue.
        if not context.depth and self._refuses(context, level):
            return Decision(admitted=False, level=level)
        ticket, displaced = self._queue.push(
            self._queue_class(context),
            context.deadline,
            self.limit,
            now,
            self._max_wait_s(context, now),
            context.bucket,
        )
        if ticket is None or displaced is not None:
            self._levels.record_drop(queueing.DEFAULT_MAX_WAIT_S)
        return Decision(
            admitted=False, level=level, ticket=ticket, displaced=displaced
        )

    def paused(self) -> None:
        """See AdmissionPolicy."""
        self._paused += 1

    def resumed(self) -> None:
        """See AdmissionPolicy."""
        self._paused -= 1

    def finished(self, latency_s: float, success: bool, now: float) -> None:
        """See AdmissionPolicy."""
        working = self._in_flight - self._paused
        self._limit.observe(latency_s, success, working, now)
        self._in_flight -= 1

    def release_unused(self) -> None:
        """See AdmissionPolicy."""
        self._in_flight -= 1

    def release(self, now: float) -> Release:
        """See AdmissionPolicy."""
        admitted: list[queueing.Ticket] = []
        late: list[queueing.Ticket] = []
        while self._has_free_slot:
            ticket = self._queue.pop()
            if ticket is None:
                break
            if ticket.deadline <= now:
                # No caller would wait for the response, so the target must
                # not work for it.
                late.append(ticket)
                continue
            self._in_flight += 1
            self._levels.record_wait(now - ticket.queued_at)
            admitted.append(ticket)
        return Release(tuple(admitted), tuple(late))

    def abandon(self, ticket: queueing.Ticket, now: float) -> None:
        """See AdmissionPolicy."""
        if self._queue.remove(ticket):
            self._levels.record_drop(now - ticket.queued_at)

    def _make_limit(self, slots: int) -> concurrency.Limit:
        return concurrency.ConcurrencyLimit(slots)

    def _refuses(self, context: messages.CallContext, level: int) -> bool:
        """Returns whether a call that finds no slot may not wait for one."""
        return levels.refuses(level, context)

    def _queue_class(self, context: messages.CallContext) -> int:
        """Returns the class in which a call waits."""
        return context.priority

    def _max_wait_s(self, context: messages.CallContext, now: float) -> float:
        """Returns how long a call may wait.

        Calls of the more important classes are at the head of the queue, but
        at a slow target the next slot may take a whole service time to become
        free. With the same short wait for all classes, one in thirty of them
        was refused during a surge of the least important class.

        A refused sub-call fails its parent request and wastes the work done
        for it, so a sub-call may wait as long as there is time to serve it.
        """
        max_wait_s = queueing.DEFAULT_MAX_WAIT_S
        if context.depth:
            left_s = context.deadline - now
            max_wait_s = max(max_wait_s, _SUB_CALL_WAIT_SHARE * left_s)
        if context.priority >= self._scale.priorities[-1]:
            return max_wait_s
        return max(max_wait_s, _MAX_WAIT_SERVICE_TIMES * self._limit.baseline_s)

    @property
    def _has_free_slot(self) -> bool:
        working = self._in_flight - self._paused
        return working < self._limit.value and self._in_flight < self._slots
