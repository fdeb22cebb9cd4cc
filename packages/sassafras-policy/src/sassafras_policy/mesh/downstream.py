"""Admission levels of the downstream services that each route calls."""

from sassafras_policy.admission import levels
from sassafras_policy.admission import priorities

# Time constant of the running means. It can be short, as nodes receive hundreds
# of responses a second from each overloaded service, and should be, as a level
# passes upstream through several nodes, each of which adds this delay.
_TIME_CONSTANT_S = 0.05


class DownstreamLevels:
    """Admission levels by service and route, learnt from responses.

    The requests of one route may call a downstream service that those of
    another route of the same service do not call. With levels by service
    alone, both would be refused when that service is overloaded.
    """

    def __init__(self) -> None:
        self._levels = levels.ServiceLevels(_TIME_CONSTANT_S)
        self._calls_by_route: dict[str, set[str]] = {}

    def keep_routes(self, names: frozenset[str]) -> None:
        """Forgets the calls of all other routes."""
        self._calls_by_route = {
            route: called
            for route, called in self._calls_by_route.items()
            if route in names
        }

    def rescale(
        self,
        previous: priorities.PriorityScale,
        scale: priorities.PriorityScale,
    ) -> None:
        """Applies the priorities of a new configuration."""
        self._levels.rescale(previous, scale)

    def record_call(self, parent_route: str, service: str, route: str) -> None:
        """Records that a request of a route made a sub-call.

        Args:
          parent_route: Route of the request that the target was executing.
          service: The service that it called.
          route: Route of the sub-call.
        """
        self._calls_by_route.setdefault(parent_route, set()).add(
            _key(service, route)
        )

    def update(
        self,
        service: str,
        route: str,
        level: int,
        scale: priorities.PriorityScale,
        now: float,
    ) -> None:
        """Records the level that a response to a call of a route carried.

        Args:
          service: The service.
          route: Route of the call.
          level: The level.
          scale: The priorities of the active configuration.
          now: The current time.
        """
        self._levels.update(_key(service, route), level, scale, now)

    def min_level(
        self,
        route: str,
        own_level: int,
        scale: priorities.PriorityScale,
        now: float,
    ) -> int:
        """Returns the lowest level at the target and downstream of it.

        Args:
          route: Route of the request.
          own_level: Level of the target that executes the request.
          scale: The priorities of the active configuration.
          now: The current time.
        """
        level = own_level
        for key in self._calls_by_route.get(route, ()):
            level = min(level, int(self._levels.value(key, scale, now)))
        return level

    def level(
        self,
        service: str,
        route: str,
        scale: priorities.PriorityScale,
        now: float,
    ) -> float:
        """Returns the lowest level at a service and downstream of it.

        Args:
          service: The service.
          route: Route of the calls.
          scale: The priorities of the active configuration.
          now: The current time.
        """
        return self._levels.value(_key(service, route), scale, now)


def _key(service: str, route: str) -> str:
    return f"{service} {route}"
