"""Golden files of sessions with callers, targets, peers and the store."""

import base64
import json

import cbor2
import pytest
import trio

from common import golden
from common import nodes
from common import waiting
from sassafras_node.peers import handlers
from sassafras_node.store import keys
from sassafras_node.store import writer
from sassafras_policy.membership import roster as rosters
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller
from sassafras_standins.store import server as store_server
from sassafras_wire.peer import authentication
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

pytestmark = pytest.mark.loopback

_ZONES = "/sassafras/zones/"

_MASKS = [
    (r"127\.0\.0\.1:\d+", "ADDRESS"),
    (r"(?i)(sassafras-context: )\S+", r"\1TOKEN"),
    (r"(?i)(sassafras-deadline-ms: )\d+", r"\1MS"),
]

_CALLER_SESSION = [
    "GET /desk/open HTTP/1.1\r\nHost: desk\r\n\r\n",
    "GET /desk/1 HTTP/1.1\r\nHost: desk\r\n\r\n",
    (
        "GET /desk/1?page=2 HTTP/1.1\r\nHost: desk\r\nX-Request-Id: one\r\n"
        f"Authorization: Bearer {samples.NATIONAL_KEY}\r\n\r\n"
    ),
    (
        "POST /desk/2 HTTP/1.1\r\nHost: desk\r\nContent-Type: text/plain\r\n"
        f"Authorization: Bearer {samples.NATIONAL_KEY}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
    ),
    "GET /nowhere HTTP/1.1\r\nHost: desk\r\n\r\n",
    "GET /desk/open HTTP/1.1\r\n\r\n",
]


async def _read_message(stream):
    """Returns one HTTP message with its body, as received."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = await stream.receive_some(65536)
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
            while len(body) < length:
                body += await stream.receive_some(65536)
    return head + b"\r\n\r\n" + body


async def _connect(address):
    host, port = address.rsplit(":", 1)
    return await trio.open_tcp_stream(host, int(port))


def _show(direction, data):
    return "".join(
        f"{direction} {line}\n" for line in data.decode("latin-1").split("\r\n")
    )


class RawTarget:
    """A target that records its requests and sends fixed responses."""

    def __init__(self):
        self.address = launcher.free_address()
        self.transcript = ""

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        host, port = self.address.rsplit(":", 1)
        await trio.serve_tcp(
            self._serve, int(port), host=host, task_status=task_status
        )

    async def _serve(self, stream):
        while True:
            request = await _read_message(stream)
            if not request:
                return
            response = (
                b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                b"Content-Length: 4\r\n\r\ndone"
            )
            self.transcript += _show(">", request) + _show("<", response)
            await stream.send_all(response)


async def test_a_caller_and_a_target_session():
    """Guards against changed messages to callers and targets."""
    async with nodes.fleet(1) as fleet:
        host = fleet.hosts[0]
        handlers.activate_configuration(
            host.runtime, samples.document(), "test"
        )
        nodes.set_roster(fleet.hosts)
        target = RawTarget()
        await fleet.nursery.start(target.run)
        announcement = json.dumps(
            {
                "address": target.address,
                "service": "desk",
                "slots": 2,
                "connections": 2,
            }
        )
        local_connection = await _connect(host.settings.host.target_address)
        announced = ""
        for body in (announcement, '{"service": ""}'):
            request = (
                "PUT /sassafras/announcement HTTP/1.1\r\nHost: node\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
            await local_connection.send_all(request)
            announced += _show(">", request)
            announced += _show("<", await _read_message(local_connection))
        host.runtime.roster.offer(
            rosters.Roster(1, (rosters.Member(host.node_id, "desk"),))
        )
        # The rate share of a node that has just started is empty.
        bank = caller.Caller(
            [host.settings.host.caller_address], samples.NATIONAL_KEY
        )

        async def served():
            return (await bank.request("GET", "/desk/1")).status == 200

        await waiting.until(served, "the organisation has tokens")
        await bank.close()
        target.transcript = ""
        stream = await _connect(host.settings.host.caller_address)
        calls = ""
        for text in _CALLER_SESSION:
            await stream.send_all(text.encode())
            calls += _show(">", text.encode())
            calls += _show("<", await _read_message(stream))
        await stream.aclose()
        await local_connection.aclose()
    assert samples.NATIONAL_KEY not in target.transcript
    golden.check("caller", calls, _MASKS)
    golden.check(
        "target",
        f"# Target to node\n{announced}# Node to target\n{target.transcript}",
        _MASKS,
    )


class RecordingLink:
    """Records the CBOR messages of a link as JSON."""

    def __init__(self, monkeypatch):
        self.transcript = ""
        original_send = links.Link.send
        original_receive = links.Link.receive
        recorder = self

        async def send(link, message):
            recorder.record(link, ">", message)
            await original_send(link, message)

        async def receive(link):
            message = await original_receive(link)
            recorder.record(link, "<", message)
            return message

        self.recorded_address = None
        monkeypatch.setattr(links.Link, "send", send)
        monkeypatch.setattr(links.Link, "receive", receive)

    def record(self, link, direction, message):
        """Records a message on the opener's side of the observed link."""
        if link.address != self.recorded_address:
            return
        content = cbor2.loads(links.codec.encode(message))
        text = json.dumps(content, default=lambda value: value.hex())
        self.transcript += f"{direction} {text}\n"


async def test_a_peer_session(monkeypatch):
    """Guards against messages that nodes of another version reject."""
    recorder = RecordingLink(monkeypatch)
    async with nodes.fleet(1) as fleet, trio.open_nursery() as nursery:
        host = fleet.hosts[0]
        handlers.activate_configuration(
            host.runtime, samples.document(revision=3), "test"
        )
        target = RawTarget()
        await fleet.nursery.start(target.run)
        body = json.dumps(
            {
                "address": target.address,
                "service": "desk",
                "slots": 2,
                "connections": 2,
            }
        )
        local_connection = await _connect(host.settings.host.target_address)
        await local_connection.send_all(
            (
                "PUT /sassafras/announcement HTTP/1.1\r\nHost: node\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}"
            ).encode()
        )
        await _read_message(local_connection)

        async def settled():
            return host.runtime.table.own.config_revision == 3

        await waiting.until(settled, "the own record is complete")
        recorder.recorded_address = host.settings.host.peer_address
        link = await links.open_link(
            nursery,
            recorder.recorded_address,
            links.Credentials(
                identity=authentication.Identity("10.9.9.9:1", 7, "zone-0"),
                secret=authentication.Secret(nodes.SECRET.encode()),
            ),
        )
        own = models.NodeRecordModel(
            node_id="10.9.9.9:1",
            availability_zone="zone-0",
            incarnation=7,
            version=1,
            status=0,
        )
        heartbeat = models.Heartbeat(
            node_id="10.9.9.9:1", config_revision=2, changes=[own]
        )
        await link.send(heartbeat)
        await link.expect(models.HeartbeatAck)
        await link.send(heartbeat.model_copy(update={"changes": []}))
        await link.expect(models.HeartbeatAck)
        await link.send(models.DocumentFetch(kind=handlers.CONFIGURATION))
        await link.expect(models.DocumentMessage)
        call = models.Call(
            call_id=1,
            root_id="0" * 32,
            organisation="national-bank",
            priority=2,
            bucket=5,
            deadline_ms=2000,
            depth=0,
            at_most_once=False,
            method="GET",
            path="/desk/1",
            headers=[("x-request-id", "one")],
            body=b"",
        )
        await link.send(call)
        await link.expect(models.AnswerMessage)
        await link.abort()
        await local_connection.aclose()
        nursery.cancel_scope.cancel()
    golden.check(
        "peer",
        recorder.transcript,
        [
            *_MASKS,
            (r'"(nonce|proof|content)": "[0-9a-f]+"', r'"\1": "BYTES"'),
            (r'"incarnation": \d{8,}', '"incarnation": MILLISECONDS'),
        ],
    )


class RecordingStore(store_server.StoreServer):
    """A store that records calls by key, as calls for other keys overlap."""

    def __init__(self):
        super().__init__()
        self.sessions = {}

    def _call(self, path, body):
        response = super()._call(path, body)
        self._record(path, body, response)
        return response

    async def _watch(self, connection, stream, body):
        self._record("/v3/watch", body["create_request"], None)
        await super()._watch(connection, stream, body)

    def _record(self, path, body, response):
        key = body["compare"][0]["key"] if "compare" in body else ""
        key = key or body.get("key", "")
        name = base64.b64decode(key).decode() or path
        lines = self.sessions.setdefault(name, [])
        if path != "/v3/kv/txn" and lines and name in (path, _ZONES):
            return  # Repeated at intervals; one is enough.
        call = f"> POST {path} {_decode_base64(body)}\n"
        # The content of the zones depends on the order of other calls.
        if response is not None and name != _ZONES:
            header = (
                {"header": {"revision": "N"}} if "header" in response else {}
            )
            call += f"< {_decode_base64({**response, **header})}\n"
        # Several tasks make the same reads, in no fixed order.
        if call not in lines:
            lines.append(call)


def _decode_base64(content):
    """Returns JSON with keys and values decoded from base64."""

    def plain(item):
        if isinstance(item, dict):
            return {
                name: base64.b64decode(value).decode()[:40]
                if name in ("key", "value", "range_end")
                and isinstance(value, str)
                else plain(value)
                for name, value in item.items()
            }
        return [plain(x) for x in item] if isinstance(item, list) else item

    return json.dumps(plain(content))


async def test_a_store_session():
    """Guards against calls that the platform's store does not offer."""
    store = RecordingStore()
    address = launcher.free_address()
    async with trio.open_nursery() as nursery:
        await nursery.start(store.listen, address)
        async with nodes.fleet(1, store_address=address, zones=1) as fleet:
            host = fleet.hosts[0]

            async def watching():
                return "/v3/watch" in str(
                    store.sessions.get(keys.CONFIGURATION)
                )

            await waiting.until(watching, "the node watches")
            outcome = await writer.write(host.runtime, samples.document(), 0)
            assert outcome.is_ok()
            outcome = await writer.write(host.runtime, samples.document(), 0)
            assert outcome.is_err()

            async def complete():
                members = keys.zone_members("zone-0")
                return _ZONES in store.sessions and "txn" in str(
                    store.sessions.get(members)
                )

            await waiting.until(complete, "the node has read and listed zones")
        nursery.cancel_scope.cancel()
    session = "".join(
        f"# {name}\n" + "".join(lines)
        for name, lines in sorted(store.sessions.items())
    )
    golden.check(
        "store",
        session,
        [
            *_MASKS,
            (r'write_id\\":\\"[0-9a-f]*', "write_id: ID"),
            (r'("mod_revision": )"[1-9]\d*"', r'\1"N"'),
        ],
    )
