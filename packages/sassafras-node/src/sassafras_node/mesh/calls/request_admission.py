"""Admits requests of callers by the room of the services behind them."""

import dataclasses

from sassafras_base import events
from sassafras_node.mesh import runtime as runtimes
from sassafras_policy.admission import whole_requests
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.mesh import calls


@events.declare(823, "INFO")
def room_short(
    request_id: str,
    route: str,
    organisation: str,
    service: str,
    part: float,
    pressure: float,
    demand: float,
    wait_ms: int,
    age_ms: int,
    retry_after_ms: int,
) -> str:
    """A request was refused at its first node for lack of room at a service.

    `service` is the scarce one, which the request may reach several calls deep.
    `part` of the requests of its class and organisation are admitted. Pressure,
    demand and wait are those of the newest report, which is `age_ms` old; see
    docs/operators/overload.md.
    """
    return f"request {request_id} refused for lack of room at {service}"


def admit(
    runtime: runtimes.Runtime,
    call: calls.Call,
    target_latency_s: float,
    left_s: float,
) -> calls.Call | messages.CallResponse:
    """Returns the call with the part that is admitted, or a refusal.

    Args:
      runtime: The node.
      call: A request of a caller.
      target_latency_s: Latency objective of its route; 0 for none.
      left_s: Time that the caller has left.
    """
    context = call.context
    decided = runtime.requests.decide(
        whole_requests.Ask(
            call.route,
            call.service,
            call.organisation,
            context.priority,
            context.bucket,
            left_s,
            target_latency_s,
        ),
        runtime.clock.now(),
    )
    if isinstance(decided, whole_requests.Shortage):
        return _refuse(runtime, call, decided)
    if decided >= 1.0:
        return call
    return dataclasses.replace(
        call, context=dataclasses.replace(context, part=decided)
    )


def _refuse(
    runtime: runtimes.Runtime,
    call: calls.Call,
    shortage: whole_requests.Shortage,
) -> messages.CallResponse:
    delay_s = shortage.come_back.delay_s(runtime.rng.random())
    retry_after_ms = int(delay_s * 1000) + 1
    room = shortage.room
    runtime.measurements.count("room_refusals", shortage.service)
    room_short(
        call.request_id,
        call.route,
        call.organisation,
        shortage.service,
        round(shortage.part, 3),
        round(room.pressure, 2),
        round(room.demand, 2),
        int(room.wait_s * 1000),
        int(shortage.age_s * 1000),
        retry_after_ms,
    )
    return messages.refusal(
        outcomes.Reason.OVERLOAD,
        503,
        f"service {shortage.service} has no room",
        retry_after_ms=retry_after_ms,
        is_scheduled=True,
    )
