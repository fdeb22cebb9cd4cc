"""Settings of a mesh node, independent of where they come from."""

import dataclasses

from sassafras_policy.limits import limiters
from sassafras_wire.settings import node as node_settings


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Where the node runs and listens.

    Attributes:
      node_id: Name of the node; the same after a restart.
      availability_zone: Where it runs.
      caller_address: Where callers and the local target send requests.
      readiness_address: Where readiness checks are served.
      announcement_address: Where the local target announces itself.
      call_address: Where other nodes send calls.
      link_address: Where other nodes open control links.
      metrics_address: Where metrics are served.
      target_address: Where the local target is reached.
      target_service: Service of the local target.
      availability_zones: All zones of the deployment; empty if not stated.
    """

    node_id: str
    availability_zone: str
    caller_address: str
    readiness_address: str
    announcement_address: str
    call_address: str
    link_address: str
    metrics_address: str
    target_address: str
    target_service: str
    availability_zones: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """The key-value service.

    Attributes:
      address: `host:port`.
      min_lease_s: Shortest lifetime of a lease.
    """

    address: str
    min_lease_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time spans and amounts that the deployment guarantees.

    Attributes:
      revocation_s: Longest time for which a withdrawn key still works.
      configuration_apply_s: Longest time until a new configuration is in force
        at every node that reaches the store.
      grace_s: Time between the request to stop and the kill.
      announcement_interval_s: Usual interval between announcements of a target.
      retry_ratio: Further sends to targets, as a part of the requests.
      retry_window_s: The window in which sends are compared.
      retry_extra: Further sends allowed in each window in addition.
      rate_tolerance: Excess over the rates of organisations that is allowed.
      cold_rate_tolerance: Excess over the rate of a cold target that is
        allowed, within one second.
      evacuation_s: Longest time until a request to evacuate a zone is in force;
        0 if the deployment does not state it.
    """

    revocation_s: float
    configuration_apply_s: float
    grace_s: float
    announcement_interval_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    rate_tolerance: limiters.Tolerance
    cold_rate_tolerance: limiters.Tolerance = dataclasses.field(
        default_factory=limiters.Tolerance
    )
    evacuation_s: float = 0.0


# Descriptors that the platform keeps for files.
_FILE_DESCRIPTORS = 200
# Descriptors for what is not counted: listeners, the store, control links that
# this node opens, connections that are being refused, and the event loop.
_SYSTEM_DESCRIPTORS = 128
# Of a limit that leaves less than half beside these.
_MIN_SOCKET_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Resource limits of the process.

    Attributes:
      memory_bytes: Memory after which the process is killed.
      descriptors: Descriptors that it may open.
    """

    memory_bytes: int
    descriptors: int

    @property
    def sockets(self) -> int:
        """Sockets for callers, targets and calls between nodes together."""
        return max(
            self.descriptors - _FILE_DESCRIPTORS - _SYSTEM_DESCRIPTORS,
            int(self.descriptors * _MIN_SOCKET_SHARE),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSettings:
    """All settings of a mesh node."""

    host: HostSettings
    store: StoreSettings
    bounds: Bounds
    resources: Resources
    policy: node_settings.PolicySection
