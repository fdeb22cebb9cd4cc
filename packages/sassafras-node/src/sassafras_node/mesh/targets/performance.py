"""What the local target's answers show of its speed and pace."""

from sassafras_base import clock as clocks
from sassafras_base import events
from sassafras_node.targets import gate as gates
from sassafras_policy.balancing import load_reports
from sassafras_policy.balancing import service_times
from sassafras_policy.mesh import calls

# A call that was ended at its deadline shows that the target is slow if it took
# this many times as long as usual. Others had little time left when they came.
_SLOW_RATIO = 3.0
# Limits log lines of a target that fails and recovers by turns.
_LOG_INTERVAL_S = 10.0


@events.declare(313, "INFO")
def target_held_back(limit: int, slots: int) -> str:
    """The local target answers no calls; it gets a few at a time.

    The number doubles with each round of good answers.
    """
    return f"target answers no calls: limit {limit} of {slots}"


@events.declare(314, "INFO")
def target_at_full_pace(limit: int, after_ms: int) -> str:
    """The local target answers well and may use all of its slots.

    `after_ms` is the time since it started, or since it was held back.
    """
    return f"target is used in full after {after_ms} ms: limit {limit}"


class TargetPerformance:
    """Records the ends of calls at one target, and reports its ability.

    Attributes:
      has_begun: Whether the target has had a call.
    """

    def __init__(self, gate: gates.AdmissionGate, clock: clocks.Clock) -> None:
        """Begins for a target that has just started.

        Args:
          gate: The gate of the target, which uses the pace.
          clock: Source of time.
        """
        self._gate = gate
        self._uses_answers = gate.uses_answers
        self._times = service_times.ServiceTimes()
        self.has_begun = False
        self._was_open = True
        self._changed_at = clock.now()
        self._logged_at = -_LOG_INTERVAL_S

    def begin(self, usual_s: float) -> None:
        """Decides about the pace of a target before its first call.

        Args:
          usual_s: Usual time of the call at the targets of the service. A node
            that knows none has had no answer of any of them, as when all of
            them start.
        """
        self.has_begun = True
        if usual_s and self._uses_answers:
            self._gate.hold_back()
            self._was_open = self._gate.is_open

    def report(self, route: str) -> load_reports.TargetReport:
        """Returns what callers of a route learn about the target."""
        return load_reports.TargetReport(
            self._gate.limit, self._times.expected_s(route)
        )

    @property
    def longest_s(self) -> float:
        """Expected time of a call of the slowest route; 0 until measured."""
        return self._times.longest_s

    def expected_s(self, route: str) -> float:
        """Returns the expected time of a call now; 0 until measured."""
        return self._times.expected_s(route)

    def record(
        self,
        call: calls.Call,
        started_at: float,
        in_flight: int,
        succeeded: bool,
        load_report: load_reports.LoadReport | None,
        usual_s: float,
        now: float,
    ) -> None:
        """Records a call that the target answered or failed.

        Args:
          call: The call.
          started_at: When it was sent to the target.
          in_flight: Calls that were running then.
          succeeded: Whether the target answered it without an error.
          load_report: The load report in its response.
          usual_s: Usual time of such a call at a target; 0 if not known.
          now: The current time.
        """
        latency_s = now - started_at
        if self._uses_answers:
            own_s = self._times.expected_s(call.route)
            is_open = self._gate.observe(
                started_at,
                latency_s / usual_s if usual_s else 1.0,
                latency_s / own_s if own_s else 1.0,
                succeeded,
                in_flight,
                now,
            )
            if is_open != self._was_open:
                self._log_change(now)
        if succeeded:
            self._times.observe(call.route, latency_s, load_report, now)

    def record_timeout(
        self,
        call: calls.Call,
        started_at: float,
        in_flight: int,
        usual_s: float,
        now: float,
    ) -> None:
        """Records a call that was ended at its deadline.

        Without it, a target that answers nothing in time would be judged by
        what it answered before.
        """
        latency_s = now - started_at
        if latency_s < _SLOW_RATIO * (usual_s or self.expected_s(call.route)):
            return
        self._times.observe(call.route, latency_s, None, now)
        if self._uses_answers:
            self._gate.observe(started_at, 0.0, 0.0, False, in_flight, now)

    def _log_change(self, now: float) -> None:
        self._was_open = self._gate.is_open
        after_s = now - self._changed_at
        self._changed_at = now
        if now - self._logged_at < _LOG_INTERVAL_S:
            return
        self._logged_at = now
        if self._was_open:
            target_at_full_pace(self._gate.limit, int(after_s * 1000))
        else:
            target_held_back(self._gate.limit, self._gate.slots)
