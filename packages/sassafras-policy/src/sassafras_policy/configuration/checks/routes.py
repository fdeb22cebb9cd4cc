"""Checks for routes that no request reaches."""

from collections.abc import Iterator

from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import indexes
from sassafras_policy.configuration.checks import registry


@registry.check("unreachable-route")
def find_unreachable_routes(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds routes behind an earlier one that matches the same requests."""
    earlier: dict[str, indexes.PatternSet] = {}
    for position, route in enumerate(subject.content.routes):
        # Routes of other services cannot be in the way, as the first segment of
        # a pattern is its service.
        for method in dict.fromkeys((route.method, "*")):
            known = earlier.get(method)
            cover = known.find_cover(route.pattern) if known else None
            if cover is not None:
                yield _unreachable(route, position, f"{method} {cover}")
                break
        else:
            known = earlier.setdefault(route.method, indexes.PatternSet())
            known.add(route.pattern)


def _unreachable(
    route: documents.Route, position: int, cover: str
) -> registry.Finding:
    return registry.Finding(
        kind="route",
        name=f"{route.method} {route.pattern}",
        position=position,
        field="pattern",
        given=route.pattern,
        problem=f"never matches, because the earlier route {cover} matches all"
        " its requests",
        advice="move it before that route or remove it",
    )
