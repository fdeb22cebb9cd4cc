"""Status lines that are none, from targets, other nodes and the store."""

import pytest
import trio

from common import mesh_fleet
from common import raw_targets
from sassafras_base import errors
from sassafras_platform import store as platform_store
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_standins import serving
from sassafras_standins.fleet import launcher
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint
from sassafras_wire.mesh import call_messages
from sassafras_wire.peer import codec
from sassafras_wire.store import client as store_client

pytestmark = pytest.mark.loopback

_REQUEST = messages.Request("GET", "/", (("host", "x"),), b"")
_INVALID = (
    "000", "001", "099", "600", "700", "777", "999", "0", "20", "2000", "20a",
    "-20", "+20", "2.0", "0x1", "", " 200", "\xb2\xb2\xb2", "200a", "1e2",
)  # fmt: skip
_ERRORS = (errors.ProtocolError, errors.ConnectionLostError)
_LENGTH = b"\r\nContent-Length: 0\r\n\r\n"


async def _exchange(head: bytes):
    """Returns the response to a request that gets these bytes, or the error.

    Raised in the nursery of the target, it would become an exception group.
    """

    async def serve(stream):
        await stream.receive_some(10_000)
        await stream.send_all(head)
        await stream.receive_some(10_000)

    async with raw_targets.running(serve, 1000) as pool:
        try:
            return await pool.exchange(_REQUEST)
        except errors.SassafrasError as error:
            return error


@pytest.mark.parametrize("status", _INVALID)
async def test_a_status_that_is_none_is_an_error(status):
    """Guards against bytes of a target in trouble taken for its response."""
    line = f"HTTP/1.1 {status} OK".encode("latin-1")
    assert isinstance(await _exchange(line + _LENGTH), _ERRORS)


@pytest.mark.parametrize("status", [200, 299, 404, 429, 500, 599])
async def test_every_class_of_status_is_accepted(status):
    """Guards against a check that rejects unregistered statuses."""
    response = await _exchange(b"HTTP/1.1 %d OK" % status + _LENGTH)
    assert response.status == status


@pytest.mark.parametrize("status", [100, 101, 102, 103, 199])
async def test_interim_responses_without_end_are_an_error(status):
    """Guards against a wait for the final response that never ends."""
    result = await _exchange(b"HTTP/1.1 %d Wait\r\n\r\n" % status * 10_000)
    assert isinstance(result, _ERRORS)


async def test_a_switch_of_protocols_is_an_error_where_none_was_asked_for():
    """Guards against a connection that speaks another protocol from then on."""
    result = await _exchange(b"HTTP/1.1 101 Switching Protocols" + _LENGTH)
    assert isinstance(result, _ERRORS)


async def test_an_interim_response_before_the_final_one_is_skipped():
    """Guards against a check that rejects what HTTP allows."""
    response = await _exchange(
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK" + _LENGTH
    )
    assert response.status == 200


class _OddEndpoint(endpoint.Endpoint):
    """Responds with a status line that is none."""

    async def handle(self, request: messages.Request) -> messages.CallResponse:
        request_id = request.header("request-id") or ""
        self.executions[request_id] = self.executions.get(request_id, 0) + 1
        return self._response(777, request_id, b"odd")


_BACK = documents.RouteRow(
    "back", mesh_fleet.HOST, "/back/", "back", route_type="unsafe"
)


@pytest.mark.parametrize("at", ["one", "two"])
async def test_a_caller_never_gets_a_status_that_is_none(
    tmp_path, monkeypatch, at
):
    """Guards against such a status that a caller takes for an answer.

    The caller is at the node beside the target, or at another one. Its request
    may have run, and is not sent again.
    """
    async with mesh_fleet.running(tmp_path, routes=(_BACK,)) as fleet:
        await fleet.add_machine("one")
        monkeypatch.setattr(endpoint, "Endpoint", _OddEndpoint)
        await fleet.add_machine("two", service="back")
        await fleet.wait_until_settled()
        response = await fleet.send_request(
            at, "/back/1", "POST", request_id="r1"
        )
        executions = fleet.executions("r1")
    assert response.status == 502
    assert response.header("sassafras-outcome").startswith("unknown")
    assert executions == 1


@pytest.mark.parametrize("status", [-1, 0, 99, 600, 777, 70_000])
def test_a_status_of_another_node_that_is_none_is_an_error(status):
    """Guards against such a status of a node with other code or in trouble."""
    response = messages.CallResponse(
        outcome=outcomes.Outcome.RAN, status=status, body=b"odd"
    )
    with pytest.raises(errors.ProtocolError):
        codec.decode(call_messages.encode_answer(response, False), "peer")


async def test_a_status_of_the_store_that_is_none_is_an_outage():
    """Guards against bytes of a store in trouble taken for its data."""
    address = launcher.free_address()

    async def handle(request):
        return serving.response(b'{"items": [], "CurrentRev": 7}', 777)

    async with trio.open_nursery() as nursery:
        await nursery.start(serving.listen, address, handle)
        with pytest.raises(store_client.StoreUnavailableError):
            await platform_store.Store(address).get_prefix("op/")
        nursery.cancel_scope.cancel()
