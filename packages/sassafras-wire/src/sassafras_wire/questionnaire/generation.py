"""Generates the configuration document from a questionnaire."""

from sassafras_policy.configuration import document as documents
from sassafras_wire.questionnaire import models


def generate(
    questionnaire: models.Questionnaire,
    current: documents.Document | None = None,
) -> documents.Document:
    """Returns the configuration document for a questionnaire.

    Keys and stopped targets are not part of a questionnaire. They are copied
    from the current document, so that a revised questionnaire neither withdraws
    a key nor starts a target. The keys of an organisation that is no longer in
    the questionnaire are dropped.

    Args:
      questionnaire: A questionnaire without faults.
      current: The document to replace; None for a first configuration.
    """
    kept_keys = {}
    if current is not None:
        kept_keys = {o.name: o.keys for o in current.organisations}
    return documents.Document(
        revision=current.revision + 1 if current else 1,
        classes=questionnaire.classes.order,
        services=tuple(
            documents.Service(name, section.calls)
            for name, section in questionnaire.services.items()
        ),
        routes=tuple(
            documents.Route(
                service=section.service,
                method=section.method,
                pattern=section.path,
                call_class=section.call_class,
                at_most_once=section.at_most_once,
                is_open=section.open,
                deadline_ms=section.deadline_ms,
            )
            for section in questionnaire.routes.values()
        ),
        organisations=tuple(
            documents.Organisation(
                name=name,
                rate_per_s=section.rate_per_s,
                burst=section.burst,
                keys=kept_keys.get(name, ()),
            )
            for name, section in questionnaire.organisations.items()
        ),
        objectives=tuple(
            documents.Objective(
                service=section.service,
                organisation=section.organisation,
                success_ratio=section.success_ratio,
                latency_ms=section.latency_ms,
            )
            for section in questionnaire.objectives.values()
        ),
        stopped_targets=current.stopped_targets if current else (),
        retry_limit=questionnaire.deployment.retry_limit,
    )
