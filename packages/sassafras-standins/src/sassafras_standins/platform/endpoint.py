"""An endpoint: slots, work, calls of its own, heartbeats and faults."""

import dataclasses
import json
import secrets
import time

import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_standins import serving
from sassafras_wire.http import pool

_BODY_LIMIT = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class SubCall:
    """A call that an endpoint makes for each request.

    Attributes:
      host: Value of the `Host` field.
      path: Request target.
    """

    host: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSettings:
    """What an endpoint is and does.

    Attributes:
      address: Where it serves.
      service: Its service.
      zone: Its zone.
      control_address: Where it sends heartbeats.
      outbound_address: Where it sends its own calls.
      slots: Requests that it works on at once.
      work_s: Time that a request takes.
      heartbeat_s: Time between heartbeats.
      sub_calls: Calls made for each request, one after another.
    """

    address: str
    service: str
    zone: str
    control_address: str
    outbound_address: str
    slots: int = 20
    work_s: float = 0.02
    heartbeat_s: float = 0.5
    sub_calls: tuple[SubCall, ...] = ()


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Faults in force.

    Attributes:
      slow: Factor on the time that a request takes.
      turns_away: Answers 503 and says that the request did not run.
      fails: Runs requests and answers 500.
      breaks_off: Runs requests and closes the connection.
      hides_signature: Leaves the signature out of its answers.
    """

    slow: float = 1.0
    turns_away: bool = False
    fails: bool = False
    breaks_off: bool = False
    hides_signature: bool = False


class Endpoint:
    """One endpoint.

    Attributes:
      settings: What it is.
      behaviour: Faults in force.
      target_id: Its id; new with each start.
      state: What its heartbeats say.
      runs: How often each request id was run.
      last_run_at: When the last run began, on trio's clock; 0 before.
      seen: Header fields of the last run of each request id.
    """

    def __init__(self, settings: EndpointSettings) -> None:
        self.settings = settings
        self.behaviour = Behaviour()
        self.target_id = f"i-{secrets.token_hex(5)}"
        self.state = "ready"
        self.runs: dict[str, int] = {}
        self.last_run_at = 0.0
        self.seen: dict[str, dict[str, str]] = {}
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._slots = trio.CapacityLimiter(settings.slots)
        self._node = _pool(settings.control_address)
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
            nursery.start_soon(self._beat_forever)
            task_status.started()

    async def handle(self, request: messages.Request) -> messages.Answer:
        """Serves one request."""
        request_id = request.header("request-id")
        wanted = request.header("target-instance")
        if request_id is None:
            return self._rejected(400)
        if wanted is not None and wanted != self.target_id:
            return self._rejected(421)
        if self.behaviour.turns_away:
            return self._rejected(503)
        async with self._slots:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.last_run_at = trio.current_time()
            self.seen[request_id] = dict(request.headers)
            await trio.sleep(self.settings.work_s * self.behaviour.slow)
            failed = not await self._make_calls(request, request_id)
        if self.behaviour.breaks_off:
            raise trio.BrokenResourceError("the endpoint breaks off")
        status = 500 if failed or self.behaviour.fails else 200
        return self._answer(status, request_id, request.body or b"whole body")

    async def beat(self, sequence: int | None = None) -> int:
        """Sends one heartbeat and returns the status of its answer."""
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
            "ColdRemainingMs": 0,
            "Sequence": sequence,
            "born": self._born_ms,
        }
        return await self._post("heartbeat", json.dumps(body).encode())

    async def deregister(self) -> int:
        """Says that it leaves and returns the status of the answer."""
        return await self._post("deregister", b"")

    async def _beat_forever(self) -> None:
        while True:
            try:
                await self.beat()
            except errors.SassafrasError:
                # The node beside it is not up; the next heartbeat tries again.
                pass
            await trio.sleep(self.settings.heartbeat_s)

    async def _post(self, call: str, body: bytes) -> int:
        response = await self._node.exchange(
            messages.Request(
                "POST",
                f"/sassafrasmount/instances/{self.target_id}/{call}",
                (("content-type", "application/json"),),
                body,
            )
        )
        return response.status

    async def _make_calls(
        self, request: messages.Request, request_id: str
    ) -> bool:
        """Returns whether all calls succeeded."""
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

    def _answer(
        self, status: int, request_id: str, body: bytes
    ) -> messages.Answer:
        headers = [
            ("request-id", request_id),
            (
                "instance-load",
                f"{self._slots.borrowed_tokens},0,{self.settings.slots}",
            ),
        ]
        if not self.behaviour.hides_signature:
            headers.append(("response-signature", f"{self.target_id}.{status}"))
        return _whole(status, headers, body)

    def _rejected(self, status: int) -> messages.Answer:
        return _whole(
            status,
            [("not-executed", "1"), ("instance-id", self.target_id)],
            b"",
        )


def _whole(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> messages.Answer:
    answer = serving.answer(body, status, "application/octet-stream")
    return messages.Answer(
        outcome=answer.outcome,
        status=status,
        headers=(*answer.headers, *headers),
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
