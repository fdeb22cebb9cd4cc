"""An emulated endpoint with slots, sub-calls, heartbeats and faults."""

import dataclasses
import json
import secrets
import time

import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_standins import serving
from sassafras_wire.http import pool

_HEALTH_PATH = "/health"
_BODY_LIMIT = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class SubCall:
    """A call that an endpoint makes while it serves a request.

    Attributes:
      host: Value of the `Host` field.
      path: Request target.
    """

    host: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSettings:
    """The identity and the load model of an endpoint.

    Attributes:
      address: Address on which it listens.
      service: Service that it belongs to.
      zone: Zone of its machine.
      control_address: The node's address for heartbeats.
      outbound_address: The node's address for sub-calls.
      slots: Requests that it executes at once; more wait in its queue.
      work_s: Time that a request takes, without its sub-calls.
      heartbeat_s: Time between heartbeats.
      cold_crash_rate_per_s: While cold, it crashes when it gets more requests
        within a second; 0 if it never does.
      sub_calls: Calls made for each request, in order.
    """

    address: str
    service: str
    zone: str
    control_address: str
    outbound_address: str
    slots: int = 20
    work_s: float = 0.02
    heartbeat_s: float = 0.5
    cold_crash_rate_per_s: float = 0.0
    sub_calls: tuple[SubCall, ...] = ()


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Active faults.

    Attributes:
      slow: Factor applied to the time that a request takes.
      turns_away: Responds with 503 and marks the request as not executed.
      fails: Executes requests and responds with 500.
      breaks_off: Executes requests and closes the connection without a
        response.
      omits_signature: Omits the signature from responses.
    """

    slow: float = 1.0
    turns_away: bool = False
    fails: bool = False
    breaks_off: bool = False
    omits_signature: bool = False


class Endpoint:
    """An endpoint, and a record of the requests that it executed.

    Attributes:
      settings: Its identity and load model.
      behaviour: Its active faults.
      target_id: Random id; each instance has its own.
      state: The state that its heartbeats report.
      executions: Number of executions of each request id.
      last_execution_at: Start of the last execution, on trio's clock; 0 before
        the first.
      cold_arrivals: Times of arrival, on trio's clock, of requests that it got
        while it was cold.
      crashes: How often it was cold and got more requests than it bears.
      received_headers: Header fields of the last execution of each request id.
    """

    def __init__(self, settings: EndpointSettings) -> None:
        self.settings = settings
        self.behaviour = Behaviour()
        self.target_id = f"i-{secrets.token_hex(5)}"
        self.state = "ready"
        self.executions: dict[str, int] = {}
        self.last_execution_at = 0.0
        self.cold_arrivals: list[float] = []
        self.crashes = 0
        self.received_headers: dict[str, dict[str, str]] = {}
        self._cold_until = 0.0
        self._started_ms = int(time.time() * 1000)
        self._sequence = 0
        self._slots = trio.CapacityLimiter(settings.slots)
        self._control = _pool(settings.control_address)
        self._outbound = _pool(settings.outbound_address)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves and sends heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(
                serving.listen, self.settings.address, self.handle
            )
            nursery.start_soon(self._send_heartbeats)
            task_status.started()

    async def handle(self, request: messages.Request) -> messages.CallResponse:
        """Serves one request."""
        if request.path_without_query == _HEALTH_PATH:
            return self._health()
        request_id = request.header("request-id")
        expected_id = request.header("target-instance")
        if request_id is None:
            return self._reject(400)
        if expected_id is not None and expected_id != self.target_id:
            return self._reject(421)
        self._record_cold_arrival()
        if self.behaviour.turns_away:
            return self._reject(503)
        async with self._slots:
            self.executions[request_id] = self.executions.get(request_id, 0) + 1
            self.last_execution_at = trio.current_time()
            self.received_headers[request_id] = dict(request.headers)
            await trio.sleep(self.settings.work_s * self.behaviour.slow)
            failed = not await self._make_sub_calls(request, request_id)
        if self.behaviour.breaks_off:
            raise trio.BrokenResourceError("the endpoint drops the connection")
        status = 500 if failed or self.behaviour.fails else 200
        return self._response(status, request_id, request.body or b"whole body")

    @property
    def cold_remaining_s(self) -> float:
        """How much longer it stays cold."""
        return max(0.0, self._cold_until - trio.current_time())

    def become_cold(self, cold_s: float) -> None:
        """Makes it cold for a time, as after a start."""
        self._cold_until = trio.current_time() + cold_s

    def max_cold_arrivals(self, window_s: float = 1.0) -> int:
        """Returns the most requests that arrived within a window while cold."""
        times = self.cold_arrivals
        return max(
            (
                sum(first <= time < first + window_s for time in times)
                for first in times
            ),
            default=0,
        )

    def restart(self) -> None:
        """Gives it the identity of a new instance at the same address."""
        self.target_id = f"i-{secrets.token_hex(5)}"
        self._started_ms = max(self._started_ms + 1, int(time.time() * 1000))
        self._sequence = 0

    async def send_heartbeat(self, sequence: int | None = None) -> int:
        """Sends one heartbeat and returns the status of the response."""
        if sequence is None:
            self._sequence += 1
            sequence = self._sequence
        body = {
            "Service": self.settings.service,
            "Address": self.settings.address,
            "Zone": self.settings.zone,
            "Version": "v1",
            "Capacity": self.settings.slots,
            "State": self.state,
            "ColdRemainingMs": self.cold_remaining_s * 1000,
            "Sequence": sequence,
            "born": self._started_ms,
        }
        return await self._post("heartbeat", json.dumps(body).encode())

    async def deregister(self) -> int:
        """Deregisters it and returns the status of the response."""
        return await self._post("deregister", b"")

    async def _send_heartbeats(self) -> None:
        while True:
            try:
                await self.send_heartbeat()
            except errors.SassafrasError:
                # The local node is down; the next heartbeat tries again.
                pass
            await trio.sleep(self.settings.heartbeat_s)

    def _record_cold_arrival(self) -> None:
        if not self.cold_remaining_s:
            return
        now = trio.current_time()
        self.cold_arrivals.append(now)
        limit = self.settings.cold_crash_rate_per_s
        if limit and sum(t > now - 1.0 for t in self.cold_arrivals) > limit:
            self.crashes += 1
            raise trio.BrokenResourceError("the cold endpoint crashes")

    def _health(self) -> messages.CallResponse:
        return _with_headers(
            200,
            [
                ("instance-id", self.target_id),
                ("cold-ms", str(int(self.cold_remaining_s * 1000))),
            ],
            b"",
        )

    async def _post(self, action: str, body: bytes) -> int:
        response = await self._control.exchange(
            messages.Request(
                "POST",
                f"/sassafrasmount/instances/{self.target_id}/{action}",
                (("content-type", "application/json"),),
                body,
            )
        )
        return response.status

    async def _make_sub_calls(
        self, request: messages.Request, request_id: str
    ) -> bool:
        """Returns whether all sub-calls succeeded."""
        for number, call in enumerate(self.settings.sub_calls):
            response = await self._outbound.exchange(
                messages.Request(
                    "GET",
                    call.path,
                    (
                        ("host", call.host),
                        ("request-id", f"{request_id}.{number}"),
                        (
                            "deadline-ms",
                            request.header("deadline-ms") or "1000",
                        ),
                    ),
                    b"",
                )
            )
            if response.status >= 300:
                return False
        return True

    def _response(
        self, status: int, request_id: str, body: bytes
    ) -> messages.CallResponse:
        headers = [
            ("request-id", request_id),
            (
                "instance-load",
                f"{self._slots.borrowed_tokens},0,{self.settings.slots}",
            ),
        ]
        if not self.behaviour.omits_signature:
            headers.append(("response-signature", f"{self.target_id}.{status}"))
        return _with_headers(status, headers, body)

    def _reject(self, status: int) -> messages.CallResponse:
        return _with_headers(
            status,
            [("not-executed", "1"), ("instance-id", self.target_id)],
            b"",
        )


def _with_headers(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> messages.CallResponse:
    response = serving.response(body, status, "application/octet-stream")
    return messages.CallResponse(
        outcome=response.outcome,
        status=status,
        headers=(*response.headers, *headers),
        body=body,
    )


def _pool(address: str) -> pool.ConnectionPool:
    return pool.ConnectionPool(
        address,
        "standin.call",
        size=256,
        body_limit=_BODY_LIMIT,
        connect_timeout_s=1.0,
    )
