"""Announcements of the local target."""

import pydantic

from sassafras_node import runtime as runtimes
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.membership import records
from sassafras_wire.settings import node as node_settings

PATH = "/sassafras/announcement"


class AnnouncementModel(pydantic.BaseModel):
    """Body of `PUT /sassafras/announcement`."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    address: node_settings.Address
    service: str = pydantic.Field(min_length=1, max_length=64)
    slots: int = pydantic.Field(gt=0)
    connections: int = pydantic.Field(gt=0)
    cold_start_s: float = pydantic.Field(default=0.0, ge=0)
    state: records.TargetState = records.TargetState.SERVING
    load: float = pydantic.Field(default=0.0, ge=0)


async def handle(
    runtime: runtimes.Runtime, request: messages.Request
) -> messages.CallResponse:
    """Applies an announcement and responds to the target."""
    try:
        model = AnnouncementModel.model_validate_json(request.body)
    except pydantic.ValidationError as error:
        faults = "; ".join(
            ".".join(str(part) for part in fault["loc"]) + ": " + fault["msg"]
            for fault in error.errors(include_input=False)
        )
        return messages.refusal(
            outcomes.Reason.BAD_REQUEST, 400, f"announcement: {faults}"
        )
    announcement = records.Announcement(
        address=model.address,
        service=model.service,
        slots=model.slots,
        connections=model.connections,
        cold_start_s=model.cold_start_s,
        state=model.state,
        load=model.load,
    )
    await runtime.target.announce(announcement)
    publish(runtime)
    return messages.CallResponse(
        outcome=outcomes.Outcome.RAN,
        status=200,
        headers=(("content-type", "text/plain; charset=utf-8"),),
        body=b"announced\n",
    )


def publish(runtime: runtimes.Runtime) -> None:
    """Copies the target's state into the node's own membership record."""
    announcement = runtime.target.announcement
    own = runtime.table.own
    if announcement is None:
        if own.target_state is not records.TargetState.ABSENT:
            runtime.table.update_own(target_state=records.TargetState.ABSENT)
        return
    state = announcement.state
    if runtime.drain.is_draining or runtime.target.is_stopped:
        state = records.TargetState.LEAVING
    changes = {
        "service": announcement.service,
        "target_address": announcement.address,
        "target_state": state,
        "slots": announcement.slots,
        "cold_start_s": announcement.cold_start_s,
    }
    if any(getattr(own, name) != value for name, value in changes.items()):
        runtime.table.update_own(**changes)
