"""Checks for entries that nothing uses, and for entries held twice."""

from collections.abc import Iterator

from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration.checks import registry
from sassafras_policy.mesh import configuration


@registry.check("unused-class")
def find_unused_classes(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds classes without a route."""
    used = {route.call_class for route in subject.content.routes}
    for position, name in enumerate(subject.content.classes):
        if name not in used:
            yield registry.Finding(
                kind="class",
                name=name,
                position=position,
                field="order",
                given=name,
                problem="no route has this class",
                advice="remove the class or give it to a route",
            )


@registry.check("unused-service")
def find_unused_services(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds services without a route.

    Calls of other services need a route, too; without one they are refused.
    """
    routed = {route.service for route in subject.content.routes}
    callers: dict[str, list[str]] = {}
    for service in subject.content.services:
        for called in service.calls:
            callers.setdefault(called, []).append(service.name)
    for position, service in enumerate(subject.content.services):
        if service.name in routed:
            continue
        found = callers.get(service.name)
        problem = "no route leads to this service"
        if found:
            problem += f"; calls of {', '.join(found)} to it are refused"
        yield registry.Finding(
            kind="service",
            name=service.name,
            position=position,
            field="",
            given="",
            problem=problem,
            advice="add a route to the service or remove the service",
        )


@registry.check("service-without-target", level=registry.Level.NOTE)
def find_services_without_targets(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds services that no target announces, and those not configured."""
    announced = subject.announced_slots
    if announced is None:
        return
    for position, service in enumerate(subject.content.services):
        if service.name not in announced:
            yield registry.Finding(
                kind="service",
                name=service.name,
                position=position,
                field="",
                given="",
                problem="no target in use announces this service",
                advice="start its targets or correct the name",
            )
    names = {service.name for service in subject.content.services}
    for name in sorted(announced.keys() - names):
        yield registry.Finding(
            kind="service",
            name=name,
            position=registry.NO_POSITION,
            field="",
            given="",
            problem="targets announce this service, but it is not configured",
            advice="add the service or stop its targets",
        )


@registry.check("unused-objective")
def find_unused_objectives(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds objectives that are repeated or that cover no request."""
    routed = {route.service for route in subject.content.routes}
    seen: set[tuple[str, str]] = set()
    for position, objective in enumerate(subject.content.objectives):
        covered = (objective.service, objective.organisation)
        problem = ""
        if covered in seen:
            problem = "an earlier objective covers the same requests"
        elif objective.service not in routed:
            problem = "no route leads to the service, so it covers no request"
        seen.add(covered)
        if problem:
            yield registry.Finding(
                kind="objective",
                name=" ".join(covered),
                position=position,
                field="service",
                given=objective.service,
                problem=problem,
                advice="remove the objective or correct it",
            )


@registry.check("repeated-key", documents.Document, configuration.Configuration)
def find_repeated_keys(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds keys that two entries hold; the last one in order counts."""
    holders: dict[str, str] = {}
    for position, organisation in enumerate(subject.accounts):
        labels: set[str] = set()
        for key in organisation.keys:
            name = f"{organisation.name}/{key.label}"
            problem = ""
            if key.digest in holders:
                problem = f"the key is also {holders[key.digest]}"
            elif key.label in labels:
                problem = "the organisation has another key of this label"
            labels.add(key.label)
            holders.setdefault(key.digest, name)
            if problem:
                yield registry.Finding(
                    kind="organisation",
                    name=organisation.name,
                    position=position,
                    field="keys",
                    given=name,
                    problem=problem,
                    advice="withdraw one of the two keys",
                )
