"""Routes of callers' keys: grant, withdraw, list."""

import secrets

import result

from sassafras_base import hashing
from sassafras_node.admin import changes
from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import edits
from sassafras_wire.administration import models
from sassafras_wire.settings import operators

_KEY_BYTES = 32


@routing.route("POST", "/keys/grant", operators.Role.CHANGE, models.KeyRequest)
async def grant(request: routing.OperatorRequest) -> replies.Reply:
    """Creates a key, stores its digest and returns the key this one time."""
    assert isinstance(request.input, models.KeyRequest)
    body = request.input
    key = secrets.token_urlsafe(_KEY_BYTES)
    digest = hashing.digest(key)

    def edit(
        stored: documents.Document | None,
    ) -> result.Result[documents.Document, replies.Refusal]:
        if stored is None:
            return _no_configuration(request.step)
        return edits.grant_key(
            stored, body.organisation, body.label, digest
        ).map_err(lambda refused: replies.edit_refused(request.step, refused))

    change = await changes.commit(
        request.runtime, _proposal(request, "keys-grant", edit)
    )
    if isinstance(change, result.Err):
        return change
    return result.Ok(
        models.GrantedKey(
            **dict(change.ok_value),
            organisation=body.organisation,
            label=body.label,
            key=key,
        )
    )


@routing.route(
    "POST", "/keys/withdraw", operators.Role.CHANGE, models.KeyRequest
)
async def withdraw(request: routing.OperatorRequest) -> replies.Reply:
    """Withdraws a key, so that requests with it are refused."""
    assert isinstance(request.input, models.KeyRequest)
    body = request.input

    def edit(
        stored: documents.Document | None,
    ) -> result.Result[documents.Document, replies.Refusal]:
        if stored is None:
            return _no_configuration(request.step)
        return edits.withdraw_key(
            stored, body.organisation, body.label
        ).map_err(lambda refused: replies.edit_refused(request.step, refused))

    return await changes.commit(
        request.runtime, _proposal(request, "keys-withdraw", edit)
    )


@routing.route("GET", "/keys", operators.Role.READ)
async def list_keys(request: routing.OperatorRequest) -> replies.Reply:
    """Returns labels and digests; the keys themselves are not stored."""
    index = request.runtime.configuration.index
    organisations = index.document.organisations if index else ()
    return result.Ok(
        models.Keys(
            revision=request.runtime.configuration.revision,
            keys=tuple(
                models.Key(
                    organisation=organisation.name,
                    label=key.label,
                    digest=key.digest,
                )
                for organisation in organisations
                for key in organisation.keys
            ),
        )
    )


def _proposal(
    request: routing.OperatorRequest, action: str, edit: changes.Edit
) -> changes.Proposal:
    assert isinstance(request.input, models.KeyRequest)
    return changes.Proposal(
        operator=request.operator,
        step=request.step,
        action=action,
        subject=f"{request.input.organisation}/{request.input.label}",
        note=request.input.note,
        edit=edit,
    )


def _no_configuration(step: str) -> result.Err[replies.Refusal]:
    return replies.refuse(
        replies.NOT_FOUND,
        step,
        "store",
        "there is no configuration yet",
        "apply a questionnaire first",
    )
