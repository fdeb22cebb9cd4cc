"""Look-up tables built from one revision of the configuration."""

import dataclasses

from sassafras_base import hashing
from sassafras_policy.admission import priorities
from sassafras_policy.configuration import document as documents


@dataclasses.dataclass(frozen=True, slots=True)
class RouteEntry:
    """A route, prepared for look-up.

    Attributes:
      route: The route of the document.
      priority: Index of its class; 0 is the most important.
      segments: The pattern, split at slashes.
    """

    route: documents.Route
    priority: int
    segments: tuple[str, ...]


def pattern_matches(pattern: tuple[str, ...], path: tuple[str, ...]) -> bool:
    """Returns whether the segments of a path match those of a pattern."""
    for index, segment in enumerate(pattern):
        if segment == "**":
            return True
        if index >= len(path) or segment not in ("*", path[index]):
            return False
    return len(path) == len(pattern)


@dataclasses.dataclass(slots=True)
class _PatternNode:
    """A prefix of patterns.

    Attributes:
      children: Longer prefixes by their last segment.
      whole: The pattern that ends here; None if there is none.
      rest: The pattern that goes on with `**`; None if there is none.
    """

    children: dict[str, "_PatternNode"] = dataclasses.field(
        default_factory=dict
    )
    whole: str | None = None
    rest: str | None = None


class PatternSet:
    """Finds patterns that match every path that another one matches.

    A tree of segments keeps this fast for thousands of patterns.
    """

    def __init__(self) -> None:
        self._root = _PatternNode()

    def add(self, pattern: str) -> None:
        """Adds a pattern; it must not be covered by the set."""
        node = self._root
        for segment in pattern.split("/"):
            if segment == "**":
                node.rest = pattern
                return
            node = node.children.setdefault(segment, _PatternNode())
        node.whole = pattern

    def find_cover(self, pattern: str) -> str | None:
        """Returns a pattern that matches all that the given one matches."""
        nodes = [self._root]
        for segment in pattern.split("/"):
            for node in nodes:
                if node.rest is not None:
                    return node.rest
            if segment == "**":
                return None
            nodes = [
                node.children[key]
                for node in nodes
                for key in dict.fromkeys((segment, "*"))
                if key in node.children
            ]
        return next(
            (n.whole or n.rest for n in nodes if n.whole or n.rest), None
        )


class Index:
    """Finds routes, organisations and reachable services.

    Attributes:
      document: The revision that the index was built from.
      scale: The priorities of its classes.
    """

    def __init__(self, document: documents.Document) -> None:
        self.document = document
        self.scale = priorities.scale_of_classes(len(document.classes))
        self._organisations = {o.name: o for o in document.organisations}
        self._by_digest = {
            key.digest: organisation
            for organisation in document.organisations
            for key in organisation.keys
        }
        self._routes: dict[str, list[RouteEntry]] = {}
        for route in document.routes:
            entry = RouteEntry(
                route=route,
                priority=document.classes.index(route.call_class),
                segments=tuple(route.pattern.split("/")),
            )
            self._routes.setdefault(route.service, []).append(entry)
        self._calls = {s.name: s.calls for s in document.services}
        self._reachable = {name: self._reach(name) for name in self._calls}

    def find_route(self, method: str, path: str) -> RouteEntry | None:
        """Returns the first route that matches, or None."""
        segments = tuple(path.split("/"))
        if len(segments) < 2:
            return None
        for entry in self._routes.get(segments[1], ()):
            if entry.route.method in ("*", method) and pattern_matches(
                entry.segments, segments
            ):
                return entry
        return None

    def find_organisation(self, key: str) -> documents.Organisation | None:
        """Returns the organisation of a key, or None."""
        return self._by_digest.get(hashing.digest(key))

    def organisation(self, name: str) -> documents.Organisation | None:
        """Returns an organisation by name, or None."""
        return self._organisations.get(name)

    def has_service(self, name: str) -> bool:
        """Returns whether the document has a service of this name."""
        return name in self._calls

    def reachable(self, service: str) -> frozenset[str]:
        """Returns the service and all its downstream services."""
        return self._reachable.get(service, frozenset([service]))

    def _reach(self, service: str) -> frozenset[str]:
        reached = {service}
        pending = [service]
        while pending:
            for called in self._calls.get(pending.pop(), ()):
                if called not in reached:
                    reached.add(called)
                    pending.append(called)
        return frozenset(reached)
