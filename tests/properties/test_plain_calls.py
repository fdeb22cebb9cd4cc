"""Calls that are decoded without their models mean the same to these."""

import cbor2
import hypothesis
from hypothesis import strategies

from sassafras_base import errors
from sassafras_wire.mesh import call_messages
from sassafras_wire.mesh import plain_calls
from sassafras_wire.peer import codec

_ODD = strategies.sampled_from(
    [
        None,
        True,
        -1,
        0,
        127,
        128,
        2**70,
        0.5,
        float("nan"),
        "",
        "ran",
        "5",
        b"x",
        [],
        ["a", "b"],
        [["a", "b"]],
        [["a"]],
        [["a", 1]],
        [["a", "b", "c"]],
        [["a", 1, 2, 3, 4, 5, 6]],
        [["a", 1, 2, 3, 4, 5, True]],
        [["a", 1, 2, 3, 4, 5, 6.0]],
        {},
    ]
)
_CALL = {
    "type": "mesh_call",
    "request_id": "r",
    "caller_service": "c",
    "organisation": "o",
    "service": "s",
    "route": "r",
    "target_id": "t",
    "remaining_ms": 5,
    "priority": 1,
    "bucket": 3,
    "depth": 0,
    "part": 500,
    "is_idempotent": False,
    "method": "GET",
    "path": "/",
    "headers": [["host", "h"], ["a", "b"]],
    "body": b"x",
    "unknown": 1,
}
_ANSWER = {
    "type": "mesh_answer",
    "outcome": "not-run",
    "reason": "overload",
    "status": 503,
    "headers": [["a", "b"]],
    "body": b"x",
    "load": 0.5,
    "level": 7,
    "sub_call_failed": True,
    "is_last": True,
    "reports": [["s", 1, 250, 900, 1200, 10, 40]],
}
_SETTINGS = hypothesis.settings(max_examples=1000, deadline=None)


def _changed(usual):
    """Messages of which some fields are missing or have another value."""
    names = strategies.sampled_from(sorted(usual))
    return strategies.tuples(
        strategies.sets(names, max_size=3),
        strategies.dictionaries(names, _ODD, max_size=2),
    ).map(
        lambda change: {
            **{k: v for k, v in usual.items() if k not in change[0]},
            **change[1],
        }
    )


def _is_same(plain, model):
    return all(
        repr(getattr(plain, name)) == repr(getattr(model, name))
        for name in type(model).model_fields
        if name != "type"
    )


@_SETTINGS
@hypothesis.given(fields=_changed(_CALL))
def test_a_plain_call_means_the_same_to_the_model(fields):
    """Guards against a call that only one of two nodes takes for valid."""
    content = cbor2.dumps(fields)
    plain = plain_calls.decode_call(content)
    if plain is not None:
        model = codec.decode(content, "peer")
        assert isinstance(model, call_messages.CallMessage)
        assert _is_same(plain, model)


@_SETTINGS
@hypothesis.given(fields=_changed(_ANSWER))
def test_a_plain_answer_means_the_same_to_the_model(fields):
    """Guards against an answer that only one of two nodes takes for valid."""
    content = cbor2.dumps(fields)
    plain = plain_calls.decode_answer(content)
    if plain is not None:
        model = codec.decode(content, "peer")
        assert isinstance(model, call_messages.AnswerMessage)
        assert _is_same(plain, model)


@hypothesis.given(content=strategies.binary(max_size=20))
def test_bytes_that_are_no_message_are_refused(content):
    """Guards against an error of another kind, which would end the session."""
    for decode in (call_messages.decode_call, call_messages.decode_answer):
        try:
            decode(content, "peer")
        except errors.ProtocolError:
            continue
        raise AssertionError("random bytes were accepted")


def test_usual_messages_are_plain():
    """Guards against a decoder that leaves everything to the models."""
    assert plain_calls.decode_call(cbor2.dumps(_CALL)) is not None
    assert plain_calls.decode_answer(cbor2.dumps(_ANSWER)) is not None
