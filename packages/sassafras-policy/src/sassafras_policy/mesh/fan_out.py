"""Running means of what a request of each route costs each service."""

import dataclasses

from sassafras_policy.calls import reports

# Weight of one response; the first ones count more, so that the means are
# usable after a few.
_MIN_WEIGHT = 0.05
# A service that no request of a route has reached for this long is no longer
# behind it. Deployments change what their targets call.
_MAX_AGE_S = 30.0


@dataclasses.dataclass(slots=True)
class ServiceCost:
    """Mean cost of one request at one service.

    Attributes:
      calls: Calls for each request.
      slot_s: Slot time for each request.
      at: Time of the last request that reached the service.
    """

    calls: float
    slot_s: float
    at: float


@dataclasses.dataclass(slots=True)
class _RouteCost:
    responses: int = 0
    duration_s: float = 0.0
    services: dict[str, ServiceCost] = dataclasses.field(default_factory=dict)


class FanOut:
    """Costs by route and by the service that its requests go to first."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], _RouteCost] = {}

    def keep_routes(self, names: frozenset[str]) -> None:
        """Forgets all other routes."""
        self._routes = {
            key: cost for key, cost in self._routes.items() if key[0] in names
        }

    def record(
        self,
        route: str,
        service: str,
        found: tuple[reports.ServiceReport, ...],
        duration_s: float,
        now: float,
    ) -> None:
        """Records the reports of a request that was executed without an error.

        An error may have spared a part of the calls.
        """
        cost = self._routes.setdefault((route, service), _RouteCost())
        cost.responses += 1
        weight = max(_MIN_WEIGHT, 1.0 / cost.responses)
        cost.duration_s += weight * (duration_s - cost.duration_s)
        for known in cost.services.values():
            known.calls -= weight * known.calls
            known.slot_s -= weight * known.slot_s
        for report in found:
            entry = cost.services.get(report.service)
            if entry is None:
                entry = ServiceCost(0.0, 0.0, now)
                cost.services[report.service] = entry
            entry.calls += weight * report.calls
            entry.slot_s += weight * report.slot_s
            entry.at = now
        for name in [
            name
            for name, entry in cost.services.items()
            if now - entry.at > _MAX_AGE_S
        ]:
            del cost.services[name]

    def costs(self, route: str, service: str) -> dict[str, ServiceCost]:
        """Returns the mean cost at each service; empty while unknown."""
        cost = self._routes.get((route, service))
        return cost.services if cost else {}

    def duration_s(self, route: str, service: str) -> float:
        """Returns the mean time that a request takes; 0 while unknown."""
        cost = self._routes.get((route, service))
        return cost.duration_s if cost else 0.0
