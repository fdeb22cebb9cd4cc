"""CBOR encoding of the messages between nodes."""

import cbor2
import pydantic

from sassafras_base import errors
from sassafras_base import registry
from sassafras_wire.peer import models

MAX_FRAME_BYTES = 2 * 1024 * 1024


def encode(message: models.Message) -> bytes:
    """Returns a message as one CBOR map.

    Fields with their default values are omitted, which halves the size of a
    heartbeat; the receiver's model fills them in.
    """
    content = message.model_dump(exclude_defaults=True)
    return cbor2.dumps({"type": message.type, **content})


def decode(data: str | bytes, peer: str) -> models.Message:
    """Returns the message in a frame.

    Raises:
      ProtocolError: The frame is not CBOR, not a known message or not valid.
    """
    step = "peer.decode"
    if isinstance(data, str):
        raise errors.ProtocolError(step, peer, "a text frame; send binary")
    try:
        content = cbor2.loads(data)
        model = models.message_types.get(content["type"])
        return model.model_validate(content)
    except registry.UnknownNameError as error:
        raise errors.ProtocolError(step, peer, str(error)) from None
    except pydantic.ValidationError as error:
        fields = ", ".join(
            ".".join(str(part) for part in fault["loc"])
            for fault in error.errors(include_input=False)
        )
        raise errors.ProtocolError(
            step, peer, f"invalid fields: {fields}"
        ) from None
    except (cbor2.CBORDecodeError, KeyError, TypeError, ValueError) as error:
        raise errors.ProtocolError(
            step, peer, f"not a CBOR message: {type(error).__name__}"
        ) from None
