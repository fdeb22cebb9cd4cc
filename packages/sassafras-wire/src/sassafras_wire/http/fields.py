"""Header fields that the system reads, writes or removes."""

from sassafras_policy.calls import messages

AUTHORIZATION = "authorization"
CONTEXT = "sassafras-context"
DEADLINE_MS = "sassafras-deadline-ms"
IDEMPOTENCY_KEY = "idempotency-key"
ORGANISATION = "sassafras-organisation"
OUTCOME = "sassafras-outcome"
RETRY_AFTER = "retry-after"

_HOP_BY_HOP = frozenset(
    [
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)

# Fields in which a caller may have put a key. Only `Authorization` is read,
# but none of them may reach a target.
_KEY_CARRIERS = frozenset(
    [AUTHORIZATION, "cookie", "proxy-authorization", "x-api-key"]
)

_OWN_PREFIX = "sassafras-"


def for_target(headers: messages.Headers) -> messages.Headers:
    """Returns the fields of a request that may travel on to a target."""
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP
        and name not in _KEY_CARRIERS
        and not name.startswith(_OWN_PREFIX)
    )


def for_caller(headers: messages.Headers) -> messages.Headers:
    """Returns the fields of a target's answer that may reach a caller."""
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP and not name.startswith(_OWN_PREFIX)
    )


def end_to_end(
    headers: messages.Headers, left_out: frozenset[str]
) -> messages.Headers:
    """Returns the fields that concern more than one connection.

    Args:
      headers: All fields, names in lower case.
      left_out: Further names that must not travel on.
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP
        and name not in left_out
        and name not in named
        and not name.startswith(_OWN_PREFIX)
    )


def outcome_value(answer: messages.Answer) -> str:
    """Returns the value of the field that tells how a request ended."""
    if answer.reason:
        return f"{answer.outcome}; reason={answer.reason}"
    return str(answer.outcome)


def span_ms(value: str, otherwise: int) -> int:
    """Returns a time span in whole milliseconds; a negative one has passed.

    Args:
      value: The value of a field.
      otherwise: What to return for a value that is no whole number.
    """
    digits = value.strip()
    is_negative = digits.startswith("-")
    digits = digits.removeprefix("-")
    if not digits.isascii() or not digits.isdigit():
        return otherwise
    return 0 if is_negative else int(digits)


def bearer_key(headers: messages.Headers) -> str | None:
    """Returns the key of an `Authorization: Bearer` field, or None."""
    for name, value in headers:
        if name == AUTHORIZATION:
            scheme, _, key = value.partition(" ")
            if scheme.lower() == "bearer" and key.strip():
                return key.strip()
    return None
