"""Refuses calls that a downstream service would refuse anyway."""

from sassafras_node import runtime as runtimes
from sassafras_node.calls import contexts
from sassafras_node.calls import dispatch
from sassafras_policy.admission import levels
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes


async def serve(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
    parent: contexts.SubCallTracker | None = None,
) -> messages.CallResponse:
    """Dispatches a call unless the levels last received refuse it.

    Once a sub-call of the parent has succeeded, further ones are dispatched in
    any case, as its work would be lost otherwise.
    """
    if parent is None or not parent.has_success:
        refusal = _refusal(runtime, request, call)
        if refusal is not None:
            return refusal
    response = await dispatch.dispatch(runtime, request, call)
    now = runtime.clock.now()
    index = runtime.configuration.index
    if index is not None:
        for service, level in response.levels:
            runtime.service_levels.update(service, level, index.scale, now)
    return response


def _refusal(
    runtime: runtimes.Runtime,
    request: messages.Request,
    call: contexts.ActiveCall,
) -> messages.CallResponse | None:
    index = runtime.configuration.index
    if index is None:
        return None
    found = runtime.service_levels.refusing_service(
        index.reachable(request.service),
        call.context,
        index.scale,
        runtime.clock.now(),
    )
    if found is None:
        return None
    service, level = found
    # The refusal carries no level: nodes that forwarded received levels kept
    # each other's levels tight, and no call reached the service again.
    return messages.refusal(
        outcomes.Reason.OVERLOAD,
        503,
        f"service {service} is overloaded",
        retry_after_ms=levels.retry_after_ms(call.context.rank, level),
    )
