"""Messages on the control link between two nodes, and their conversions."""

import dataclasses
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

from sassafras_policy.mesh import eras
from sassafras_policy.mesh import targets
from sassafras_wire.peer import models

# Larger numbers lose digits in floating point.
_MAX_NUMBER = 2**53
_MAX_CAPACITY = 1_000_000
_MAX_COLD_START_S = 24 * 3600.0
_MAX_PORT = 65535

_Number = Annotated[int, pydantic.Field(ge=0, le=_MAX_NUMBER)]


def _check_address(value: str) -> str:
    """Returns a `host:port` address; opening others raises unusual errors."""
    host, _, port = value.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not host or not is_number or not 0 < int(port) <= _MAX_PORT:
        raise ValueError("not a host and a port")
    return value


_Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class AnnouncementModel(pydantic.BaseModel):
    """The local target of a node."""

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, defer_build=True
    )

    target_id: str
    service: str
    address: _Address
    capacity: int = pydantic.Field(ge=0, le=_MAX_CAPACITY)
    state: targets.State
    cold_start_s: float = pydantic.Field(
        default=0.0, ge=0, le=_MAX_COLD_START_S
    )
    sequence: _Number = 0
    started_ms: _Number = 0


class NodeEntryModel(pydantic.BaseModel):
    """A node's own entry, as published to its peers."""

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, defer_build=True
    )

    node_id: str
    incarnation: _Number
    availability_zone: str
    call_address: _Address
    link_address: _Address
    is_leaving: bool = False
    target: AnnouncementModel | None = None
    number: _Number = 0


@models.message_types.register("mesh_ping")
class Ping(models.Message):
    """Requests the peer's state; a `StateUpdate` with this number responds.

    Attributes:
      number: Number of the ping.
      configuration_version: Version that the pinging node has.
      members_revision: Revision of the store at which the pinging node has the
        entries of all nodes; None if it does not ask for them.
      members_era: Era of the store of that revision.
      store_era: The newest era of the store that the pinging node knows of.
      entry: The pinging node's own entry, before it uses its share of rates.
        The response means that the peer counts it.
    """

    type: Literal["mesh_ping"] = "mesh_ping"
    number: int = pydantic.Field(gt=0)
    configuration_version: int
    members_revision: int | None = None
    members_era: _Number = 0
    store_era: _Number = 0
    entry: NodeEntryModel | None = None


@models.message_types.register("mesh_news")
class StateUpdate(models.Message):
    """The current state of the sending node and of its configuration.

    Attributes:
      number: Number of the ping that it responds to; 0 if unsolicited.
      entry: The node's own entry.
      load: Load of its local target; 1.0 when its concurrency limit is in use.
      confirmed_age_s: Time since its configuration was confirmed as the newest.
      demand: Requests per second that it receives, by organisation.
      configuration: The document, when newer than that of the pinging node.
      reaches_store: Whether the store answers the node.
      members_revision: Revision of the store at which the node has the entries
        of all nodes.
      members: Entries, when the pinging node's are older; see
        `encode_members`.
      members_since: Revision after which `members` and `removed_members` have
        changed; None if `members` are the entries of all nodes.
      removed_members: Nodes whose entries are gone from the store.
      evacuated_zones: Availability zones whose targets get no calls.
      evacuations_revision: Revision of the store as of which these are all; 0
        if the node does not know.
      evacuations_era: Era of the store of that revision.
      members_era: Era of the store of the two revisions.
      store_era: The newest era of the store that the node knows of.
      uses_rates: Whether the node uses its shares of rates; it does not until
        the others count it, after its start and under each new lease.
    """

    type: Literal["mesh_news"] = "mesh_news"
    number: int = 0
    entry: NodeEntryModel
    load: float
    configuration_version: int
    confirmed_age_s: float
    demand: dict[str, float] = {}
    configuration: bytes = b""
    reaches_store: bool = True
    members_revision: int = 0
    members: bytes = b""
    members_since: int | None = None
    removed_members: tuple[str, ...] = ()
    evacuated_zones: tuple[str, ...] = ()
    evacuations_revision: _Number = 0
    evacuations_era: _Number = 0
    members_era: _Number = 0
    store_era: _Number = 0
    uses_rates: bool = True


@models.message_types.register("mesh_renew")
class RenewLease(models.Message):
    """Asks a node to renew the sender's lease; `LeaseRenewal` responds.

    Attributes:
      number: Number of the request.
      lease: The lease.
      era: Era of the store in which it is the sender's.
    """

    type: Literal["mesh_renew"] = "mesh_renew"
    number: int = pydantic.Field(gt=0)
    lease: _Number
    era: _Number = 0


@models.message_types.register("mesh_renewed")
class LeaseRenewal(models.Message):
    """What the store has answered to a `RenewLease`.

    Attributes:
      number: Number of the request.
      is_answered: Whether the store has answered.
      lease: The lease; 0 if it has ended.
      era: Era of the store.
    """

    type: Literal["mesh_renewed"] = "mesh_renewed"
    number: int
    is_answered: bool
    lease: _Number = 0
    era: _Number = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MembersUpdate:
    """Entries that a reader sends to a node of its zone.

    Attributes:
      revision: Revision of the store at which the entries are complete.
      members: The entries; see `encode_members`.
      since: Revision after which the entries have changed; None if they are
        those of all nodes.
      removed: Nodes whose entries are gone from the store.
      era: Era of the store of the two revisions.
    """

    revision: int
    members: bytes
    since: int | None = None
    removed: tuple[str, ...] = ()
    era: int = 0

    @property
    def position(self) -> eras.Position:
        """Position of the store at which the entries are complete."""
        return eras.Position(self.era, self.revision)


_DEFERRED = pydantic.ConfigDict(defer_build=True)
_MEMBERS = pydantic.TypeAdapter(list[NodeEntryModel], config=_DEFERRED)
_ITEMS = pydantic.TypeAdapter(list[Any], config=_DEFERRED)


def encode_members(entries: list[targets.NodeEntry]) -> bytes:
    """Returns the entries of nodes as one value."""
    return _MEMBERS.dump_json([to_model(entry) for entry in entries])


def decode_members(value: bytes) -> list[targets.NodeEntry] | None:
    """Returns the valid entries in a value, or None if it is no list."""
    try:
        return [to_entry(model) for model in _MEMBERS.validate_json(value)]
    except pydantic.ValidationError:
        return _decode_valid_members(value)


def _decode_valid_members(value: bytes) -> list[targets.NodeEntry] | None:
    """Returns the valid entries of a list in which others are not valid."""
    try:
        items = _ITEMS.validate_json(value)
    except pydantic.ValidationError:
        return None
    found: list[targets.NodeEntry] = []
    for item in items:
        try:
            found.append(to_entry(NodeEntryModel.model_validate(item)))
        except pydantic.ValidationError:
            # The node that read it from the store has logged it.
            continue
    return found


def to_model(entry: targets.NodeEntry) -> NodeEntryModel:
    """Returns the model of an entry."""
    target = entry.target
    return NodeEntryModel(
        node_id=entry.node_id,
        incarnation=entry.incarnation,
        availability_zone=entry.availability_zone,
        call_address=entry.call_address,
        link_address=entry.link_address,
        is_leaving=entry.is_leaving,
        number=entry.number,
        target=None
        if target is None
        else AnnouncementModel(
            target_id=target.target_id,
            service=target.service,
            address=target.address,
            capacity=target.capacity,
            state=target.state,
            cold_start_s=target.cold_start_s,
            sequence=target.sequence,
            started_ms=target.started_ms,
        ),
    )


def to_entry(model: NodeEntryModel) -> targets.NodeEntry:
    """Returns the entry in a model."""
    target = model.target
    return targets.NodeEntry(
        node_id=model.node_id,
        incarnation=model.incarnation,
        availability_zone=model.availability_zone,
        call_address=model.call_address,
        link_address=model.link_address,
        is_leaving=model.is_leaving,
        number=model.number,
        target=None
        if target is None
        else targets.Announcement(**target.model_dump()),
    )
