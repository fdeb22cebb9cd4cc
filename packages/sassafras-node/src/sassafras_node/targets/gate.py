"""The way of a call into the target beside the node.

The admission policy decides; this module makes calls wait and wakes them.
"""

import dataclasses
import enum

import trio

from sassafras_base import clock as clocks
from sassafras_base import events
from sassafras_policy.admission import policies
from sassafras_policy.admission import queueing
from sassafras_policy.calls import messages

# A level that hovers around its open end would fill the log.
_LOG_INTERVAL_S = 10.0


@events.declare(310, "WARNING")
def target_overloaded(admission_level: int, limit: int) -> str:
    """The target beside the node gets more calls than it can serve.

    The node refuses the least important ones. See docs/operators/overload.md.
    """
    return f"target overloaded: level {admission_level}, limit {limit}"


@events.declare(311, "INFO")
def target_recovered(limit: int) -> str:
    """The target beside the node takes calls of every class again."""
    return f"target takes all calls again: limit {limit}"


class Verdict(enum.Enum):
    """What became of a call that asked for a place."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    LATE = "late"


@dataclasses.dataclass(slots=True)
class _Waiter:
    settled: trio.Event
    verdict: Verdict = Verdict.REFUSED


class Gate:
    """Lets calls to one target in, in the order of its admission policy."""

    def __init__(
        self, policy: policies.AdmissionPolicy, clock: clocks.Clock
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._waiters: dict[queueing.Ticket, _Waiter] = {}
        self._overloaded = False
        self._logged_at = -_LOG_INTERVAL_S

    @property
    def load(self) -> float:
        """Calls running and waiting as a part of the limit."""
        return self._policy.load

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._policy.limit

    @property
    def level(self) -> int:
        """The admission level; calls of this rank and above are refused."""
        return self._policy.level(self._clock.now())

    @property
    def open_level(self) -> int:
        """The level at which every call is admitted."""
        return self._policy.open_level

    def resize(self, slots: int, class_count: int) -> None:
        """Takes over new numbers of announced slots and of classes."""
        self._policy.resize(slots, class_count)

    async def enter(self, context: messages.CallContext) -> Verdict:
        """Waits for a place, at most as long as the queue allows.

        Whoever is admitted has a place and must call `leave`.
        """
        decision = self._policy.decide(context, self._clock.now())
        self._log_change(decision.level)
        if decision.displaced is not None:
            self._settle(decision.displaced, Verdict.REFUSED)
        if decision.admitted:
            return Verdict.ADMITTED
        if decision.ticket is None:
            return Verdict.REFUSED
        return await self._wait(decision.ticket)

    def pause(self) -> None:
        """Notes that a running call now waits for another service."""
        self._policy.paused()
        self._release()

    def resume(self) -> None:
        """Notes that it waits no more."""
        self._policy.resumed()

    def leave(self, latency_s: float, success: bool) -> None:
        """Gives back the place of a call that ended at the target.

        Args:
          latency_s: Time at the target, without its calls to other services.
          success: Whether the target answered.
        """
        self._policy.finished(latency_s, success, self._clock.now())
        self._release()

    def leave_with_error(self) -> None:
        """Gives back the place of a call that was answered with an error.

        Errors may skip work, so their latency would mislead the limit. Most
        of them stem from another service when that one is overloaded.
        """
        self._policy.unused()
        self._release()

    async def _wait(self, ticket: queueing.Ticket) -> Verdict:
        waiter = _Waiter(trio.Event())
        self._waiters[ticket] = waiter
        try:
            with trio.move_on_after(ticket.wait_s(self._clock.now())):
                await waiter.settled.wait()
        except trio.Cancelled:
            if waiter.verdict is Verdict.ADMITTED:
                self._policy.unused()
                self._release()
            raise
        finally:
            if self._waiters.pop(ticket, None) is not None:
                self._policy.abandon(ticket, self._clock.now())
        return waiter.verdict

    def _release(self) -> None:
        release = self._policy.release(self._clock.now())
        for ticket in release.admitted:
            self._settle(ticket, Verdict.ADMITTED)
        for ticket in release.late:
            self._settle(ticket, Verdict.LATE)

    def _settle(self, ticket: queueing.Ticket, verdict: Verdict) -> None:
        waiter = self._waiters.pop(ticket)
        waiter.verdict = verdict
        waiter.settled.set()

    def _log_change(self, level: int) -> None:
        open_level = self._policy.open_level
        overloaded = level < open_level
        now = self._clock.now()
        if overloaded == self._overloaded or (
            now - self._logged_at < _LOG_INTERVAL_S
        ):
            return
        self._overloaded = overloaded
        self._logged_at = now
        if overloaded:
            target_overloaded(level, self.limit)
        else:
            target_recovered(self.limit)
