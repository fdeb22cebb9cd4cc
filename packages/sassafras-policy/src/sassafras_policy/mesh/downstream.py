"""What the requests of each route call, and whom the services below refuse."""

from sassafras_policy.admission import levels
from sassafras_policy.calls import messages

# Nodes hear hundreds of answers a second from each service that is in trouble.
# A level passes up through several nodes, and each adds this delay.
_HEARD_SPAN_S = 0.05


class DownstreamLevels:
    """Admission levels by service and route, learnt from answers.

    The requests of one route call other services and those of another route
    of the same service do not. Levels that are kept by service alone refuse
    both when a service below is overloaded.
    """

    def __init__(self) -> None:
        self._heard = levels.HeardLevels(_HEARD_SPAN_S)
        self._called: dict[str, set[str]] = {}

    def keep_routes(self, names: frozenset[str]) -> None:
        """Forgets the calls of routes that are no longer in force."""
        self._called = {
            route: called
            for route, called in self._called.items()
            if route in names
        }

    def learn(self, parent: str, service: str, route: str) -> None:
        """Notes that a request of a route made a call.

        Args:
          parent: Route of the request that the target was running.
          service: The service that it called.
          route: Route of the call.
        """
        self._called.setdefault(parent, set()).add(_key(service, route))

    def heard(self, service: str, route: str, level: int, now: float) -> None:
        """Takes the level that an answer to a call of a route carried."""
        self._heard.heard(_key(service, route), level, now)

    def lowest(self, route: str, own: int, opened: int, now: float) -> int:
        """Returns the lowest level that a request of a route will meet.

        Args:
          route: Route of the request.
          own: Level of the target that runs it.
          opened: The level at which every call is admitted.
          now: The current time.
        """
        called = self._called.get(route, ())
        return min(
            [own, *(int(self._heard.value(k, opened, now)) for k in called)]
        )

    def refuses(
        self,
        service: str,
        route: str,
        context: messages.CallContext,
        opened: int,
        now: float,
    ) -> bool:
        """Returns whether a request would be refused further on."""
        key = frozenset([_key(service, route)])
        return self._heard.refusing(key, context, opened, now) is not None


def _key(service: str, route: str) -> str:
    return f"{service} {route}"
