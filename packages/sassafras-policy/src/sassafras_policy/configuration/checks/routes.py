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


@registry.check("misleading-pattern")
def find_misleading_patterns(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds patterns that match something else than they seem to.

    A questionnaire cannot have them, a document can.
    """
    for position, route in enumerate(subject.content.routes):
        segments = route.pattern.split("/")
        problem = ""
        if "?" in route.pattern:
            problem = "never matches, because paths are matched without a query"
        elif "**" in segments[:-1]:
            problem = "`**` matches the rest, so what follows it is ignored"
        elif any("*" in s and s not in ("*", "**") for s in segments):
            problem = "`*` within a segment matches only the character itself"
        if problem:
            yield registry.Finding(
                kind="route",
                name=f"{route.method} {route.pattern}",
                position=position,
                field="pattern",
                given=route.pattern,
                problem=problem,
                advice="use `*` for one whole segment and `**` at the end",
            )
