"""Route of the audit records."""

import result

from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_node.store import audit
from sassafras_wire.administration import models
from sassafras_wire.settings import operators
from sassafras_wire.store import client as store_client


@routing.route("GET", "/audit", operators.Role.READ, models.AuditQuery)
async def list_records(request: routing.OperatorRequest) -> replies.Reply:
    """Returns the latest records, newest first."""
    assert isinstance(request.input, models.AuditQuery)
    try:
        records = await audit.newest(request.runtime, request.input.limit)
    except (
        store_client.StoreUnavailableError,
        store_client.StoreRefusedError,
    ) as error:
        return replies.refuse(
            replies.NOT_STORED,
            request.step,
            "store",
            f"the store did not answer: {error}",
            "try again when it does",
        )
    return result.Ok(models.Audit(records=tuple(records)))
