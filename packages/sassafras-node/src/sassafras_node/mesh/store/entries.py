"""Keys and values of the nodes' entries in the store."""

import pydantic

from sassafras_policy.mesh import targets
from sassafras_wire.mesh import link_messages

PREFIX = "sassafras/nodes/"


def key_of(node_id: str) -> str:
    """Returns the key of a node's entry."""
    return PREFIX + node_id


def node_of(key: str) -> str:
    """Returns the node whose entry has a key."""
    return key.removeprefix(PREFIX)


def encode(entry: targets.NodeEntry) -> bytes:
    """Returns the value of an entry."""
    return link_messages.to_model(entry).model_dump_json().encode()


def decode(value: bytes) -> targets.NodeEntry | None:
    """Returns the entry in a value, or None if it is not valid."""
    try:
        model = link_messages.NodeEntryModel.model_validate_json(value)
    except pydantic.ValidationError:
        return None
    return link_messages.to_entry(model)
