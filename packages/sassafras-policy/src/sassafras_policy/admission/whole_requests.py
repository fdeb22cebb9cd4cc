"""Policies by which a first node admits requests, selected by name."""

import dataclasses
import math
from typing import ClassVar
from typing import Protocol

from sassafras_base import registry
from sassafras_policy.admission import returns
from sassafras_policy.admission import service_room
from sassafras_policy.admission import shares
from sassafras_policy.calls import messages
from sassafras_policy.calls import reports
from sassafras_policy.mesh import fan_out

_STEP_S = 0.1
# Time constant of the offered work, which a node of a large fleet gets a few
# requests a second of.
_OFFERED_TIME_CONSTANT_S = 2.0
# The same for what was offered last, to see a burst before its calls arrive.
_RECENT_TIME_CONSTANT_S = 0.7
_MIN_OFFERED = 0.05
# Requests of a route that reach a service rarely, or for a moment only, are not
# refused on its behalf.
_MIN_SLOT_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request of a caller, as far as its admission depends on it.

    Attributes:
      route: Name of its route.
      service: The service that it goes to first.
      organisation: Organisation of its key; may be empty.
      priority: Rank of its class.
      bucket: Its position within the class.
      left_s: Time that the caller has left.
      target_latency_s: Latency objective of the route; 0 for none.
    """

    route: str
    service: str
    organisation: str
    priority: int
    bucket: int
    left_s: float
    target_latency_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """Why a request is refused.

    Attributes:
      service: The service without room.
      part: The part of the requests of its class and organisation that fits.
      room: The newest report on that service.
      age_s: The age of that report.
      come_back: When the caller should come back.
    """

    service: str
    part: float
    room: reports.Room
    age_s: float
    come_back: returns.Window


class RequestAdmission(Protocol):
    """Decides once, at its first node, whether a request is admitted.

    Attributes:
      is_active: Whether it refuses any; otherwise it need not be asked.
    """

    is_active: ClassVar[bool]

    @property
    def admitted_shares(self) -> dict[str, float]:
        """The admitted share of the work, by service, where it is below 1."""
        ...

    def configure(
        self, routes: frozenset[str], weights: dict[str, float]
    ) -> None:
        """Applies the names of the routes and the weights of organisations."""
        ...

    def decide(self, ask: Ask, now: float) -> Shortage | float:
        """Returns why a request is refused, or the part that is admitted.

        The part goes with the calls of the request, so that their targets can
        tell the demand.
        """
        ...

    def covers(self, service: str, now: float) -> bool:
        """Returns whether requests to a service are admitted by its room."""
        ...

    def record_response(
        self,
        route: str,
        service: str,
        response: messages.CallResponse,
        admitted_at: float,
        now: float,
    ) -> None:
        """Records the response to an admitted request."""
        ...

    def duration_s(self, route: str, service: str) -> float:
        """Returns the mean time that a request takes; 0 while unknown."""
        ...


request_policies: registry.Registry[type[RequestAdmission]] = registry.Registry(
    "request admission policy"
)


@request_policies.register("levels")
class LevelsOnly:
    """Admits what the admission levels of services let pass."""

    is_active: ClassVar[bool] = False

    @property
    def admitted_shares(self) -> dict[str, float]:
        """See RequestAdmission."""
        return {}

    def configure(
        self, routes: frozenset[str], weights: dict[str, float]
    ) -> None:
        """See RequestAdmission."""

    def decide(self, ask: Ask, now: float) -> Shortage | float:
        """See RequestAdmission."""
        del ask, now
        return 1.0

    def covers(self, service: str, now: float) -> bool:
        """See RequestAdmission."""
        del service, now
        return False

    def record_response(
        self,
        route: str,
        service: str,
        response: messages.CallResponse,
        admitted_at: float,
        now: float,
    ) -> None:
        """See RequestAdmission."""

    def duration_s(self, route: str, service: str) -> float:
        """See RequestAdmission."""
        del route, service
        return 0.0


@request_policies.register("whole-requests")
class WholeRequests:
    """Admits as many requests as fit into the scarcest service behind them.

    Each first node decides for itself from the reports in its own responses.
    As all see the load of the same targets, they admit about the same part,
    whatever zone they are in.
    """

    is_active: ClassVar[bool] = True

    def __init__(self) -> None:
        self._fan_out = fan_out.FanOut()
        self._caller_times = returns.CallerTimes()
        self._rooms: dict[str, service_room.ServiceRoom] = {}
        self._offered: dict[tuple[str, str, int, str, bool], float] = {}
        self._recent: dict[tuple[str, str], float] = {}
        self._weights: dict[str, float] = {}
        self._default_weight = 1.0
        self._shares: dict[str, float] = {}
        self._divisions: dict[str, shares.Division] = {}
        self._stepped_at = -math.inf

    @property
    def admitted_shares(self) -> dict[str, float]:
        """See RequestAdmission."""
        return dict(self._shares)

    def configure(
        self, routes: frozenset[str], weights: dict[str, float]
    ) -> None:
        """See RequestAdmission."""
        self._fan_out.keep_routes(routes)
        self._caller_times.keep_routes(routes)
        self._weights = weights
        # One without a rate may ask for as much as the largest of the others.
        self._default_weight = max(weights.values(), default=1.0)

    def decide(self, ask: Ask, now: float) -> Shortage | float:
        """See RequestAdmission."""
        if now - self._stepped_at >= _STEP_S:
            self._step(now)
        waited_s = self._caller_times.waited_s(ask.route, ask.left_s)
        duration_s = self._fan_out.duration_s(ask.route, ask.service)
        objective_left_s = ask.target_latency_s - waited_s
        precedence = 1
        if waited_s and objective_left_s > duration_s:
            # It can still be served in time, and its caller would wait for
            # nothing. Callers whose response would be late do not displace
            # those who call first.
            precedence = shares.PRECEDENCE
        key = (
            ask.route,
            ask.service,
            ask.priority,
            ask.organisation,
            precedence > 1,
        )
        start = key[:2]
        self._recent[start] = self._recent.get(start, 0.0) + 1.0
        self._offered[key] = self._offered.get(key, 0.0) + 1.0
        if not self._divisions:
            return 1.0
        position = (ask.bucket + 0.5) / messages.BUCKET_COUNT / precedence
        admitted = 1.0
        costs = self._fan_out.costs(ask.route, ask.service)
        for service, division in self._divisions.items():
            cost = costs.get(service)
            if cost is None or cost.slot_s < _MIN_SLOT_S:
                continue
            part = division.part(ask.priority, ask.organisation)
            if position >= part:
                room = self._rooms[service]
                come_back = returns.window(
                    ask.left_s, objective_left_s, duration_s, room.last.wait_s
                )
                return Shortage(
                    service, part, room.last, room.age_s(now), come_back
                )
            admitted = min(admitted, part * precedence)
        return admitted

    def covers(self, service: str, now: float) -> bool:
        """See RequestAdmission."""
        room = self._rooms.get(service)
        return room is not None and room.is_current(now)

    def record_response(
        self,
        route: str,
        service: str,
        response: messages.CallResponse,
        admitted_at: float,
        now: float,
    ) -> None:
        """See RequestAdmission."""
        if not response.reports:
            return
        if response.status < 500:
            self._fan_out.record(
                route, service, response.reports, now - admitted_at, now
            )
        costs = self._fan_out.costs(route, service)
        for report in response.reports:
            room = self._rooms.get(report.service)
            if room is None:
                room = service_room.ServiceRoom()
                self._rooms[report.service] = room
            cost = costs.get(report.service)
            room.record(report, cost.calls if cost else 0.0, admitted_at, now)

    def duration_s(self, route: str, service: str) -> float:
        """See RequestAdmission."""
        return self._fan_out.duration_s(route, service)

    def _step(self, now: float) -> None:
        kept = math.exp((self._stepped_at - now) / _OFFERED_TIME_CONSTANT_S)
        self._offered = {
            key: count * kept
            for key, count in self._offered.items()
            if count * kept > _MIN_OFFERED
        }
        kept = math.exp((self._stepped_at - now) / _RECENT_TIME_CONSTANT_S)
        self._recent = {
            key: count * kept
            for key, count in self._recent.items()
            if count * kept > _MIN_OFFERED
        }
        self._stepped_at = now
        self._shares = {}
        self._divisions = {}
        for service, room in self._rooms.items():
            share = room.advance(self._offer(service), now)
            if share < 1.0:
                self._shares[service] = share
                self._divisions[service] = shares.divide(
                    self._askers(service), share
                )

    def _offer(self, service: str) -> service_room.Offer:
        work = 0.0
        variance = 0.0
        for (route, first), count in self._recent.items():
            cost = self._fan_out.costs(route, first).get(service)
            if cost is not None:
                work += count * cost.slot_s
                # The sum of decayed counts varies half as much as a count.
                variance += count * cost.slot_s * cost.slot_s / 2
        return service_room.Offer(work, math.sqrt(variance))

    def _askers(self, service: str) -> list[shares.Asker]:
        work: dict[tuple[int, str], list[float]] = {}
        for key, count in self._offered.items():
            route, first, priority, organisation, is_return = key
            cost = self._fan_out.costs(route, first).get(service)
            if cost is not None and cost.slot_s >= _MIN_SLOT_S:
                sums = work.setdefault((priority, organisation), [0.0, 0.0])
                sums[0] += count * cost.slot_s
                if is_return:
                    sums[1] += count * cost.slot_s
        return [
            shares.Asker(
                priority,
                organisation,
                total,
                returned,
                self._weights.get(organisation, self._default_weight),
            )
            for (priority, organisation), (total, returned) in work.items()
        ]
