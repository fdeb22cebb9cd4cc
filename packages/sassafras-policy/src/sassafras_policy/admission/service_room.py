"""Which part of the offered requests fits into one service."""

import bisect
import dataclasses
import math

from sassafras_policy.calls import reports

# Time constant of the mean demand. Reports of one request average over its
# calls, so a few requests suffice.
_TIME_CONSTANT_S = 0.2
_MIN_WEIGHT = 0.02
# The pressure that is aimed for. At 1.0 there is always a queue, and the calls
# that come last in its order never get a slot.
_TARGET_PRESSURE = 0.95
# What waits at the targets is worked off in this time, or in this multiple of
# the time that a request takes to reach them: a correction that takes effect
# later than it is due again would oscillate.
_DRAIN_S = 0.4
_DRAIN_LEADS = 1.0
# Of a service without news. Its reports come with admitted requests, so while
# few are admitted they may be missing for a moment only.
_STALE_S = 1.0
_STALE_LEADS = 2.0
_OPENING_S = 5.0
# Longer than any request waits for its response.
_HISTORY_S = 10.0
_MAX_DEMAND = 16.0
_MIN_PRESSURE = 0.1
_LEAD_WEIGHT = 0.1
_MIN_CALLS_WEIGHT = 0.05
# Standard deviations that growth of the offered work must exceed.
_SIGNIFICANCE = 0.5
_MAX_GROWTH = 4.0
_MIN_SPAN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Work at one service that callers ask of this node.

    Attributes:
      work: Slot time of the latest requests.
      deviation: Standard deviation of that, as requests arrive at random.
    """

    work: float = 0.0
    deviation: float = 0.0


class ServiceRoom:
    """Turns reports on a service into the share of requests to admit.

    A report tells the demand: the load that there would be if no first node
    refused requests. It does not depend on what has been refused, so the share
    follows in one step. A controller that corrected the load repeated each
    correction until the first one had reached the targets.
    """

    def __init__(self) -> None:
        self._demand = 0.0
        self._measured_at = -math.inf
        self._lead_s = 0.0
        self._last = reports.Room(0.0, 0.0, 0.0)
        self._responses = 0
        self._made = 0.0
        self._expected = 0.0
        self._times: list[float] = []
        self._work: list[float] = []

    @property
    def last(self) -> reports.Room:
        """The newest report."""
        return self._last

    def age_s(self, now: float) -> float:
        """Returns the age of the newest report; infinite without one."""
        return now - self._measured_at

    def is_current(self, now: float) -> bool:
        """Returns whether the newest report still tells the load."""
        return self.age_s(now) <= self._stale_s

    def record(
        self,
        report: reports.ServiceReport,
        expected_calls: float,
        admitted_at: float,
        now: float,
    ) -> None:
        """Records a report from the response to a request.

        Args:
          report: The report.
          expected_calls: Calls that a request makes if none of them fails.
          admitted_at: When the request was admitted here.
          now: The current time.
        """
        measured_at = now - report.age_s
        lead_s = max(0.0, measured_at - admitted_at)
        self._lead_s += _LEAD_WEIGHT * (lead_s - self._lead_s)
        weight = max(_MIN_CALLS_WEIGHT, 1.0 / (1.0 + self._responses))
        self._responses += 1
        self._made += weight * (report.calls - self._made)
        self._expected += weight * (
            max(expected_calls, report.calls) - self._expected
        )
        demand = min(_MAX_DEMAND, self._demand_of(report.room))
        span_s = max(0.0, measured_at - self._measured_at)
        weight = 1.0
        if self.is_current(now):
            weight = max(
                _MIN_WEIGHT, 1.0 - math.exp(-span_s / _TIME_CONSTANT_S)
            )
        self._demand += weight * (demand - self._demand)
        self._measured_at = max(self._measured_at, measured_at)
        self._last = report.room

    def advance(self, offer: Offer, now: float) -> float:
        """Returns the share to admit from now on."""
        silence_s = max(0.0, self.age_s(now) - self._stale_s)
        demand = self._demand * math.exp(-silence_s / _OPENING_S)
        if not silence_s:
            demand *= self._growth(offer)
        self._times.append(now)
        self._work.append(offer.work)
        if self._times[0] < now - 2 * _HISTORY_S:
            kept = bisect.bisect_left(self._times, now - _HISTORY_S)
            del self._times[:kept]
            del self._work[:kept]
        return min(1.0, _TARGET_PRESSURE / max(demand, _TARGET_PRESSURE))

    @property
    def _stale_s(self) -> float:
        return _STALE_S + _STALE_LEADS * self._lead_s

    def _demand_of(self, room: reports.Room) -> float:
        """Returns the demand, with what waits and what failed requests need."""
        drain_s = max(_DRAIN_S, _DRAIN_LEADS * self._lead_s)
        excess = room.wait_s / drain_s / max(_MIN_PRESSURE, room.pressure)
        # Requests that fail early spare the targets the rest of their calls.
        return room.demand * (1.0 + excess) * self._expected / self._made

    def _growth(self, offer: Offer) -> float:
        """Returns by how much more is offered than when the load was measured.

        The calls of the additional requests reach the service later. Growth
        that may be chance is left out, as a node gets only a few requests.
        """
        end = bisect.bisect_right(self._times, self._measured_at)
        span_s = max(_MIN_SPAN_S, 2 * self._lead_s)
        start = bisect.bisect_left(self._times, self._measured_at - span_s)
        if start == 0 or start >= end:
            # Nothing is known of the time before.
            return 1.0
        work = sum(self._work[start:end]) / (end - start)
        certain = offer.work - _SIGNIFICANCE * offer.deviation
        if work <= 0.0 or certain <= work:
            return 1.0
        return min(_MAX_GROWTH, certain / work)
