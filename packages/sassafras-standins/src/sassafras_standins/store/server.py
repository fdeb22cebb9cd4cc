"""Serves the etcd v3 JSON protocol over the data of the store stand-in.

It also serves `GET /standin/calls` and `PUT /standin/faults`.
"""

import base64
import functools
import json
from typing import Any

import h11
import trio

from sassafras_standins.store import data
from sassafras_standins.store import faults as fault_modes
from sassafras_wire.http import client as http_client

_WATCH = "/v3/watch"
_EXPIRY_INTERVAL_S = 0.1


class StoreServer:
    """An HTTP server for one data set, with injectable faults."""

    def __init__(self) -> None:
        self.data = data.KeyValueData()
        self.faults = fault_modes.Faults()

    async def listen(
        self,
        address: str,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves at an address until cancelled."""
        host, port = http_client.split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_forever)
            task_status.started()
            await trio.serve_listeners(self.serve, listeners)

    async def _expire_forever(self) -> None:
        """Expires leases on time even if there are no calls."""
        while True:
            await trio.sleep(_EXPIRY_INTERVAL_S)
            self.data.expire()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serves the requests of one connection, one after another."""
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(connection, stream):
                connection.start_next_cycle()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
            EOFError,
        ):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_request(
        self, connection: h11.Connection, stream: trio.abc.Stream
    ) -> bool:
        """Serves a request; returns whether the connection stays open."""
        request, body = await _receive(connection, stream)
        path = request.target.decode()
        if path.startswith("/standin/"):
            await _respond(connection, stream, self._handle_control(path, body))
            return True
        self.faults.count(path)
        if self.faults.mode is fault_modes.Mode.DOWN:
            return False
        if self.faults.mode is fault_modes.Mode.SLOW:
            await trio.sleep(self.faults.delay_s)
        if path == _WATCH:
            await self._watch(connection, stream, json.loads(body))
            return False
        content = self._call(path, json.loads(body))
        if self._loses_response(path):
            return False
        await _respond(connection, stream, content)
        return True

    def _loses_response(self, path: str) -> bool:
        if path != "/v3/kv/txn":
            return False
        if self.faults.lose_next > 0:
            self.faults.lose_next -= 1
            return True
        return self.faults.mode is fault_modes.Mode.LOSE_ANSWERS

    def _handle_control(self, path: str, body: bytes) -> dict[str, Any]:
        if path == "/standin/faults":
            content = json.loads(body)
            self.faults.mode = fault_modes.Mode(content.get("mode", "normal"))
            self.faults.delay_s = float(content.get("delay_s", 0.0))
            self.faults.lose_next = int(content.get("lose_next", 0))
            # Wakes open watches, which end in mode `DOWN`.
            changed, self.data.changed = self.data.changed, trio.Event()
            changed.set()
        return {"calls": self.faults.calls}

    def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        header = {"revision": str(self.data.revision)}
        if path == "/v3/kv/range":
            found = self.data.find(
                base64.b64decode(body["key"]),
                base64.b64decode(body.get("range_end", "")),
            )
            kvs = [_key_value(key, entry) for key, entry in found]
            if body.get("keys_only"):
                for item in kvs:
                    del item["value"]
            return {"header": header, "kvs": kvs}
        if path == "/v3/kv/deleterange":
            deleted = self.data.delete(base64.b64decode(body["key"]))
            return {"header": header, "deleted": str(deleted)}
        if path == "/v3/kv/txn":
            compare = body["compare"][0]
            put = body["success"][0]["request_put"]
            succeeded = self.data.put_if(
                base64.b64decode(put["key"]),
                base64.b64decode(put["value"]),
                int(compare["mod_revision"]),
                int(put.get("lease", 0)),
            )
            header = {"revision": str(self.data.revision)}
            return {"header": header, "succeeded": succeeded}
        if path == "/v3/lease/grant":
            lease = self.data.grant(float(body["TTL"]))
            return {"ID": str(lease), "TTL": body["TTL"]}
        if path == "/v3/lease/keepalive":
            ttl_s = self.data.renew(int(body["ID"]))
            return {"result": {"ID": body["ID"], "TTL": str(int(ttl_s))}}
        if path == "/v3/lease/revoke":
            self.data.revoke(int(body["ID"]))
            return {"header": header}
        raise h11.RemoteProtocolError(f"unknown path {path}")

    async def _watch(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        body: dict[str, Any],
    ) -> None:
        request = body["create_request"]
        key = base64.b64decode(request["key"])
        next_revision = int(request.get("start_revision", 0))
        head = h11.Response(
            status_code=200, headers=[("transfer-encoding", "chunked")]
        )
        await _send(connection, stream, head)
        created = {"result": {"created": True, "header": {}}}
        await _send_line(connection, stream, created)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                functools.partial(_cancel_at_eof, stream, nursery)
            )
            while self.faults.mode is not fault_modes.Mode.DOWN:
                changed = self.data.changed
                self.data.expire()
                changes = [
                    change
                    for change in self.data.log
                    if change.revision >= next_revision and change.key == key
                ]
                if changes:
                    next_revision = changes[-1].revision + 1
                    events = [_event(change) for change in changes]
                    line = {
                        "result": {
                            "header": {"revision": str(self.data.revision)},
                            "events": events,
                        }
                    }
                    await _send_line(connection, stream, line)
                else:
                    await changed.wait()
            nursery.cancel_scope.cancel()


def _key_value(key: bytes, entry: data.Entry) -> dict[str, Any]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.mod_revision),
        "lease": str(entry.lease),
    }


def _event(change: data.Change) -> dict[str, Any]:
    content: dict[str, Any] = {
        "key": base64.b64encode(change.key).decode(),
        "mod_revision": str(change.revision),
    }
    if change.value is None:
        return {"type": "DELETE", "kv": content}
    content["value"] = base64.b64encode(change.value).decode()
    return {"type": "PUT", "kv": content}


async def _cancel_at_eof(
    stream: trio.abc.Stream, nursery: trio.Nursery
) -> None:
    while await stream.receive_some(1024):
        pass
    nursery.cancel_scope.cancel()


async def _receive(
    connection: h11.Connection, stream: trio.abc.Stream
) -> tuple[h11.Request, bytes]:
    request: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(bytes(await stream.receive_some(65536)))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            return request, bytes(body)
        else:
            raise EOFError("the client disconnected")


async def _respond(
    connection: h11.Connection,
    stream: trio.abc.Stream,
    content: dict[str, Any],
) -> None:
    body = json.dumps(content).encode()
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
    ]
    encoded = connection.send(h11.Response(status_code=200, headers=headers))
    encoded = (encoded or b"") + (connection.send(h11.Data(data=body)) or b"")
    encoded += connection.send(h11.EndOfMessage()) or b""
    await stream.send_all(encoded)


async def _send(
    connection: h11.Connection, stream: trio.abc.Stream, event: h11.Response
) -> None:
    await stream.send_all(connection.send(event) or b"")


async def _send_line(
    connection: h11.Connection, stream: trio.abc.Stream, content: object
) -> None:
    line = json.dumps(content).encode() + b"\n"
    await stream.send_all(connection.send(h11.Data(data=line)) or b"")
