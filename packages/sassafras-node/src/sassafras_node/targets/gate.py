"""Admission of calls to the local target.

The admission policy decides; this module suspends calls and wakes them.
"""

import dataclasses
import enum

import trio

from sassafras_base import clock as clocks
from sassafras_base import events
from sassafras_policy.admission import policies
from sassafras_policy.admission import priorities
from sassafras_policy.admission import queueing
from sassafras_policy.calls import messages
from sassafras_policy.calls import reports

# Limits log lines when the level oscillates around the open level.
_LOG_INTERVAL_S = 10.0


@events.declare(310, "WARNING")
def target_overloaded(admission_level: int, limit: int) -> str:
    """The local target gets more calls than it can serve.

    The node refuses the least important ones. See docs/operators/overload.md.
    """
    return f"target overloaded: level {admission_level}, limit {limit}"


@events.declare(311, "INFO")
def target_recovered(limit: int) -> str:
    """The local target accepts calls of every class again."""
    return f"target accepts all calls again: limit {limit}"


class AdmissionResult(enum.Enum):
    """Result of a call's request for a concurrency slot."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    LATE = "late"


@dataclasses.dataclass(slots=True)
class _Waiter:
    settled: trio.Event
    result: AdmissionResult = AdmissionResult.REFUSED


class AdmissionGate:
    """Admits calls to one target in the order of its admission policy.

    Attributes:
      reports_room: Whether the policy measures the room of the target.
    """

    def __init__(
        self, policy: policies.AdmissionPolicy, clock: clocks.Clock
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._waiters: dict[queueing.Ticket, _Waiter] = {}
        self.reports_room = policy.room(clock.now()) is not None
        self._is_closed = False
        self._overloaded = False
        self._logged_at = -_LOG_INTERVAL_S

    @property
    def load(self) -> float:
        """Ratio of running and waiting calls to the limit."""
        return self._policy.load

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._policy.limit

    @property
    def in_flight(self) -> int:
        """Calls that run at the target."""
        return self._policy.in_flight

    @property
    def slots(self) -> int:
        """Calls that the target announced that it can run at once."""
        return self._policy.slots

    @property
    def is_open(self) -> bool:
        """Whether the limit is not kept below the slots by the pace."""
        return self._policy.is_open

    def hold_back(self) -> None:
        """Begins with few calls, at a target that starts beside others."""
        self._policy.hold_back()

    @property
    def uses_answers(self) -> bool:
        """Whether `observe` has to be called."""
        return self._policy.uses_answers

    @property
    def level(self) -> int:
        """The admission level; calls of this rank and above are refused."""
        return self._policy.level(self._clock.now())

    @property
    def room(self) -> reports.Room | None:
        """The room of the target, if its policy reports it."""
        return self._policy.room(self._clock.now())

    @property
    def scale(self) -> priorities.PriorityScale:
        """The priorities of the active configuration."""
        return self._policy.scale

    def resize(self, slots: int, scale: priorities.PriorityScale) -> None:
        """Sets the number of announced slots and the priorities."""
        self._policy.resize(slots, scale)

    async def enter(self, context: messages.CallContext) -> AdmissionResult:
        """Waits for a slot, at most as long as the queue allows.

        An admitted call holds a slot until `leave` or `leave_with_error`.
        """
        if self._is_closed:
            return AdmissionResult.REFUSED
        decision = self._policy.decide(context, self._clock.now())
        self._log_change(decision.level)
        if decision.displaced is not None:
            self._settle(decision.displaced, AdmissionResult.REFUSED)
        if decision.admitted:
            return AdmissionResult.ADMITTED
        if decision.ticket is None:
            return AdmissionResult.REFUSED
        return await self._wait(decision.ticket)

    def close(self) -> None:
        """Refuses the calls that wait for a slot, and all later ones."""
        self._is_closed = True
        now = self._clock.now()
        while self._waiters:
            ticket = next(iter(self._waiters))
            self._settle(ticket, AdmissionResult.REFUSED)
            self._policy.abandon(ticket, now)

    def pause(self) -> None:
        """Records that a running call now waits for another service."""
        self._policy.paused()
        self._release()

    def resume(self) -> None:
        """Records that the call no longer waits for another service."""
        self._policy.resumed()

    def leave(self, latency_s: float, success: bool) -> None:
        """Releases the slot of a call that ended at the target.

        Args:
          latency_s: Time at the target, without its calls to other services.
          success: Whether the target responded.
        """
        self._policy.finished(latency_s, success, self._clock.now())
        if self._waiters:
            self._release()

    def leave_with_error(self) -> None:
        """Releases the slot of a call that ended with an error response.

        Errors may skip work, so their latency would distort the limit. Most
        of them come from another service that is overloaded.
        """
        self._policy.release_unused()
        self._release()

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
        return self._policy.observe(
            started_at, relative, own_relative, succeeded, in_flight, now
        )

    async def _wait(self, ticket: queueing.Ticket) -> AdmissionResult:
        waiter = _Waiter(trio.Event())
        self._waiters[ticket] = waiter
        try:
            with trio.move_on_after(ticket.wait_s(self._clock.now())):
                await waiter.settled.wait()
        except trio.Cancelled:
            if waiter.result is AdmissionResult.ADMITTED:
                self._policy.release_unused()
                self._release()
            raise
        finally:
            if self._waiters.pop(ticket, None) is not None:
                self._policy.abandon(ticket, self._clock.now())
        return waiter.result

    def _release(self) -> None:
        if not self._waiters:
            return
        release = self._policy.release(self._clock.now())
        for ticket in release.admitted:
            self._settle(ticket, AdmissionResult.ADMITTED)
        for ticket in release.late:
            self._settle(ticket, AdmissionResult.LATE)

    def _settle(self, ticket: queueing.Ticket, result: AdmissionResult) -> None:
        waiter = self._waiters.pop(ticket)
        waiter.result = result
        waiter.settled.set()

    def _log_change(self, level: int) -> None:
        overloaded = level < self._policy.scale.open_level
        if overloaded == self._overloaded:
            return
        now = self._clock.now()
        if now - self._logged_at < _LOG_INTERVAL_S:
            return
        self._overloaded = overloaded
        self._logged_at = now
        if overloaded:
            target_overloaded(level, self.limit)
        else:
            target_recovered(self.limit)
