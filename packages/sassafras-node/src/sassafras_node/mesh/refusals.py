"""What is sent on connections that are refused before anything is read."""

import h11

from sassafras_node.mesh import runtime as runtimes
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_wire.mesh import call_messages
from sassafras_wire.mesh import frames

# Refused clients return after one to two of these, so that they do not return
# together.
_RETRY_AFTER_MS = 500


def of_http_connection(runtime: runtimes.Runtime) -> bytes:
    """Returns a response that tells a client when to come back."""
    response = _refusal(runtime)
    headers = runtime.platform.front_end.response_headers(response)
    connection = h11.Connection(h11.SERVER)
    head = h11.Response(
        status_code=response.status,
        headers=[
            *headers,
            ("content-length", str(len(response.body))),
            ("connection", "close"),
        ],
    )
    parts = [
        connection.send(head),
        connection.send(h11.Data(data=response.body)),
    ]
    return b"".join(part for part in parts if part)


def of_call_connection(runtime: runtimes.Runtime) -> bytes:
    """Returns the answer to the call that another node is about to send."""
    return frames.encode(
        call_messages.encode_answer(_refusal(runtime), is_last=True)
    )


def _refusal(runtime: runtimes.Runtime) -> messages.CallResponse:
    return messages.refusal(
        outcomes.Reason.OVERLOAD,
        503,
        "requests run on all connections that this node may have",
        retry_after_ms=int(_RETRY_AFTER_MS * (1 + runtime.rng.random())),
    )
