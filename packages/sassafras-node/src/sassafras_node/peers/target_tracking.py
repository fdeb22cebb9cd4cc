"""Load and health of targets as observed by this node, its own included."""

from collections.abc import Sequence

from sassafras_base import clock as clocks
from sassafras_base import events
from sassafras_policy.balancing import balancers
from sassafras_policy.balancing import estimates
from sassafras_policy.balancing import health
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.membership import records
from sassafras_policy.mesh import targets


@events.declare(312, "WARNING")
def target_ejected(node_id: str, ejection_s: float) -> str:
    """A target failed repeatedly or cannot be reached; it gets no calls.

    It is tried again after the given time. Check the target and its node.
    """
    return f"target of {node_id} is ejected for {ejection_s:.0f} s"


# Ejected targets are rarely drawn, unless all of a service are ejected.
_EJECTED_ABILITY = 0.01
# A target that rejects every call is drawn at times all the same.
_MIN_ABILITY = 0.01


class TrackedTarget:
    """One target, as observed by this node.

    Attributes:
      in_flight: Calls that this node has in flight there.
      health: Its errors, rejections and ejection.
      estimate: Its load and speed by its reports; None where the balancer uses
        none.
      identity: Differs for each start of the target.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.health = health.TargetHealth()
        self.estimate: estimates.TargetEstimate | None = None
        self.identity: object = None


class TargetTracker:
    """Tracks calls in flight, load and health of each target."""

    def __init__(self, clock: clocks.Clock, uses_reports: bool = False) -> None:
        """Creates a tracker without targets.

        Args:
          clock: Source of time.
          uses_reports: Whether load and speed follow the reports in responses.
        """
        self._clock = clock
        self._uses_reports = uses_reports
        self._targets: dict[str, TrackedTarget] = {}
        self._services: dict[str, estimates.ServiceEstimate] = {}

    def started(self, node_id: str) -> TrackedTarget:
        """Counts a call to a peer; returns what to pass to `finished`."""
        tracked = self._targets.get(node_id) or self._tracked(node_id)
        tracked.in_flight += 1
        return tracked

    def finished(self, tracked: TrackedTarget) -> None:
        """Counts a call to a peer as ended.

        The peer may have been dropped, and have come back, since the call
        started; those calls don't count any more.
        """
        tracked.in_flight -= 1

    def record_response(
        self,
        node_id: str,
        response: messages.CallResponse,
        service: str = "",
        route: str = "",
    ) -> None:
        """Records the load in a response and how the call ended.

        Args:
          node_id: The target's node.
          response: The response.
          service: The service that was called.
          route: The route of the call.
        """
        tracked = self._targets.get(node_id) or self._tracked(node_id)
        target = tracked.health
        now = self._clock.now()
        if response.cold_s or target.cold_until:
            target.record_cold(response.cold_s, now)
        if self._uses_reports and response.report is not None:
            estimate = tracked.estimate
            if estimate is None:
                estimate = self._new_estimate(tracked, service)
            estimate.record(
                route, response.load, response.report, tracked.in_flight, now
            )
        rejected = response.reason is outcomes.Reason.TURNED_AWAY
        if rejected or response.outcome is outcomes.Outcome.RAN:
            target.record_rejection(rejected, now)
        if _is_failure(response):
            target.record_load(response.load, now)
            unreachable = response.reason is outcomes.Reason.UNREACHABLE
            self._record_failure(node_id, at_once=unreachable)
        elif response.outcome is outcomes.Outcome.RAN:
            target.record_success(response.load, now)
        else:
            target.record_load(response.load, now)

    def record_cold(self, node_id: str, cold_s: float) -> None:
        """Records that a target is cold for this long."""
        self._tracked(node_id).health.record_cold(cold_s, self._clock.now())

    def record_failure(self, node_id: str) -> None:
        """Records that the peer was lost or could not be reached."""
        self._record_failure(node_id, at_once=True)

    def in_flight(self, node_id: str) -> int:
        """Returns this node's calls in flight at a peer."""
        return self._tracked(node_id).in_flight

    def load(self, node_id: str) -> float:
        """Returns the last reported load, decayed by its age."""
        return self._tracked(node_id).health.load(self._clock.now())

    def is_ejected(self, node_id: str) -> bool:
        """Returns whether a target is excluded from balancing."""
        tracked = self._targets.get(node_id) or self._tracked(node_id)
        return tracked.health.is_ejected(self._clock.now())

    def is_rejecting(self, node_id: str) -> bool:
        """Returns whether a target rejects many of the calls that reach it."""
        share = self._tracked(node_id).health.rejected_share(self._clock.now())
        return share > balancers.MAX_REJECTED_SHARE

    def usual_s(self, service: str, route: str) -> float:
        """Returns the usual time of a call at a target; 0 until known."""
        known = self._services.get(service)
        return known.usual_s(route) if known is not None else 0.0

    def abilities(self, entries: Sequence[targets.NodeEntry]) -> list[float]:
        """Returns the rates of work that targets can do, to compare."""
        now = self._clock.now()
        abilities = []
        for entry in entries:
            tracked = self._tracked(entry.node_id)
            slots = entry.target.capacity if entry.target else 1
            estimate = tracked.estimate
            ability = float(slots)
            if estimate is not None:
                ability = estimate.ability(slots, now)
            ability *= 1.0 - tracked.health.rejected_share(now)
            if tracked.health.is_ejected(now):
                ability *= _EJECTED_ABILITY
            abilities.append(max(ability, _MIN_ABILITY))
        return abilities

    def candidate(
        self, record: records.NodeRecord, own: records.NodeRecord
    ) -> balancers.Candidate:
        """Returns the target of a node as input for the balancer."""
        return self.make_candidate(
            record.node_id,
            identity=(record.incarnation, record.target_address),
            same_zone=record.availability_zone == own.availability_zone,
            slots=record.slots,
            cold_start_s=record.cold_start_s,
        )

    def make_candidate(
        self,
        node_id: str,
        *,
        identity: object,
        same_zone: bool,
        slots: int,
        cold_start_s: float,
        is_cold_limited: bool = False,
        service: str = "",
    ) -> balancers.Candidate:
        """Returns a target as input for the balancer.

        Args:
          node_id: The target's node.
          identity: Differs for each start of the target.
          same_zone: Whether it is in this node's availability zone.
          slots: Calls that the target can run at once.
          cold_start_s: How long the target is slow after its start.
          is_cold_limited: Whether it gets calls at a low rate only until then.
          service: Its service.
        """
        tracked = self._targets.get(node_id) or self._tracked(node_id)
        target = tracked.health
        now = self._clock.now()
        is_replaced = target.set_identity(identity, now)
        if is_replaced and is_cold_limited and cold_start_s:
            target.record_cold(cold_start_s, now)
        if self._uses_reports:
            estimate = tracked.estimate
            if estimate is None or identity != tracked.identity:
                estimate = self._new_estimate(tracked, service)
                tracked.identity = identity
            load, limit, excess_s = estimate.expected(slots, now)
            return balancers.Candidate(
                node_id=node_id,
                same_zone=same_zone,
                in_flight=max(0, tracked.in_flight - estimate.in_flight),
                load=load,
                capacity=limit,
                errors=target.errors(now),
                ejected=target.is_ejected(now),
                rejected_share=target.rejected_share(now),
                cold=now < target.cold_until,
                service_s=estimate.service_s,
                excess_s=excess_s,
                room=estimates.room(limit),
            )
        return balancers.Candidate(
            node_id=node_id,
            same_zone=same_zone,
            in_flight=tracked.in_flight,
            load=target.load(now),
            capacity=slots * target.capacity_share(cold_start_s, now),
            errors=target.errors(now),
            ejected=target.is_ejected(now),
            rejected_share=target.rejected_share(now),
            cold=now < target.cold_until,
        )

    def drop(self, node_id: str) -> None:
        """Removes a target whose node has been gone for a long time."""
        self._targets.pop(node_id, None)

    def _new_estimate(
        self, tracked: TrackedTarget, service: str
    ) -> estimates.TargetEstimate:
        means = self._services.get(service)
        if means is None:
            means = self._services[service] = estimates.ServiceEstimate()
        tracked.estimate = estimates.TargetEstimate(means, self._clock.now())
        return tracked.estimate

    def _record_failure(self, node_id: str, at_once: bool) -> None:
        target = self._tracked(node_id).health
        if target.record_failure(self._clock.now(), at_once):
            target_ejected(node_id, target.ejection_s)

    def _tracked(self, node_id: str) -> TrackedTarget:
        tracked = self._targets.get(node_id)
        if tracked is None:
            tracked = self._targets[node_id] = TrackedTarget()
        return tracked


def _is_failure(response: messages.CallResponse) -> bool:
    """Returns whether a response shows a fault of the target itself.

    A refusal does not, and an error after a failed sub-call is attributed to
    another service.
    """
    if response.outcome is outcomes.Outcome.RAN:
        return response.status >= 500 and not response.sub_call_failed
    if response.outcome is outcomes.Outcome.UNKNOWN:
        return response.reason is not outcomes.Reason.DEADLINE
    return response.reason is outcomes.Reason.UNREACHABLE
