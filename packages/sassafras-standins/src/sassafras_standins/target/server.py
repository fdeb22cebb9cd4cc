"""A target stand-in with slots, service time, sub-calls and faults.

It also serves `GET /standin/counters`, `PUT /standin/behaviour` and
`PUT /standin/leave`.
"""

import json
from typing import Any

import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_standins import serving
from sassafras_standins.target import settings as target_settings
from sassafras_wire.http import pool

_ANNOUNCE_INTERVAL_S = 2.0
_RETRY_INTERVAL_S = 0.2
_CONTEXT_HEADER = "sassafras-context"
_DEADLINE_HEADER = "sassafras-deadline-ms"
_BODY_LIMIT = 4 * 1024 * 1024


class TargetServer:
    """A target, and a record of the requests that it received.

    Attributes:
      settings: Its settings.
      executions: Number of executions of each request id (`x-request-id`).
      arrivals: Number of requests with each id, executed or not.
      seen_headers: Names of all header fields received so far.
    """

    def __init__(self, settings: target_settings.TargetSettings) -> None:
        self.settings = settings
        self.executions: dict[str, int] = {}
        self.arrivals: dict[str, int] = {}
        self.seen_headers: set[str] = set()
        self._started = 0
        self._finished = 0
        self._slots = trio.CapacityLimiter(settings.slots)
        self._behaviour: dict[str, Any] = {}
        self._state = "serving"
        self._state_changed = trio.Event()
        self._node = pool.ConnectionPool(
            settings.node_address,
            "standin.sub_call",
            size=256,
            body_limit=_BODY_LIMIT,
            connect_timeout_s=1.0,
        )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves requests and sends announcements until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(
                serving.listen, self.settings.address, self.handle
            )
            nursery.start_soon(self._send_announcements)
            task_status.started()

    def leave(self) -> None:
        """Announces that the target is leaving."""
        self._state = "leaving"
        self._state_changed.set()

    async def handle(self, request: messages.Request) -> messages.CallResponse:
        """Serves one request."""
        if request.path == "/standin/counters":
            return serving.response(json.dumps(self._counters()).encode())
        if request.path == "/standin/behaviour":
            self._behaviour = json.loads(request.body)
            return serving.response(b"{}")
        if request.path == "/standin/leave":
            self.leave()
            return serving.response(b"{}")
        return await self._execute(request)

    async def _execute(
        self, request: messages.Request
    ) -> messages.CallResponse:
        self.seen_headers.update(name for name, _ in request.headers)
        request_id = request.header("x-request-id") or ""
        self.arrivals[request_id] = self.arrivals.get(request_id, 0) + 1
        if self._behaviour.get("fail"):
            return serving.response(b'{"error": "failing"}', 500)
        if self._behaviour.get("hang"):
            await trio.sleep_forever()
        async with self._slots:
            self.executions[request_id] = self.executions.get(request_id, 0) + 1
            self._write_journal(request_id)
            self._started += 1
            slow = float(self._behaviour.get("slow", 1.0))
            await trio.sleep(self.settings.service_ms / 1000 * slow)
            for path in self.settings.sub_calls:
                status = await self._sub_call(request, path)
                if status >= 300:
                    body = json.dumps({"failed": path, "status": status})
                    return serving.response(body.encode(), 502)
        self._finished += 1
        content = {
            "service": self.settings.service,
            "target": self.settings.address,
            "request_id": request_id,
            "echo": len(request.body),
        }
        return serving.response(json.dumps(content).encode())

    async def _sub_call(self, request: messages.Request, path: str) -> int:
        headers = [
            (name, value)
            for name, value in request.headers
            if name in (_CONTEXT_HEADER, _DEADLINE_HEADER, "x-request-id")
        ]
        sub_request = messages.Request("GET", path, tuple(headers), b"")
        status = 0
        for _ in range(self.settings.sub_call_retries + 1):
            try:
                response = await self._node.exchange(sub_request)
                status = response.status
            except errors.SassafrasError:
                status = 599
            if status < 300:
                break
        return status

    def _write_journal(self, request_id: str) -> None:
        if self.settings.journal:
            with open(self.settings.journal, "a", encoding="utf-8") as journal:
                journal.write(f"{request_id}\n")

    def _counters(self) -> dict[str, Any]:
        return {
            "started": self._started,
            "finished": self._finished,
            "executions": self.executions,
            "arrivals": self.arrivals,
            "seen_headers": sorted(self.seen_headers),
        }

    async def _send_announcements(self) -> None:
        while True:
            content = {
                "address": self.settings.address,
                "service": self.settings.service,
                "slots": self.settings.slots,
                "connections": self.settings.connections,
                "cold_start_s": self.settings.cold_start_s,
                "state": self._state,
                "load": self._slots.borrowed_tokens / self.settings.slots,
            }
            request = messages.Request(
                "PUT",
                "/sassafras/announcement",
                (("content-type", "application/json"),),
                json.dumps(content).encode(),
            )
            interval_s = _ANNOUNCE_INTERVAL_S
            try:
                await self._node.exchange(request)
            except errors.SassafrasError:
                interval_s = _RETRY_INTERVAL_S
            with trio.move_on_after(interval_s):
                await self._state_changed.wait()
            self._state_changed = trio.Event()
