"""Callers' keys: grant, withdraw, list."""

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
async def grant(call: routing.Call) -> replies.Reply:
    """Makes a new key, stores its digest and shows the key this one time."""
    assert isinstance(call.input, models.KeyRequest)
    request = call.input
    key = secrets.token_urlsafe(_KEY_BYTES)
    digest = hashing.digest(key)

    def edit(
        stored: documents.Document | None,
    ) -> result.Result[documents.Document, replies.Refusal]:
        if stored is None:
            return _no_configuration(call.step)
        return edits.grant_key(
            stored, request.organisation, request.label, digest
        ).map_err(lambda refused: replies.from_edit(call.step, refused))

    made = await changes.commit(
        call.runtime, _proposal(call, "keys-grant", edit)
    )
    if isinstance(made, result.Err):
        return made
    return result.Ok(
        models.GrantedKey(
            **dict(made.ok_value),
            organisation=request.organisation,
            label=request.label,
            key=key,
        )
    )


@routing.route(
    "POST", "/keys/withdraw", operators.Role.CHANGE, models.KeyRequest
)
async def withdraw(call: routing.Call) -> replies.Reply:
    """Takes a key out of force."""
    assert isinstance(call.input, models.KeyRequest)
    request = call.input

    def edit(
        stored: documents.Document | None,
    ) -> result.Result[documents.Document, replies.Refusal]:
        if stored is None:
            return _no_configuration(call.step)
        return edits.withdraw_key(
            stored, request.organisation, request.label
        ).map_err(lambda refused: replies.from_edit(call.step, refused))

    return await changes.commit(
        call.runtime, _proposal(call, "keys-withdraw", edit)
    )


@routing.route("GET", "/keys", operators.Role.READ)
async def list_keys(call: routing.Call) -> replies.Reply:
    """Answers with labels and digests; the keys themselves are not kept."""
    index = call.runtime.configuration.index
    organisations = index.document.organisations if index else ()
    return result.Ok(
        models.Keys(
            revision=call.runtime.configuration.revision,
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
    call: routing.Call, action: str, edit: changes.Edit
) -> changes.Proposal:
    assert isinstance(call.input, models.KeyRequest)
    return changes.Proposal(
        operator=call.operator,
        step=call.step,
        action=action,
        subject=f"{call.input.organisation}/{call.input.label}",
        note=call.input.note,
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
