"""The life of one connection that asks for readiness or for metrics."""

import trio

from sassafras_node import http_session
from sassafras_node.mesh import measurements
from sassafras_node.mesh import runtime as runtimes
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes

_METRICS_PATH = "/metrics"


async def serve(
    runtime: runtimes.Runtime, stream: trio.SocketStream, peer: str
) -> None:
    """Answers until the other side disconnects."""

    async def handle(request: messages.Request) -> messages.Answer:
        if request.path_without_query == _METRICS_PATH:
            return _metrics(runtime)
        if not runtime.platform.codecs.is_readiness_check(request):
            return messages.refusal(
                outcomes.Reason.NO_ROUTE, 404, "ask for readiness or metrics"
            )
        status = 200 if runtime.is_ready else 503
        return messages.Answer(outcome=outcomes.Outcome.RAN, status=status)

    await http_session.serve(
        runtime,
        stream,
        peer,
        handle,
        answer_form=runtime.platform.front_end.answer_form,
    )


def _metrics(runtime: runtimes.Runtime) -> messages.Answer:
    age_s = runtime.freshness.age_s(runtime.clock.now_with_suspend())
    text = runtime.measurements.render(
        {
            "configuration_version": runtime.version,
            "configuration_age_s": age_s,
            "peers": len(runtime.fleet),
            "in_flight": runtime.drain.in_flight,
            "target_serving": int(runtime.target.is_serving),
            "target_load": runtime.target.gate.load,
            "target_limit": runtime.target.gate.limit,
            "admission_level": runtime.target.gate.level,
        }
    )
    return messages.Answer(
        outcome=outcomes.Outcome.RAN,
        headers=(("content-type", measurements.CONTENT_TYPE),),
        body=text.encode(),
    )
