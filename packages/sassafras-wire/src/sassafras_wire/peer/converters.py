"""Conversions between peer messages and the policy's data classes."""

import dataclasses

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.limits import transfers
from sassafras_policy.membership import records
from sassafras_wire.peer import models


def response_to_message(
    call_id: int, response: messages.CallResponse
) -> models.AnswerMessage:
    """Returns the message for a response."""
    return models.AnswerMessage(
        call_id=call_id,
        outcome=str(response.outcome),
        reason=str(response.reason),
        status=response.status,
        headers=list(response.headers),
        body=response.body,
        retry_after_ms=response.retry_after_ms,
        levels=dict(response.levels),
        load=response.load,
        leaving=response.leaving,
        retryable=response.retryable,
        sub_call_failed=response.sub_call_failed,
    )


def message_to_response(message: models.AnswerMessage) -> messages.CallResponse:
    """Returns the response in a message.

    Raises:
      ValueError: The outcome or reason is unknown.
    """
    return messages.CallResponse(
        outcome=outcomes.Outcome(message.outcome),
        reason=outcomes.Reason(message.reason),
        status=message.status,
        headers=tuple(message.headers),
        body=message.body,
        retry_after_ms=message.retry_after_ms,
        levels=tuple(message.levels.items()),
        load=message.load,
        leaving=message.leaving,
        retryable=message.retryable,
        sub_call_failed=message.sub_call_failed,
    )


def record_to_model(record: records.NodeRecord) -> models.NodeRecordModel:
    """Returns the model of a membership record."""
    return models.NodeRecordModel(**dataclasses.asdict(record))


def model_to_record(model: models.NodeRecordModel) -> records.NodeRecord:
    """Returns the membership record of a model.

    A target state that only a newer version defines counts as absent, so that
    this node sends the target no calls.
    """
    content = model.model_dump()
    content["status"] = records.Status(model.status)
    try:
        content["target_state"] = records.TargetState(model.target_state)
    except ValueError:
        content["target_state"] = records.TargetState.ABSENT
    return records.NodeRecord(**content)


def token_request_to_message(
    request: transfers.TokenRequest,
) -> models.TokenRequestMessage:
    """Returns the message for a token request."""
    return models.TokenRequestMessage(
        number=request.number,
        organisation=request.organisation,
        wanted=request.wanted,
    )


def grant_to_message(number: int, grant: transfers.Grant) -> models.TokenGrant:
    """Returns the message for a grant."""
    return models.TokenGrant(
        number=number,
        granted=grant.granted,
        lifetime_ms=grant.lifetime_s * 1000,
        next_at_ms=grant.next_request_in_s * 1000,
    )


def message_to_grant(message: models.TokenGrant) -> transfers.Grant:
    """Returns the grant in a message."""
    return transfers.Grant(
        granted=message.granted,
        lifetime_s=message.lifetime_ms / 1000,
        next_request_in_s=message.next_at_ms / 1000,
    )
