"""Route of the health check."""

import result

from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_wire.administration import models


@routing.route("GET", "/health", None)
async def get_health(request: routing.OperatorRequest) -> replies.Reply:
    """Returns no confidential data, as the route needs no credential."""
    runtime = request.runtime
    return result.Ok(
        models.Health(
            status="draining" if runtime.drain.is_draining else "ok",
            node_id=runtime.table.own_id,
            revision=runtime.configuration.revision,
        )
    )
