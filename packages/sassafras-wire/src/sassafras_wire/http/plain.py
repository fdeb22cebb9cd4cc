"""Decodes and encodes plain HTTP/1.1 messages in one step.

A message is plain if its head has arrived whole and has nothing for which the
rules of the protocol need a state machine: no chunked body, no upgrade, no
interim response, no obsolete form. All others, and all that are not valid, are
left to h11, which remains the judge: what is decoded here is a subset of what
h11 accepts, with the same result. h11 makes about 90 function calls for each
message, which was half of all function calls of a call.
"""

from collections.abc import Iterable
import dataclasses
import re

from sassafras_policy.calls import messages

_TOKEN = r"[-!#$%&'*+.^_`|~0-9a-zA-Z]++"
_TEXT = r"[\t\x20-\x7e\x80-\xff]*+"
_FIELD = rf"({_TOKEN}):[ \t]*+({_TEXT})\r\n"
# The same without groups, to check a whole head at once.
_FIELDS = rf"(?:{_TOKEN}:{_TEXT}\r\n)*+"

_field = re.compile(_FIELD)
_request_head = re.compile(
    rf"({_TOKEN}) (/[\x21-\x7e]*+) HTTP/1\.1\r\n{_FIELDS}"
)
_response_head = re.compile(
    rf"HTTP/1\.1 ([2-5][0-9]{{2}})(?: {_TEXT})?\r\n{_FIELDS}"
)
_length = re.compile(r"[0-9]{1,18}")
_lower_token = re.compile(r"[-!#$%&'*+.^_`|~0-9a-z]+")
_method = re.compile(_TOKEN)
_target = re.compile(r"[\x21-\x7e]+")
_value = re.compile(r"(?![ \t])[\t\x20-\x7e\x80-\xff]*(?<![ \t])")

# The length of the body of a request or response with these is not given by
# its fields alone.
_UNUSUAL_METHODS = frozenset(["CONNECT", "HEAD"])
_UNUSUAL_STATUSES = frozenset([204, 304])
# Fields that need the state machine.
_UNUSUAL_FIELDS = frozenset(["expect", "transfer-encoding", "upgrade"])
# Fields that frame the body.
_FRAMING_FIELDS = _UNUSUAL_FIELDS | {"connection", "content-length"}
# h11 sends `Host` before all other fields, also in a response.
_UNUSUAL_RESPONSE_FIELDS = _FRAMING_FIELDS | {"host"}
# A head with two of one of these is not plain.
_WATCHED_FIELDS = _FRAMING_FIELDS | {"authorization", "host"}
_CONNECTION_OPTIONS = frozenset(["close", "keep-alive"])


@dataclasses.dataclass(slots=True)
class RequestHead:
    """The head of a request.

    Attributes:
      method: The method.
      target: The request target, which begins with `/`.
      headers: Names in lower case.
      body_start: Size of the head.
      body_end: Size of the whole message.
      is_last: Whether the connection closes after the exchange.
    """

    method: str
    target: str
    headers: messages.Headers
    body_start: int
    body_end: int
    is_last: bool


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """The head of a response.

    Attributes:
      status: The status code.
      headers: Names in lower case.
      body_start: Size of the head.
      body_end: Size of the whole message.
      is_last: Whether the connection closes after the exchange.
    """

    status: int
    headers: messages.Headers
    body_start: int
    body_end: int
    is_last: bool


def decode_request(data: bytes) -> RequestHead | None:
    """Returns the head of a request; None if it is not plain.

    Args:
      data: What the client has sent.
    """
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    text = data[: end + 2].decode("latin-1")
    head = _request_head.fullmatch(text)
    if head is None:
        return None
    method, target = head.groups()
    if method in _UNUSUAL_METHODS:
        return None
    headers: list[tuple[str, str]] = []
    values = _decode_fields(text, headers)
    if values is None or "host" not in values:
        return None
    start = end + 4
    return RequestHead(
        method,
        target,
        tuple(headers),
        start,
        start + int(values.get("content-length", 0)),
        values.get("connection") == "close",
    )


def decode_response(data: bytes, method: str) -> ResponseHead | None:
    """Returns the head of a response; None if it is not plain.

    Args:
      data: What the server has sent.
      method: Method of the request.
    """
    if method in _UNUSUAL_METHODS:
        return None
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    text = data[: end + 2].decode("latin-1")
    head = _response_head.fullmatch(text)
    if head is None:
        return None
    status = int(head[1])
    if status in _UNUSUAL_STATUSES:
        return None
    headers: list[tuple[str, str]] = []
    values = _decode_fields(text, headers)
    if values is None or "content-length" not in values:
        return None
    start = end + 4
    return ResponseHead(
        status,
        tuple(headers),
        start,
        start + int(values["content-length"]),
        values.get("connection") == "close",
    )


def encode_request(
    method: str, target: str, headers: messages.Headers, host: str, length: int
) -> bytes | None:
    """Returns the head of a request; None if it is not plain.

    Args:
      method: The method.
      target: The request target.
      headers: All fields but the length of the body; names in lower case.
      host: Value of the `Host` field, if `headers` has none.
      length: Size of the body.
    """
    if method in _UNUSUAL_METHODS or not (
        _method.fullmatch(method) and _target.fullmatch(target)
    ):
        return None
    fields = _encode_fields(headers, _FRAMING_FIELDS)
    if fields is None:
        return None
    hosts = fields.count("\r\nhost: ")
    if fields.startswith("host: "):
        if hosts:
            return None
    elif hosts or not _value.fullmatch(host):
        # h11 sends it first, as RFC 9110 advises.
        return None
    else:
        fields = f"host: {host}\r\n{fields}"
    return (
        f"{method} {target} HTTP/1.1\r\n{fields}"
        f"content-length: {length}\r\n\r\n"
    ).encode("latin-1")


def encode_response(
    status: int, headers: Iterable[tuple[str, str]], length: int, is_last: bool
) -> bytes | None:
    """Returns the head of a response; None if it is not plain.

    Args:
      status: The status code.
      headers: All fields that do not frame the body; names in lower case.
      length: Size of the body.
      is_last: Whether the connection closes after it.
    """
    if status in _UNUSUAL_STATUSES or not 200 <= status <= 599:
        return None
    fields = _encode_fields(headers, _UNUSUAL_RESPONSE_FIELDS)
    if fields is None:
        return None
    closing = "connection: close\r\n" if is_last else ""
    return (
        f"HTTP/1.1 {status} \r\n{fields}"
        f"content-length: {length}\r\n{closing}\r\n"
    ).encode("latin-1")


def _decode_fields(
    text: str, headers: list[tuple[str, str]]
) -> dict[str, str] | None:
    """Decodes the fields of a head whose grammar has been checked.

    Args:
      text: The head.
      headers: Gets all fields.

    Returns:
      The values of the fields that matter here; None if the head is not plain.
    """
    values: dict[str, str] = {}
    for raw_name, raw_value in _field.findall(text, text.index("\n")):
        name = raw_name.lower()
        value = raw_value.rstrip(" \t")
        headers.append((name, value))
        if name not in _WATCHED_FIELDS:
            continue
        if name in values or name in _UNUSUAL_FIELDS:
            return None
        if name == "content-length":
            if not _length.fullmatch(value):
                return None
        elif name == "connection":
            value = value.lower()
            if value not in _CONNECTION_OPTIONS:
                return None
        values[name] = value
    return values


def _encode_fields(
    headers: Iterable[tuple[str, str]], excluded: frozenset[str]
) -> str | None:
    """Returns the lines of the fields.

    Args:
      headers: The fields.
      excluded: Names that are not plain here.

    Returns:
      The lines; None if one is not valid or not plain.
    """
    lines = []
    for name, value in headers:
        if (
            name in excluded
            or _lower_token.fullmatch(name) is None
            or _value.fullmatch(value) is None
        ):
            return None
        lines.append(f"{name}: {value}\r\n")
    return "".join(lines)
