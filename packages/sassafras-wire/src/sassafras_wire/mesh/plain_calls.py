"""Decodes the usual form of call messages without their models.

A message of the usual form has fields of exactly the types that the encoders of
`call_messages` write. All others, and all that are not valid, are left to the
models, which remain the judge: what is decoded here is a subset of what they
accept, with the same values.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

import cbor2

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes

_OUTCOMES = {str(outcome.value): outcome for outcome in outcomes.Outcome}
_REASONS = {str(reason.value): reason for reason in outcomes.Reason}


Reports = tuple[tuple[str, int, int, int, int, int, int], ...]
_REPORT_TYPES = [str, int, int, int, int, int, int]


@dataclasses.dataclass(slots=True)
class Call:
    """The fields of a `CallMessage`; see there."""

    request_id: str
    caller_service: str
    organisation: str
    service: str
    route: str
    target_id: str
    remaining_ms: int
    priority: int
    bucket: int
    depth: int
    is_idempotent: bool
    method: str
    path: str
    headers: messages.Headers
    body: bytes
    usual_us: int
    part: int = 1000


@dataclasses.dataclass(slots=True)
class Answer:
    """The fields of an `AnswerMessage` without an entry; see there."""

    outcome: outcomes.Outcome
    reason: outcomes.Reason
    status: int
    headers: messages.Headers
    body: bytes
    load: float
    level: int | None
    sub_call_failed: bool
    is_last: bool
    limit: int
    service_us: int
    reports: Reports = ()
    cold_s: float = 0.0
    entry: None = None


# Answers with other fields are left to the model, which knows more of them.
_ANSWER_FIELDS = frozenset(
    [
        "type",
        "outcome",
        "reason",
        "status",
        "headers",
        "body",
        "load",
        "level",
        "sub_call_failed",
        "is_last",
        "limit",
        "service_us",
        "reports",
    ]
)


def decode_call(content: bytes) -> Call | None:
    """Returns a call; None if it has not the usual form."""
    fields = _load(content, "mesh_call")
    if fields is None:
        return None
    get: Callable[..., Any] = fields.get
    call = Call(
        get("request_id", ""),
        get("caller_service", ""),
        get("organisation", ""),
        get("service"),
        get("route", ""),
        get("target_id", ""),
        get("remaining_ms"),
        get("priority"),
        get("bucket"),
        get("depth"),
        get("is_idempotent"),
        get("method"),
        get("path"),
        (),
        get("body", b""),
        get("usual_us", 0),
        get("part", 1000),
    )
    headers = _read_headers(get("headers", ()))
    if (
        headers is None
        or type(call.request_id) is not str
        or type(call.caller_service) is not str
        or type(call.organisation) is not str
        or type(call.service) is not str
        or type(call.route) is not str
        or type(call.target_id) is not str
        or type(call.method) is not str
        or type(call.path) is not str
        or type(call.remaining_ms) is not int
        or type(call.priority) is not int
        or type(call.bucket) is not int
        or type(call.depth) is not int
        or type(call.part) is not int
        or type(call.is_idempotent) is not bool
        or type(call.body) is not bytes
        or call.priority < 0
        or not 0 <= call.bucket < messages.BUCKET_COUNT
        or call.depth < 0
        or type(call.usual_us) is not int
        or call.usual_us < 0
        or not 0 <= call.part <= 1000
    ):
        return None
    call.headers = headers
    return call


def decode_answer(content: bytes) -> Answer | None:
    """Returns an answer; None if it has not the usual form."""
    fields = _load(content, "mesh_answer")
    if fields is None or not fields.keys() <= _ANSWER_FIELDS:
        return None
    get: Callable[..., Any] = fields.get
    outcome = get("outcome")
    reason = get("reason", "")
    if type(outcome) is not str or type(reason) is not str:
        return None
    known_outcome = _OUTCOMES.get(outcome)
    known_reason = _REASONS.get(reason)
    headers = _read_headers(get("headers", ()))
    reports = _read_reports(fields["reports"]) if "reports" in fields else ()
    if (
        known_outcome is None
        or known_reason is None
        or headers is None
        or reports is None
    ):
        return None
    answer = Answer(
        known_outcome,
        known_reason,
        get("status"),
        headers,
        get("body", b""),
        get("load", 0.0),
        get("level"),
        get("sub_call_failed", False),
        get("is_last", False),
        get("limit", 0),
        get("service_us", 0),
        reports,
    )
    if (
        type(answer.status) is not int
        or not 100 <= answer.status <= 599
        or type(answer.body) is not bytes
        or type(answer.load) is not float
        or type(answer.sub_call_failed) is not bool
        or type(answer.is_last) is not bool
        or type(answer.limit) is not int
        or type(answer.service_us) is not int
        or answer.limit < 0
        or answer.service_us < 0
        or not (answer.level is None or type(answer.level) is int)
    ):
        return None
    return answer


def _load(content: bytes, kind: str) -> dict[Any, Any] | None:
    """Returns the fields of a message of one kind, or None."""
    try:
        fields = cbor2.loads(content)
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError):
        return None
    if type(fields) is not dict or fields.get("type") != kind:
        return None
    return fields


def _read_reports(items: object) -> Reports | None:
    """Returns reports; None if they have not the usual form."""
    if type(items) is not list:
        return None
    for item in items:
        if type(item) is not list or [type(e) for e in item] != _REPORT_TYPES:
            return None
    return tuple([tuple(item) for item in items])


def _read_headers(pairs: object) -> messages.Headers | None:
    """Returns header fields; None if they are not pairs of texts."""
    if type(pairs) is not list:
        return () if pairs == () else None
    headers = []
    for pair in pairs:
        if type(pair) is not list or len(pair) != 2:
            return None
        name, value = pair
        if type(name) is not str or type(value) is not str:
            return None
        headers.append((name, value))
    return tuple(headers)
