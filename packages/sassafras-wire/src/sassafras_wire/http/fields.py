"""Header fields that a node reads, sets or removes."""

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

# Fields that may hold a caller's key. Only `Authorization` is read, but none
# of them may reach a target.
_CREDENTIAL_FIELDS = frozenset(
    [AUTHORIZATION, "cookie", "proxy-authorization", "x-api-key"]
)

# Values of `Connection` that name no header field, or one removed anyway.
_COMMON_CONNECTION_OPTIONS = frozenset(["close", "keep-alive"])

_PRODUCT_PREFIX = "sassafras-"


def for_target(headers: messages.Headers) -> messages.Headers:
    """Returns the fields of a request that may be forwarded to a target."""
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP
        and name not in _CREDENTIAL_FIELDS
        and not name.startswith(_PRODUCT_PREFIX)
    )


def for_caller(headers: messages.Headers) -> messages.Headers:
    """Returns the fields of a target's response that may reach a caller."""
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _HOP_BY_HOP and not name.startswith(_PRODUCT_PREFIX)
    )


def end_to_end(
    headers: messages.Headers, excluded: frozenset[str]
) -> messages.Headers:
    """Returns the fields that are forwarded beyond this connection.

    Args:
      headers: All fields, names in lower case.
      excluded: Names of further fields to remove.
    """
    kept = []
    connection_options: set[str] = set()
    for header in headers:
        name = header[0]
        if name in _HOP_BY_HOP:
            if name == "connection":
                connection_options.update(header[1].lower().split(","))
        elif name not in excluded and not name.startswith(_PRODUCT_PREFIX):
            kept.append(header)
    if connection_options <= _COMMON_CONNECTION_OPTIONS:
        return tuple(kept)
    named = {option.strip() for option in connection_options}
    named -= _COMMON_CONNECTION_OPTIONS
    return tuple([header for header in kept if header[0] not in named])


def outcome_value(response: messages.CallResponse) -> str:
    """Returns the value of the outcome field of a response."""
    if response.reason:
        return f"{response.outcome}; reason={response.reason}"
    return str(response.outcome)


def duration_ms(value: str, default: int) -> int:
    """Returns a duration in whole milliseconds; a negative value gives 0.

    Args:
      value: Value of a header field.
      default: Returned for a value that is not a whole number.
    """
    digits = value.strip()
    is_negative = digits.startswith("-")
    digits = digits.removeprefix("-")
    if not digits.isascii() or not digits.isdigit():
        return default
    return 0 if is_negative else int(digits)


def bearer_key(headers: messages.Headers) -> str | None:
    """Returns the key of an `Authorization: Bearer` field, or None."""
    for name, value in headers:
        if name == AUTHORIZATION:
            scheme, _, key = value.partition(" ")
            if scheme.lower() == "bearer" and key.strip():
                return key.strip()
    return None
