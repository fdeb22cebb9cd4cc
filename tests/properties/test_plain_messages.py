"""Messages that are decoded without h11 mean the same to it."""

import h11
import hypothesis
from hypothesis import strategies
import pytest

from sassafras_policy.calls import messages
from sassafras_wire.http import parsed
from sassafras_wire.http import plain

# Pieces of heads, valid and not, so that many combinations are nearly valid.
_LINE_ENDS = strategies.sampled_from(
    ["\r\n"] * 40 + ["\n", "\r", "\r\n ", "\r\n\t", "\r\n\r\n"]
)
_NAMES = strategies.sampled_from(
    [
        "Host",
        "host",
        "Content-Length",
        "content-length",
        "Transfer-Encoding",
        "Connection",
        "Authorization",
        "Expect",
        "Upgrade",
        "Keep-Alive",
        "X-A",
        "x_b",
        "",
        "a b",
        "caf\xe9",
        "a\x00",
    ]
)
_VALUES = strategies.one_of(
    strategies.sampled_from(
        [
            "",
            "0",
            "3",
            "03",
            "+3",
            "3, 3",
            "\xb3",
            "9" * 30,
            "chunked",
            "close",
            "Close",
            "keep-alive",
            "close, x",
            "100-continue",
            "h",
            "a b",
            "a\tb",
            "a\x00b",
            "a\x7fb",
            "a\rb",
            "\xff\x85\xa0",
        ]
    ),
    strategies.text(
        strategies.characters(min_codepoint=0, max_codepoint=255), max_size=6
    ),
)
_SPACES = strategies.sampled_from(["", " ", "  ", "\t", " \t", "\x0b"])
_ODD_FIELD = strategies.tuples(
    _NAMES, strategies.just(":"), _SPACES, _VALUES, _SPACES, _LINE_ENDS
).map("".join)
_ORDINARY_FIELD = strategies.sampled_from(
    [
        "A: b c\r\n",
        "Request-Id:9\r\n",
        "Connection: close\r\n",
        "Connection:\tKeep-Alive \r\n",
        "Authorization: Bearer x\r\n",
    ]
)
_FIELDS = strategies.lists(
    strategies.one_of(_ORDINARY_FIELD, _ODD_FIELD), max_size=3
).map("".join)
_HOST = strategies.sampled_from(["", "Host: h\r\n", "host:\r\n"])
_LENGTH = strategies.sampled_from(
    ["", "Content-Length: 0\r\n", "content-length:3 \r\n"]
)
_BODIES = strategies.sampled_from(["", "abc", "abcdef", "GET / HTTP/1.1\r\n"])
_REQUEST_LINES = strategies.sampled_from(
    ["GET /a HTTP/1.1", "POST /a?b=%20 HTTP/1.1"] * 4
    + [
        "HEAD / HTTP/1.1",
        "CONNECT a:1 HTTP/1.1",
        "GET a HTTP/1.1",
        "GET  / HTTP/1.1",
        "GET /\xe9 HTTP/1.1",
        "GET / HTTP/1.0",
        "GET / HTTP/2.0",
        "G\x00T / HTTP/1.1",
        " GET / HTTP/1.1",
        "",
    ]
)
_STATUS_LINES = strategies.sampled_from(
    ["HTTP/1.1 200 OK", "HTTP/1.1 503 ", "HTTP/1.1 404"] * 3
    + [
        "HTTP/1.1 100 Continue",
        "HTTP/1.1 101 x",
        "HTTP/1.1 204 x",
        "HTTP/1.1 304 x",
        "HTTP/1.0 200 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 200 \x00",
        "HTTP/1.1 999 \xff",
    ]
)
_SETTINGS = hypothesis.settings(max_examples=1500, deadline=None)


def _messages(first_lines):
    return strategies.tuples(
        first_lines, _LINE_ENDS, _HOST, _LENGTH, _FIELDS, _LINE_ENDS, _BODIES
    ).map(lambda parts: "".join(parts).encode("latin-1"))


def _read_all(connection):
    """Returns the head and the body of a message that has arrived whole."""
    head = connection.next_event()
    body = b""
    while type(event := connection.next_event()) is h11.Data:
        body += event.data
    assert type(event) is h11.EndOfMessage
    return head, body


def _fields(head):
    return tuple(
        (name.decode("ascii").lower(), value.decode("latin-1"))
        for name, value in head.headers.raw_items()
    )


@_SETTINGS
@hypothesis.given(data=_messages(_REQUEST_LINES))
def test_a_plain_request_means_the_same_to_h11(data):
    """Guards against requests that two parsers read differently."""
    head = plain.decode_request(data)
    if head is None or head.body_end > len(data):
        return
    connection = h11.Connection(h11.SERVER, max_incomplete_event_size=2**16)
    connection.receive_data(data)
    event, body = _read_all(connection)
    assert event.method.decode() == head.method
    assert event.target.decode("latin-1") == head.target
    assert _fields(event) == head.headers
    assert body == data[head.body_start : head.body_end]
    assert connection.trailing_data[0] == data[head.body_end :]
    assert (connection.their_state is not h11.DONE) == head.is_last
    assert not connection.they_are_waiting_for_100_continue


@_SETTINGS
@hypothesis.given(data=_messages(_STATUS_LINES))
def test_a_plain_response_means_the_same_to_h11(data):
    """Guards against responses that end elsewhere than the server meant."""
    head = plain.decode_response(data, "GET")
    if head is None or head.body_end > len(data):
        return
    connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=2**16)
    connection.send(
        h11.Request(method="GET", target="/", headers=[("host", "h")])
    )
    connection.send(h11.EndOfMessage())
    connection.receive_data(data)
    event, body = _read_all(connection)
    assert event.status_code == head.status
    assert _fields(event) == head.headers
    assert body == data[head.body_start : head.body_end]
    assert connection.trailing_data[0] == data[head.body_end :]
    assert (connection.their_state is not h11.DONE) == head.is_last


_SENT_NAMES = strategies.sampled_from(
    ["host", "x-a", "X-A", "a b", "a:b", "", "connection", "expect", "te"]
)
_SENT_FIELDS = strategies.lists(
    strategies.tuples(_SENT_NAMES, _VALUES), max_size=5
).map(tuple)


@_SETTINGS
@hypothesis.given(
    method=strategies.sampled_from(["GET", "POST", "HEAD", "G T", ""]),
    target=strategies.sampled_from(["/", "/a?b", "/a b", "/\xe9", "", "*"]),
    headers=_SENT_FIELDS,
    body=strategies.sampled_from([b"", b"abc"]),
)
def test_a_plain_request_is_encoded_as_by_h11(method, target, headers, body):
    """Guards against fields that smuggle others into a request."""
    head = plain.encode_request(method, target, headers, "peer:1", len(body))
    if head is not None:
        request = messages.Request(method, target, headers, body)
        assert head + body == parsed.ParsedExchange(request, "peer:1").request


@_SETTINGS
@hypothesis.given(
    status=strategies.sampled_from([200, 204, 304, 404, 503, 99, 100, 1000]),
    headers=_SENT_FIELDS,
    is_last=strategies.booleans(),
)
def test_a_plain_response_is_encoded_as_by_h11(status, headers, is_last):
    """Guards against fields that smuggle others into a response."""
    head = plain.encode_response(status, headers, 0, is_last)
    if head is None:
        return
    sent = [*headers, ("content-length", "0")]
    if is_last:
        sent.append(("connection", "close"))
    connection = h11.Connection(h11.SERVER)
    assert head == connection.send(
        h11.Response(
            status_code=status,
            headers=[(n.encode(), v.encode("latin-1")) for n, v in sent],
        )
    )


@pytest.mark.parametrize(
    "field", ["x: 1\r\ny: 2", "x\r\n", "x\n", "x\x00", " x", "x "]
)
def test_a_value_cannot_add_a_field(field):
    """Guards against a value that ends its line."""
    assert plain.encode_response(200, [("a", field)], 0, False) is None
    assert plain.encode_request("GET", "/", (("a", field),), "h", 0) is None
    assert plain.encode_request("GET", "/", (), field, 0) is None


def test_ordinary_messages_are_plain():
    """Guards against a decoder that leaves everything to h11."""
    request = plain.decode_request(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    assert request is not None
    assert request.headers == (("host", "h"),)
    response = plain.decode_response(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA:  b \r\n\r\nok", "GET"
    )
    assert response is not None
    assert response.headers == (("content-length", "2"), ("a", "b"))
