"""Admission policies of a target, chosen by name in the settings."""

import dataclasses
from typing import Protocol

from sassafras_base import registry
from sassafras_policy.admission import concurrency
from sassafras_policy.admission import levels
from sassafras_policy.admission import queueing
from sassafras_policy.calls import messages

# Longest wait of the more important classes, in service times of the target.
_PATIENCE_CALLS = 2.0

# Part of the time left to its deadline that a sub-call may wait for a place.
_SUB_CALL_PATIENCE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a call may go to the target now.

    Attributes:
      admitted: It may start at once; its place is taken.
      level: Admission level; calls of this rank and above are refused.
      ticket: Its place in the queue when it may wait, else None.
      displaced: The ticket of a less important call that is refused for it.
    """

    admitted: bool
    level: int
    ticket: queueing.Ticket | None = None
    displaced: queueing.Ticket | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """What becomes of waiting calls after a place was given back.

    Attributes:
      admitted: They may start; their places are taken.
      late: Their deadlines have passed; they are refused.
    """

    admitted: tuple[queueing.Ticket, ...] = ()
    late: tuple[queueing.Ticket, ...] = ()


class AdmissionPolicy(Protocol):
    """Decides for one target; the caller reports ends and runs the waits."""

    @property
    def load(self) -> float:
        """Calls in flight as a part of the limit."""
        ...

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        ...

    @property
    def open_level(self) -> int:
        """The level at which every call is admitted."""
        ...

    def level(self, now: float) -> int:
        """Returns the admission level."""
        ...

    def resize(self, slots: int, class_count: int) -> None:
        """Takes over new numbers of announced slots and of classes."""
        ...

    def decide(self, context: messages.CallContext, now: float) -> Decision:
        """Returns what to do with a call that has just arrived."""
        ...

    def paused(self) -> None:
        """Notes that a running call now waits for another service."""
        ...

    def resumed(self) -> None:
        """Notes that it waits no more."""
        ...

    def finished(self, latency_s: float, success: bool, now: float) -> None:
        """Gives back the place of a call; the limit learns from its latency.

        Args:
          latency_s: Time at the target, without its calls to other services.
          success: Whether the target answered, and without an error.
          now: The current time.
        """
        ...

    def unused(self) -> None:
        """Gives back the place of a call whose latency says nothing.

        It never went to the target, or the target answered with an error.
        """
        ...

    def release(self, now: float) -> Release:
        """Hands free places to waiting calls."""
        ...

    def abandon(self, ticket: queueing.Ticket, now: float) -> None:
        """Takes a call out of the queue that waits no more."""
        ...


admission_policies: registry.Registry[type[AdmissionPolicy]] = (
    registry.Registry("admission policy")
)


class _Baseline:
    """Counts calls in flight; has no queue and an open level."""

    # Both baselines treat a call that waits for another service like others.

    def __init__(self, slots: int, class_count: int) -> None:
        self._in_flight = 0
        self.resize(slots, class_count)

    @property
    def load(self) -> float:
        """See AdmissionPolicy."""
        return self._in_flight / self._slots

    @property
    def limit(self) -> int:
        """See AdmissionPolicy."""
        return self._slots

    @property
    def open_level(self) -> int:
        """See AdmissionPolicy."""
        return self._open_level

    def level(self, now: float) -> int:
        """See AdmissionPolicy."""
        del now
        return self._open_level

    def resize(self, slots: int, class_count: int) -> None:
        """See AdmissionPolicy."""
        self._slots = max(1, slots)
        self._open_level = levels.open_level(class_count)

    def finished(self, latency_s: float, success: bool, now: float) -> None:
        """See AdmissionPolicy."""
        del latency_s, success, now
        self._in_flight -= 1

    def paused(self) -> None:
        """See AdmissionPolicy."""

    def resumed(self) -> None:
        """See AdmissionPolicy."""

    def unused(self) -> None:
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
    """Admits as many calls as the target announced slots; a baseline."""

    def decide(self, context: messages.CallContext, now: float) -> Decision:
        """See AdmissionPolicy."""
        del context, now
        admitted = self._in_flight < self._slots
        self._in_flight += admitted
        return Decision(admitted=admitted, level=self._open_level)


@admission_policies.register("unlimited")
class Unlimited(_Baseline):
    """Admits every call, as without any control; a baseline."""

    def decide(self, context: messages.CallContext, now: float) -> Decision:
        """See AdmissionPolicy."""
        del context, now
        self._in_flight += 1
        return Decision(admitted=True, level=self._open_level)


@admission_policies.register("adaptive")
class Adaptive:
    """Adaptive limit, short queue by class, admission level.

    The adaptive limit holds for the calls that the target works on. Calls that
    wait for another service do not slow the target down; they only take one
    of its slots. Counted in the limit, they made a slow service far down
    stop the targets above it.
    """

    def __init__(self, slots: int, class_count: int) -> None:
        self._slots = max(1, slots)
        self._limit = concurrency.ConcurrencyLimit(slots)
        self._queue = queueing.WaitingQueue()
        self._class_count = class_count
        self._levels = levels.LevelController(class_count)
        self._in_flight = 0
        self._paused = 0

    @property
    def load(self) -> float:
        """See AdmissionPolicy."""
        waiting = len(self._queue)
        return max(
            (self._in_flight - self._paused + waiting) / self.limit,
            (self._in_flight + waiting) / self._slots,
        )

    @property
    def limit(self) -> int:
        """See AdmissionPolicy."""
        return self._limit.value

    @property
    def open_level(self) -> int:
        """See AdmissionPolicy."""
        return levels.open_level(self._class_count)

    def level(self, now: float) -> int:
        """See AdmissionPolicy."""
        return self._levels.value(now)

    def resize(self, slots: int, class_count: int) -> None:
        """See AdmissionPolicy."""
        self._slots = max(1, slots)
        self._limit.resize(slots)
        if class_count != self._class_count:
            self._class_count = class_count
            self._levels = levels.LevelController(class_count)

    def decide(self, context: messages.CallContext, now: float) -> Decision:
        """See AdmissionPolicy."""
        self._levels.arrived(context.rank, now)
        level = self._levels.value(now)
        if self._has_place and not self._queue:
            # A free place is never refused: the level exists to keep calls
            # out of the queue, and it may be behind the target's state.
            self._in_flight += 1
            self._levels.waited(0.0)
            return Decision(admitted=True, level=level)
        self._levels.found_full()
        # A sub-call brings work done upstream with it; only more important or
        # older calls in the queue take its place.
        if not context.depth and levels.refuses(level, context):
            return Decision(admitted=False, level=level)
        ticket, displaced = self._queue.push(
            context.priority,
            context.deadline,
            self.limit,
            now,
            self._longest_wait_s(context, now),
            context.bucket,
        )
        if ticket is None or displaced is not None:
            self._levels.dropped(queueing.MAXIMUM_WAIT_S)
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

    def unused(self) -> None:
        """See AdmissionPolicy."""
        self._in_flight -= 1

    def release(self, now: float) -> Release:
        """See AdmissionPolicy."""
        admitted: list[queueing.Ticket] = []
        late: list[queueing.Ticket] = []
        while self._has_place:
            ticket = self._queue.pop()
            if ticket is None:
                break
            if ticket.deadline <= now:
                # The target must not work for an answer that nobody awaits.
                late.append(ticket)
                continue
            self._in_flight += 1
            self._levels.waited(now - ticket.queued_at)
            admitted.append(ticket)
        return Release(tuple(admitted), tuple(late))

    def abandon(self, ticket: queueing.Ticket, now: float) -> None:
        """See AdmissionPolicy."""
        if self._queue.remove(ticket):
            self._levels.dropped(now - ticket.queued_at)

    def _longest_wait_s(
        self, context: messages.CallContext, now: float
    ) -> float:
        """Returns how long a call may wait.

        Calls of the more important classes are next in the queue, but at a
        slow target the next place may be free only after a whole service
        time. With the shortest wait for all, one in thirty of them was
        refused in a surge of the least important class.

        A sub-call that is refused fails the request above it, with all the
        work done for it, so it may wait while there is time to serve it.
        """
        longest_s = queueing.MAXIMUM_WAIT_S
        if context.depth:
            left_s = context.deadline - now
            longest_s = max(longest_s, _SUB_CALL_PATIENCE * left_s)
        if context.priority >= self._class_count - 1:
            return longest_s
        return max(longest_s, _PATIENCE_CALLS * self._limit.baseline_s)

    @property
    def _has_place(self) -> bool:
        working = self._in_flight - self._paused
        return working < self.limit and self._in_flight < self._slots
