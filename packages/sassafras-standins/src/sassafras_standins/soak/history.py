"""Checks the invariants of a run against its requests and executions."""

import dataclasses

from sassafras_standins.platform import endpoint

# Bounds of the emulated deployment; see documents.boot_file.
_REVOKE_S = 5.0
_DRAIN_S = 2.0
# A node's response with one of these means that the request never executes.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """One request of a caller and its response.

    Attributes:
      request_id: Id of the request.
      service: Service of the machine to whose node it was sent.
      organisation: Organisation of the key.
      key: Key that authenticates the request.
      is_unsafe: Whether it may be executed at most once.
      body: Body of the request, which endpoints echo.
      sent_at: Time of sending, on trio's clock.
      status: Status of the response; 0 if there was none.
      answered_id: Request id in the response.
      answer: Body of the response.
      is_signed: Whether an endpoint signed the response.
    """

    request_id: str
    service: str
    organisation: str
    key: str
    is_unsafe: bool
    body: bytes
    sent_at: float
    status: int = 0
    answered_id: str = ""
    answer: bytes = b""
    is_signed: bool = False


@dataclasses.dataclass(slots=True)
class History:
    """The history of a run.

    Attributes:
      sent: All requests of callers.
      endpoints: All endpoint instances, also those that have left.
      revoked: Time of revocation of each revoked key.
      departures: Endpoints that left, with the time at which their node
        acknowledged it.
      faults: Violations detected during the run.
    """

    sent: list[SentRequest] = dataclasses.field(default_factory=list)
    endpoints: list[endpoint.Endpoint] = dataclasses.field(default_factory=list)
    revoked: dict[str, float] = dataclasses.field(default_factory=dict)
    departures: list[tuple[endpoint.Endpoint, float]] = dataclasses.field(
        default_factory=list
    )
    faults: list[str] = dataclasses.field(default_factory=list)

    def violations(self) -> list[str]:
        """Returns a line of text for each violation of an invariant."""
        found = list(self.faults)
        for sent in self.sent:
            found += self._check_request(sent)
        for server, at in self.departures:
            if server.last_execution_at > at + _DRAIN_S:
                late_s = server.last_execution_at - at
                found.append(
                    f"{server.target_id} ran a request {late_s:.1f} s after its"
                    " node acknowledged that it leaves"
                )
        return found

    def _check_request(self, sent: SentRequest) -> list[str]:
        name = sent.request_id
        execution_count = sum(e.executions.get(name, 0) for e in self.endpoints)
        found = []
        if sent.is_unsafe and execution_count > 1:
            found.append(
                f"{name} ran {execution_count} times, and may run once"
            )
        if (
            sent.status in _NOT_RUN_STATUSES
            and not sent.is_signed
            and execution_count
        ):
            found.append(f"{name} ran, and was answered {sent.status}")
        if sent.status == 200 and not (
            sent.is_signed
            and sent.answered_id == name
            and sent.answer == sent.body
        ):
            found.append(f"{name} got a response that is not its own")
        revoked_at = self.revoked.get(sent.key)
        if execution_count and revoked_at is not None:
            late_s = sent.sent_at - revoked_at
            if late_s > _REVOKE_S:
                found.append(
                    f"{name} ran with a key revoked {late_s:.1f} s before"
                )
        for server in self.endpoints:
            headers = server.received_headers.get(name)
            if headers is not None:
                found += _check_headers(sent, headers)
        return found


def _check_headers(sent: SentRequest, headers: dict[str, str]) -> list[str]:
    found = []
    if "authorization" in headers:
        found.append(f"{sent.request_id} reached an endpoint with its key")
    for name, expected in (
        ("tenant", sent.organisation),
        ("caller-service", sent.service),
    ):
        if headers.get(name) != expected:
            found.append(
                f"{sent.request_id} reached an endpoint with {name}"
                f" {headers.get(name)!r}, not {expected!r}"
            )
    return found
