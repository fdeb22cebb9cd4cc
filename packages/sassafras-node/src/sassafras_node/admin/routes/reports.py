"""The burn report of the fleet and the metrics of the node."""

import result

from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_node.reports import exposition
from sassafras_node.reports import fleet
from sassafras_node.reports import metrics
from sassafras_node.reports import renderers
from sassafras_wire.administration import models
from sassafras_wire.settings import operators


@routing.route("GET", "/report", operators.Role.READ, models.ReportQuery)
async def get_report(call: routing.Call) -> replies.Reply:
    """Answers with the burn report of the whole fleet."""
    assert isinstance(call.input, models.ReportQuery)
    name = call.input.format
    if name not in renderers.renderers:
        known = ", ".join(renderers.renderers.names)
        fault = models.FaultModel(
            section="request", key="format", given=name, allowed=known
        )
        return replies.invalid(call.step, "local", (fault,))
    report = await fleet.collect(call.runtime)
    return result.Ok(
        models.RawResponse(
            content_type=renderers.CONTENT_TYPES[name],
            content=renderers.renderers.get(name)(report),
        )
    )


@routing.route("GET", "/metrics", operators.Role.READ)
async def get_metrics(call: routing.Call) -> replies.Reply:
    """Answers with this node's metrics for a scraper."""
    return result.Ok(
        models.RawResponse(
            content_type=exposition.CONTENT_TYPE,
            content=metrics.render(call.runtime),
        )
    )
