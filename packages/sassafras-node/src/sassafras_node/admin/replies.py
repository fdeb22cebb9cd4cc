"""Replies of routes: a model, or a refusal with an HTTP status."""

import dataclasses

import result

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.configuration import differences
from sassafras_policy.configuration import edits
from sassafras_wire.administration import models

BAD_REQUEST = 400
UNAUTHENTICATED = 401
FORBIDDEN = 403
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CONFLICT = 409
REFUSED = 422
NOT_STORED = 503
UNKNOWN = 504

_JSON = (("content-type", "application/json"),)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not carried out, or may not have been.

    Attributes:
      status: HTTP status code.
      problem: Response body.
    """

    status: int
    problem: models.Problem


Reply = result.Result[models.Answer, Refusal]


def refuse(
    status: int, step: str, peer: str, problem: str, advice: str = ""
) -> result.Err[Refusal]:
    """Returns a refusal."""
    return result.Err(
        Refusal(
            status,
            models.Problem(
                step=step, peer=peer, problem=problem, advice=advice
            ),
        )
    )


def invalid_input(
    step: str, peer: str, faults: tuple[models.FaultModel, ...]
) -> result.Err[Refusal]:
    """Returns the refusal of invalid input."""
    return result.Err(
        Refusal(
            BAD_REQUEST,
            models.Problem(
                step=step,
                peer=peer,
                problem=f"the input has {len(faults)} fault(s)",
                advice="correct the input; nothing was changed",
                faults=faults,
            ),
        )
    )


def edit_refused(step: str, refused: edits.EditError) -> Refusal:
    """Returns the refusal of a change that the document does not allow."""
    return Refusal(
        NOT_FOUND if refused.is_missing else REFUSED,
        models.Problem(
            step=step,
            peer="local",
            problem=refused.problem,
            advice=refused.advice,
            outcome=models.WriteOutcome.REFUSED,
        ),
    )


def not_stored(step: str, problem: str) -> Refusal:
    """Returns the refusal of a change that was certainly not made."""
    return Refusal(
        NOT_STORED,
        models.Problem(
            step=step,
            peer="store",
            problem=f"not stored: {problem}",
            advice="nothing was changed; try again when the store answers",
            outcome=models.WriteOutcome.NOT_STORED,
        ),
    )


def outcome_unknown(step: str, revision: int, problem: str) -> Refusal:
    """Returns the refusal of a change that may have been made."""
    return Refusal(
        UNKNOWN,
        models.Problem(
            step=step,
            peer="store",
            problem=f"outcome unknown: {problem}",
            advice="the change may have been made; read the configuration and"
            f" its history, where it would be revision {revision}, before you"
            " repeat it",
            outcome=models.WriteOutcome.UNKNOWN,
            revision=revision,
        ),
    )


def conflict(
    step: str, revision: int, diff: tuple[differences.Difference, ...]
) -> Refusal:
    """Returns the refusal of a change that expected another revision."""
    return Refusal(
        CONFLICT,
        models.Problem(
            step=step,
            peer="store",
            problem=f"revision {revision} is stored, not the expected one",
            advice="look at the differences and repeat the change with"
            f" expected revision {revision}",
            outcome=models.WriteOutcome.CONFLICT,
            revision=revision,
            differences=to_difference_models(diff),
        ),
    )


def to_difference_models(
    diff: tuple[differences.Difference, ...],
) -> tuple[models.DifferenceModel, ...]:
    """Converts differences to models."""
    return tuple(
        models.DifferenceModel(
            subject=item.subject,
            action=str(item.action),
            field=item.field,
            before=item.before,
            after=item.after,
        )
        for item in diff
    )


def encode(reply: Reply) -> messages.CallResponse:
    """Returns the HTTP response for a reply."""
    if isinstance(reply, result.Ok):
        return _response(outcomes.Outcome.RAN, 200, reply.ok_value)
    refusal = reply.err_value
    outcome = outcomes.Outcome.NOT_RUN
    if refusal.status == UNKNOWN:
        outcome = outcomes.Outcome.UNKNOWN
    return _response(outcome, refusal.status, refusal.problem)


def _response(
    outcome: outcomes.Outcome, status: int, model: models.Answer
) -> messages.CallResponse:
    if isinstance(model, models.RawResponse):
        return messages.CallResponse(
            outcome=outcome,
            status=status,
            headers=(("content-type", model.content_type),),
            body=model.content.encode(),
        )
    return messages.CallResponse(
        outcome=outcome,
        status=status,
        headers=_JSON,
        body=model.model_dump_json(exclude_none=True).encode() + b"\n",
    )
