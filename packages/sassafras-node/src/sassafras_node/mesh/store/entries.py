"""Keys and values of the nodes' entries in the store.

An entry is bound to the lease of its node. The record of a node is not: after
an outage in which leases ended, a node that starts finds the others by it.
"""

import pydantic

from sassafras_policy.mesh import targets
from sassafras_wire.mesh import link_messages

PREFIX = "sassafras/nodes/"

RECORD_PREFIX = "sassafras/records/"


def record_key_of(node_id: str) -> str:
    """Returns the key of a node's record."""
    return RECORD_PREFIX + node_id


def encode_record(entry: targets.NodeEntry) -> bytes:
    """Returns the record of a node: its entry of no start, without a target.

    Any entry that the node publishes displaces it.
    """
    return encode(
        targets.NodeEntry(
            node_id=entry.node_id,
            incarnation=0,
            availability_zone=entry.availability_zone,
            call_address=entry.call_address,
            link_address=entry.link_address,
        )
    )


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
