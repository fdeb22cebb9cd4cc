"""Routes of the fleet's burn report and the node's metrics."""

import result

from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_node.reports import exposition
from sassafras_node.reports import fleet_report
from sassafras_node.reports import metrics
from sassafras_node.reports import renderers
from sassafras_wire.administration import models
from sassafras_wire.settings import operators


@routing.route("GET", "/report", operators.Role.READ, models.ReportQuery)
async def get_report(request: routing.OperatorRequest) -> replies.Reply:
    """Returns the burn report of the whole fleet."""
    assert isinstance(request.input, models.ReportQuery)
    name = request.input.format
    if name not in renderers.renderers:
        formats = ", ".join(renderers.renderers.names)
        fault = models.FaultModel(
            section="request", key="format", given=name, allowed=formats
        )
        return replies.invalid_input(request.step, "local", (fault,))
    report = await fleet_report.collect(request.runtime)
    return result.Ok(
        models.RawResponse(
            content_type=renderers.CONTENT_TYPES[name],
            content=renderers.renderers.get(name)(report),
        )
    )


@routing.route("GET", "/metrics", operators.Role.READ)
async def get_metrics(request: routing.OperatorRequest) -> replies.Reply:
    """Returns the metrics of this node for a scraper."""
    return result.Ok(
        models.RawResponse(
            content_type=exposition.CONTENT_TYPE,
            content=metrics.render(request.runtime),
        )
    )
