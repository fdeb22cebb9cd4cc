"""Requests, responses and the context that sub-calls inherit.

Nothing changes an instance once it is made. The data classes that are made for
each call are not frozen, as that makes each of them take four times as long.
"""

import dataclasses

from sassafras_policy.balancing import load_reports
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import reports as service_reports

BUCKET_COUNT = 128

# Retry-After delay of refusals whose cause suggests no other.
RETRY_AFTER_MS = 1000

Headers = tuple[tuple[str, str], ...]


def first_value(headers: Headers, name: str) -> str | None:
    """Returns the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


@dataclasses.dataclass(slots=True)
class Request:
    """A request as sent by a caller or by a target.

    Attributes:
      method: The HTTP method in capitals.
      path: The request target, beginning with `/`, query included.
      headers: Names in lower case, without hop-by-hop fields.
      body: The whole body.
    """

    method: str
    path: str
    headers: Headers
    body: bytes

    @property
    def service(self) -> str:
        """The service that the first path segment names."""
        return self.path_without_query.split("/", 2)[1]

    @property
    def path_without_query(self) -> str:
        """The path up to a question mark."""
        return self.path.split("?", 1)[0]

    def header(self, name: str) -> str | None:
        """Returns the first value of a header, or None."""
        return first_value(self.headers, name)


@dataclasses.dataclass(slots=True)
class CallContext:
    """What a request inherits from its root request.

    Attributes:
      root_id: Identifies the root request at every hop.
      organisation: The organisation of the caller's key; empty on open routes
        without a key.
      priority: Index of the class; 0 is the most important.
      bucket: Position within the class, 0 to 127, the same at every hop.
      deadline: Time on this process's clock after which the response is
        useless.
      depth: 0 for the root request, one more for each level of sub-calls.
      at_most_once: Whether the call must never run twice.
      part: The part of such root requests that its first node admits.
    """

    root_id: str
    organisation: str
    priority: int
    bucket: int
    deadline: float
    depth: int
    at_most_once: bool
    part: float = 1.0

    @property
    def rank(self) -> int:
        """Order of admission; under overload the highest rank is shed first."""
        return self.priority * BUCKET_COUNT + self.bucket


@dataclasses.dataclass(slots=True)
class CallResponse:
    """The whole response to a request, and the outcome of the request.

    Attributes:
      outcome: Whether the request ran.
      reason: Why it did not run, or why that is unknown.
      status: The HTTP status code for the caller.
      headers: Names in lower case, without hop-by-hop fields.
      body: The whole body.
      retry_after_ms: Retry-After delay of a refusal; 0 for none.
      levels: Admission level of each service that the call passed through.
      load: Load of the target that responded; 1.0 when its limit is reached.
      cold_s: For how long other targets should be preferred to that one, as it
        is cold or its availability zone is evacuated; 0 if they should not.
      leaving: Whether that target takes no more work.
      retryable: Whether another target of the service may be tried.
      sub_call_failed: Whether a sub-call of the target failed, so that an
        error is not the target's own.
      report: Limit and service time of that target; None where the balancer
        uses none.
      reports: Calls and room of each service that the request reached.
      is_scheduled: Whether the Retry-After delay was chosen for this caller
        alone, so that it needs no jitter.
    """

    outcome: outcomes.Outcome
    reason: outcomes.Reason = outcomes.Reason.NONE
    status: int = 200
    headers: Headers = ()
    body: bytes = b""
    retry_after_ms: int = 0
    levels: tuple[tuple[str, int], ...] = ()
    load: float = 0.0
    cold_s: float = 0.0
    leaving: bool = False
    retryable: bool = False
    sub_call_failed: bool = False
    report: load_reports.TargetReport | None = None
    reports: tuple[service_reports.ServiceReport, ...] = ()
    is_scheduled: bool = False

    def at_target(
        self,
        load: float,
        levels: tuple[tuple[str, int], ...],
        cold_s: float,
        report: load_reports.TargetReport | None = None,
        reports: tuple[service_reports.ServiceReport, ...] = (),
    ) -> "CallResponse":
        """Returns the response with the state of the target.

        `dataclasses.replace` takes three times as long.
        """
        return CallResponse(
            outcome=self.outcome,
            reason=self.reason,
            status=self.status,
            headers=self.headers,
            body=self.body,
            retry_after_ms=self.retry_after_ms,
            levels=levels,
            load=load,
            cold_s=cold_s,
            leaving=self.leaving,
            retryable=self.retryable,
            sub_call_failed=self.sub_call_failed,
            report=report,
            reports=reports,
            is_scheduled=self.is_scheduled,
        )


def refusal(
    reason: outcomes.Reason,
    status: int,
    detail: str,
    *,
    retry_after_ms: int = 0,
    is_scheduled: bool = False,
    retryable: bool = False,
) -> CallResponse:
    """Returns a response to a request that did not run."""
    return CallResponse(
        outcome=outcomes.Outcome.NOT_RUN,
        reason=reason,
        status=status,
        headers=(("content-type", "text/plain; charset=utf-8"),),
        body=f"not run: {detail}\n".encode(),
        retry_after_ms=retry_after_ms,
        is_scheduled=is_scheduled,
        retryable=retryable,
    )


def unknown(
    reason: outcomes.Reason,
    status: int,
    detail: str,
    *,
    retryable: bool = False,
) -> CallResponse:
    """Returns a response to a request that may have run."""
    return CallResponse(
        outcome=outcomes.Outcome.UNKNOWN,
        reason=reason,
        status=status,
        headers=(("content-type", "text/plain; charset=utf-8"),),
        body=f"outcome unknown: {detail}\n".encode(),
        retryable=retryable,
    )
