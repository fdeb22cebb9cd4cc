"""Finds the route and the organisation of a request."""

from sassafras_base import hashing
from sassafras_policy.mesh import configuration


class WeightedRotation:
    """Distributes requests over services in exact proportion to their weights.

    Smooth weighted round-robin keeps each share within one request of its
    weight at any time, so short windows have the same proportions.
    """

    def __init__(self, shares: tuple[configuration.Share, ...]) -> None:
        self.shares = shares
        self._credit = [0.0] * len(shares)
        self._total = sum(share.weight for share in shares)

    def next(self) -> str:
        """Returns the service of the next request."""
        if len(self.shares) == 1:
            return self.shares[0].service
        for position, share in enumerate(self.shares):
            self._credit[position] += share.weight
        best = max(range(len(self.shares)), key=self._credit.__getitem__)
        self._credit[best] -= self._total
        return self.shares[best].service


class RoutingTable:
    """Lookup tables for one version of the configuration.

    Attributes:
      source: The indexed version.
    """

    def __init__(
        self,
        source: configuration.Configuration,
        previous: "RoutingTable | None" = None,
    ) -> None:
        self.source = source
        self._by_host: dict[str, dict[str, configuration.Route]] = {}
        self._rotations: dict[str, WeightedRotation] = {}
        self._by_digest: dict[str, configuration.Organisation] = {}
        self._services = {service.name: service for service in source.services}
        for route in source.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
            self._rotations[route.name] = _rotation_for(route, previous)
        for organisation in source.organisations:
            for key in organisation.account.keys:
                self._by_digest[key.digest] = organisation

    def cold_start_s(self, service: str) -> float:
        """Returns for how long targets are cold that bear a low rate then."""
        stated = self._services.get(service)
        if stated is None or not stated.cold_rate_per_s:
            return 0.0
        return stated.cold_start_s

    def cold_rate_per_s(self, service: str) -> float:
        """Returns the calls that a cold target bears; 0 for no bound."""
        stated = self._services.get(service)
        return stated.cold_rate_per_s if stated else 0.0

    def rotation(self, name: str) -> WeightedRotation | None:
        """Returns the rotation of a route."""
        return self._rotations.get(name)

    def find(self, host: str, path: str) -> configuration.Route | None:
        """Returns the route with the longest prefix of the path, or None."""
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def service_for(self, route: configuration.Route) -> str:
        """Returns the service that serves the next request of a route."""
        return self._rotations[route.name].next()

    def organisation_of(self, key: str) -> configuration.Organisation | None:
        """Returns the organisation that a key belongs to, or None."""
        return self._by_digest.get(hashing.digest(key))


def _rotation_for(
    route: configuration.Route, previous: RoutingTable | None
) -> WeightedRotation:
    """Keeps the previous rotation, and its position, if weights are equal."""
    existing = previous.rotation(route.name) if previous else None
    if existing is not None and existing.shares == route.shares:
        return existing
    return WeightedRotation(route.shares)
