"""The settings of a node."""

from typing import Annotated
from typing import Any

import pydantic

from sassafras_base import registry
from sassafras_policy.admission import policies
from sassafras_policy.admission import whole_requests
from sassafras_policy.balancing import balancers
from sassafras_policy.limits import limiters
from sassafras_policy.retries import policies as retry_policies


def _check_address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdigit():
        raise ValueError("must be host:port, such as 10.0.0.7:7401")
    if not 0 < int(port) < 65536:
        raise ValueError("the port must be 1 to 65535")
    return value


def _registered(
    entries: registry.Registry[Any],
) -> pydantic.AfterValidator:
    """Returns a validator that accepts only registered names."""

    def check(value: str) -> str:
        if value not in entries:
            raise ValueError(f"known names: {', '.join(entries.names)}")
        return value

    return pydantic.AfterValidator(check)


def _split_list(value: object) -> object:
    if isinstance(value, str):
        return [part.strip() for part in value.split(",") if part.strip()]
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
AddressList = Annotated[
    tuple[Address, ...], pydantic.BeforeValidator(_split_list)
]


class Section(pydantic.BaseModel):
    """Base of the sections; rejects unknown keys."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, defer_build=True
    )


class HostSection(Section):
    """Availability zone and addresses of the node.

    Attributes:
      availability_zone: Availability zone of the host.
      caller_address: Where callers connect.
      target_address: Where the local target announces itself and sends its
        calls; loopback by default.
      peer_address: Where other nodes connect; also the node's id.
      admin_address: Where operators connect.
    """

    availability_zone: str = pydantic.Field(min_length=1, max_length=64)
    caller_address: Address
    target_address: Address
    peer_address: Address
    admin_address: Address


class PeersSection(Section):
    """How the node finds and authenticates its peers.

    Attributes:
      secret_file: File with the secret shared by all nodes.
      seeds: Peer addresses used when the store has none.
      heartbeat_interval_s: Seconds between heartbeats to a neighbour.
      suspect_after_s: Silence after which a neighbour is suspect.
      dead_after_s: Silence after which it is dead.
      forget_after_s: Time after which a dead or departed node is forgotten, and
        after the same time again its tombstone; must exceed the longest network
        partition between regions.
      connections_per_peer: Call connections kept open to one peer.
    """

    secret_file: str
    seeds: AddressList = ()
    heartbeat_interval_s: float = pydantic.Field(default=1.0, gt=0)
    suspect_after_s: float = pydantic.Field(default=1.5, gt=0)
    dead_after_s: float = pydantic.Field(default=3.0, gt=0)
    forget_after_s: float = pydantic.Field(default=7200.0, gt=0)
    connections_per_peer: int = pydantic.Field(default=32, gt=0)


class StoreSection(Section):
    """Connection to the platform's key-value store.

    Attributes:
      endpoints: Addresses of the store, tried in turn.
      timeout_s: Timeout of one request.
      lease_s: Lifetime of the lease of an availability zone's watcher.
    """

    endpoints: AddressList = ()
    timeout_s: float = pydantic.Field(default=2.0, gt=0)
    lease_s: float = pydantic.Field(default=5.0, ge=2)


class HttpSection(Section):
    """Limits on HTTP requests from callers and targets."""

    header_bytes: int = pydantic.Field(default=16 * 1024, ge=1024)
    body_bytes: int = pydantic.Field(default=1024 * 1024, ge=0)
    buffered_bytes: int = pydantic.Field(default=8 * 1024 * 1024, ge=1024)
    request_timeout_s: float = pydantic.Field(default=10.0, gt=0)
    idle_timeout_s: float = pydantic.Field(default=75.0, gt=0)


class PolicySection(Section):
    """Names of the policies in use."""

    balancer: Annotated[str, _registered(balancers.balancers)] = "power-of-two"
    admission: Annotated[str, _registered(policies.admission_policies)] = (
        "adaptive"
    )
    requests: Annotated[str, _registered(whole_requests.request_policies)] = (
        "levels"
    )
    limiter: Annotated[str, _registered(limiters.limiters)] = "token-escrow"
    retries: Annotated[str, _registered(retry_policies.retry_policies)] = (
        "budgeted"
    )


class AdminSection(Section):
    """Administration API.

    Attributes:
      operators_file: INI file with the operators' credentials; without it the
        administration API answers health checks only.
    """

    operators_file: str = ""


class LogSection(Section):
    """Log output."""

    level: str = pydantic.Field(
        default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )


class NodeSettings(Section):
    """All settings of a node, one attribute for each section."""

    host: HostSection
    peers: PeersSection
    store: StoreSection = pydantic.Field(default_factory=StoreSection)
    http: HttpSection = pydantic.Field(default_factory=HttpSection)
    policy: PolicySection = pydantic.Field(default_factory=PolicySection)
    admin: AdminSection = pydantic.Field(default_factory=AdminSection)
    log: LogSection = pydantic.Field(default_factory=LogSection)
