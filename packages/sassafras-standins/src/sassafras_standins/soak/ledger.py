"""What callers were told and what endpoints ran, and the promises on both."""

import dataclasses

from sassafras_standins.platform import endpoint

# Bounds of the emulated deployment; see documents.boot_file.
_REVOKE_S = 5.0
_DRAIN_S = 2.0
# These answers promise that the request has not run and never will.
_NOT_RUN = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """One request of a caller and how it ended.

    Attributes:
      request_id: Its id.
      service: Service of the machine where it began.
      organisation: Organisation of its key.
      key: Its key.
      is_unsafe: Whether it may run at most once.
      body: What was sent; endpoints answer with the same.
      sent_at: When it was sent, on trio's clock.
      status: Status of the answer; 0 without one.
      answered_id: Id in the answer.
      answer: Body of the answer.
      is_signed: Whether an endpoint signed the answer.
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
class Ledger:
    """Everything that a run has seen.

    Attributes:
      sent: All requests of callers.
      endpoints: All endpoints that ever ran.
      revoked: Keys that were taken away, with the time of it.
      left: Endpoints that left, with the time of the acknowledgement.
      faults: Promises that were seen broken while the run went on.
    """

    sent: list[Sent] = dataclasses.field(default_factory=list)
    endpoints: list[endpoint.Endpoint] = dataclasses.field(default_factory=list)
    revoked: dict[str, float] = dataclasses.field(default_factory=dict)
    left: list[tuple[endpoint.Endpoint, float]] = dataclasses.field(
        default_factory=list
    )
    faults: list[str] = dataclasses.field(default_factory=list)

    def broken(self) -> list[str]:
        """Returns each promise that was broken, in a line of its own."""
        found = list(self.faults)
        for sent in self.sent:
            found += self._faults_of(sent)
        for server, at in self.left:
            if server.last_run_at > at + _DRAIN_S:
                late_s = server.last_run_at - at
                found.append(
                    f"{server.target_id} ran a request {late_s:.1f} s after its"
                    " leaving was acknowledged"
                )
        return found

    def _faults_of(self, sent: Sent) -> list[str]:
        name = sent.request_id
        runs = sum(e.runs.get(name, 0) for e in self.endpoints)
        found = []
        if sent.is_unsafe and runs > 1:
            found.append(f"{name} ran {runs} times, and may run once")
        if sent.status in _NOT_RUN and not sent.is_signed and runs:
            found.append(f"{name} ran, and was answered {sent.status}")
        if sent.status == 200 and not (
            sent.is_signed
            and sent.answered_id == name
            and sent.answer == sent.body
        ):
            found.append(f"{name} got an answer that is not its own")
        revoked_at = self.revoked.get(sent.key)
        if runs and revoked_at is not None:
            late_s = sent.sent_at - revoked_at
            if late_s > _REVOKE_S:
                found.append(
                    f"{name} ran with a key taken away {late_s:.1f} s before"
                )
        for server in self.endpoints:
            seen = server.seen.get(name)
            if seen is not None:
                found += _faults_of_fields(sent, seen)
        return found


def _faults_of_fields(sent: Sent, seen: dict[str, str]) -> list[str]:
    found = []
    if "authorization" in seen:
        found.append(f"{sent.request_id} brought its key to an endpoint")
    for name, wanted in (
        ("tenant", sent.organisation),
        ("caller-service", sent.service),
    ):
        if seen.get(name) != wanted:
            found.append(
                f"{sent.request_id} came with {name} {seen.get(name)!r},"
                f" not {wanted!r}"
            )
    return found
