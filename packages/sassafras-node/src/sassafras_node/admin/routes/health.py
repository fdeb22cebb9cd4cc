"""Whether the node runs."""

import result

from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_wire.administration import models


@routing.route("GET", "/health", None)
async def get_health(call: routing.Call) -> replies.Reply:
    """Answers without a credential, so it says nothing confidential."""
    runtime = call.runtime
    return result.Ok(
        models.Health(
            status="draining" if runtime.drain.is_draining else "ok",
            node_id=runtime.table.own_id,
            revision=runtime.configuration.revision,
        )
    )
