"""Data classes that describe nodes and targets."""

import dataclasses
import enum


class Status(enum.IntEnum):
    """Liveness of a node; among equal versions the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class TargetState(enum.StrEnum):
    """State of a target, as announced by it or detected by its node."""

    ABSENT = "absent"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A target's announcement to its local node.

    Attributes:
      address: `host:port` of the target.
      service: The service that it belongs to.
      slots: Announced number of concurrent calls.
      connections: Connections that it accepts.
      cold_start_s: Seconds from its start until it is at full speed.
      state: Whether it serves or leaves.
      load: Reported load, 1.0 when full; not to be trusted.
    """

    address: str
    service: str
    slots: int
    connections: int
    cold_start_s: float
    state: TargetState
    load: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """A node and its local target, as described by the node itself.

    Attributes:
      node_id: `host:port` of the node's peer listener.
      availability_zone: Availability zone of its host.
      incarnation: Rises with each start of the node.
      version: Rises with each change that the node makes to its record.
      status: Liveness, as reported by the node or a failure detector.
      caller_address: `host:port` of its caller listener.
      service: Service of its local target; empty while there is none.
      target_address: `host:port` of that target.
      target_state: Whether the target takes calls.
      slots: Announced number of concurrent calls of the target.
      cold_start_s: Seconds of slow start after the target appeared.
      config_revision: Configuration revision that the node uses.
      roster_epoch: Roster epoch that the node has applied.
    """

    node_id: str
    availability_zone: str
    incarnation: int
    version: int
    status: Status
    caller_address: str = ""
    service: str = ""
    target_address: str = ""
    target_state: TargetState = TargetState.ABSENT
    slots: int = 0
    cold_start_s: float = 0.0
    config_revision: int = 0
    roster_epoch: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Orders two records of one node; the higher one is newer."""
        return (self.incarnation, self.version, int(self.status))

    @property
    def takes_calls(self) -> bool:
        """Whether its target may be given new calls."""
        return (
            self.status in (Status.ALIVE, Status.SUSPECT)
            and self.target_state is TargetState.SERVING
        )
