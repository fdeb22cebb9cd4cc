"""Generates the configuration document from a questionnaire."""

from sassafras_policy.configuration import document as documents
from sassafras_wire.questionnaire import models


def generate(
    questionnaire: models.Questionnaire,
    in_force: documents.Document | None = None,
) -> documents.Document:
    """Returns the document that a questionnaire asks for.

    Keys and stopped targets are not part of a questionnaire. They are taken
    from the document in force, so that a revised questionnaire neither
    withdraws a key nor starts a target. The keys of an organisation that the
    questionnaire no longer has are dropped with it.

    Args:
      questionnaire: A questionnaire without faults.
      in_force: The document that the new one is to follow; None for a first
        configuration.
    """
    kept_keys = {}
    if in_force is not None:
        kept_keys = {o.name: o.keys for o in in_force.organisations}
    return documents.Document(
        revision=in_force.revision + 1 if in_force else 1,
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
        stopped_targets=in_force.stopped_targets if in_force else (),
        retry_limit=questionnaire.deployment.retry_limit,
    )
