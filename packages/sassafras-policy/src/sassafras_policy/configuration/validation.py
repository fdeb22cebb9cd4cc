"""Validation of a configuration document across its fields.

A questionnaire is validated while it is read; these checks are for documents
that an operator posts.
"""

from collections.abc import Iterable
import dataclasses

from sassafras_policy.configuration import document as documents

_REPEATABLE_METHODS = ("GET", "HEAD", "OPTIONS", "*")


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentFault:
    """An invalid value in a document.

    Attributes:
      subject: The invalid item, such as `service desk`.
      field: The invalid field.
      given: The value given.
      allowed: What is allowed instead.
    """

    subject: str
    field: str
    given: str
    allowed: str


def find_faults(document: documents.Document) -> list[DocumentFault]:
    """Returns all faults of a document on its own."""
    faults: list[DocumentFault] = []
    services = [service.name for service in document.services]
    organisations = [o.name for o in document.organisations]
    _check_distinct(faults, "services", services)
    _check_distinct(faults, "organisations", organisations)
    _check_distinct(faults, "classes", document.classes)
    _check_distinct(
        faults, "routes", (f"{r.method} {r.pattern}" for r in document.routes)
    )
    for service in document.services:
        faults.extend(
            DocumentFault(
                f"service {service.name}",
                "calls",
                called,
                f"a service of the document: {', '.join(services)}",
            )
            for called in service.calls
            if called not in services
        )
    for route in document.routes:
        _check_route(faults, route)
    for objective in document.objectives:
        _check_objective(faults, objective, services, organisations)
    return faults


def find_change_faults(
    document: documents.Document, stored: documents.Document | None
) -> list[DocumentFault]:
    """Returns the faults of a document compared with the stored one.

    Keys and stopped targets may be left out. If given, they must equal the
    stored ones, as they are changed by separate requests.
    """
    before = stored or documents.Document(revision=0)
    keys = {o.name: o.keys for o in before.organisations}
    faults = [
        DocumentFault(
            f"organisation {organisation.name}",
            "keys",
            ", ".join(key.label for key in organisation.keys),
            "left out, or as they are in force; keys are granted and withdrawn"
            " by requests of their own",
        )
        for organisation in document.organisations
        if organisation.keys
        and organisation.keys != keys.get(organisation.name, ())
    ]
    if document.stopped_targets and set(document.stopped_targets) != set(
        before.stopped_targets
    ):
        faults.append(
            DocumentFault(
                "document",
                "stopped_targets",
                ", ".join(document.stopped_targets),
                "left out, or as they are in force; targets are stopped and"
                " started by requests of their own",
            )
        )
    return faults


def _check_distinct(
    faults: list[DocumentFault], subject: str, names: Iterable[str]
) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            faults.append(DocumentFault(subject, "name", name, "each once"))
        seen.add(name)


def _check_route(faults: list[DocumentFault], route: documents.Route) -> None:
    subject = f"route {route.method} {route.pattern}"
    segments = route.pattern.split("/")
    if len(segments) < 2 or segments[1] != route.service:
        faults.append(
            DocumentFault(
                subject,
                "pattern",
                route.pattern,
                f"a path within its service, beginning with /{route.service}",
            )
        )
    if route.at_most_once and route.method in _REPEATABLE_METHODS:
        faults.append(
            DocumentFault(
                subject,
                "at_most_once",
                "true",
                f"false, because clients may repeat {route.method}",
            )
        )


def _check_objective(
    faults: list[DocumentFault],
    objective: documents.Objective,
    services: list[str],
    organisations: list[str],
) -> None:
    subject = f"objective {objective.service} {objective.organisation}"
    if objective.service not in services:
        faults.append(
            DocumentFault(
                subject,
                "service",
                objective.service,
                f"a service of the document: {', '.join(services)}",
            )
        )
    if objective.organisation not in ("*", *organisations):
        faults.append(
            DocumentFault(
                subject,
                "organisation",
                objective.organisation,
                "an organisation of the document, or *",
            )
        )
