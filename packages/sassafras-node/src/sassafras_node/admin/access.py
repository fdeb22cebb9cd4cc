"""Authentication and authorisation of operators."""

import result

from sassafras_base import hashing
from sassafras_node.admin import replies
from sassafras_policy.calls import messages
from sassafras_wire.http import fields
from sassafras_wire.settings import operators

_STEP = "admin.access"


def authenticate(
    accounts: operators.Operators,
    request: messages.Request,
    required: operators.Role,
    peer: str,
) -> result.Result[str, replies.Refusal]:
    """Returns the name of the operator who sent a request.

    Only operators' credentials are accepted; a caller's key is rejected like
    any unknown credential.
    """
    if not accounts.root:
        return replies.refuse(
            replies.FORBIDDEN,
            _STEP,
            peer,
            "this node has no operators",
            "set [admin] operators_file in the node's settings",
        )
    credential = fields.bearer_key(request.headers)
    found = accounts.find(hashing.digest(credential)) if credential else None
    if found is None:
        return replies.refuse(
            replies.UNAUTHENTICATED,
            _STEP,
            peer,
            "no valid operator's credential came with the request",
            "send 'Authorization: Bearer' with an operator's credential; a"
            " caller's key is not one",
        )
    name, role = found
    if not role.permits(required):
        return replies.refuse(
            replies.FORBIDDEN,
            _STEP,
            peer,
            f"operator {name} has the role {role}; {required} is needed",
            "ask an operator with that role",
        )
    return result.Ok(name)
