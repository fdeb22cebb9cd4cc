"""What is known of targets, from their announcements and their nodes."""

import dataclasses
import enum


class State(enum.StrEnum):
    """Whether a target takes requests."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a target says of itself.

    Attributes:
      target_id: Identifies the target; most starts bring a new one.
      service: The service that it belongs to.
      address: `host:port` at which the node beside it reaches it.
      capacity: Requests that it works on at once.
      state: Whether it takes requests.
      cold_start_s: How much longer it stays slow after its start.
      sequence: Rises with each announcement of one start.
      started_ms: Unix milliseconds of its start; orders starts.
    """

    target_id: str
    service: str
    address: str
    capacity: int
    state: State
    cold_start_s: float
    sequence: int
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodeEntry:
    """What a node publishes of itself and the target beside it.

    Attributes:
      node_id: Name of the node; the same after a restart.
      incarnation: Unix milliseconds of the start of its process.
      availability_zone: Where it runs.
      call_address: Where it takes calls of other nodes.
      link_address: Where it takes control links of other nodes.
      is_leaving: Whether it is about to stop.
      target: The target beside it, or None.
    """

    node_id: str
    incarnation: int
    availability_zone: str
    call_address: str
    link_address: str
    is_leaving: bool = False
    target: Announcement | None = None

    @property
    def service(self) -> str:
        """The service that the node takes calls for; empty for none."""
        if self.is_leaving or self.target is None:
            return ""
        if self.target.state is not State.READY:
            return ""
        return self.target.service


class BesideRegister:
    """Decides which announcement of the target beside the node is in force.

    Announcements may arrive late: those of an earlier start, or earlier ones
    of the same start, change nothing.
    """

    def __init__(self) -> None:
        self._current: Announcement | None = None

    @property
    def current(self) -> Announcement | None:
        """The announcement in force."""
        return self._current

    def offer(self, announcement: Announcement) -> bool:
        """Takes an announcement; returns whether it is now in force."""
        current = self._current
        if current is not None and not _follows(current, announcement):
            return False
        self._current = announcement
        return True

    def leave(self, target_id: str) -> bool:
        """Marks a target as gone; returns whether it was the current one."""
        current = self._current
        if current is None or current.target_id != target_id:
            return False
        self._current = dataclasses.replace(current, state=State.GONE)
        return True


def _follows(current: Announcement, new: Announcement) -> bool:
    if new.started_ms != current.started_ms:
        return new.started_ms > current.started_ms
    if new.target_id != current.target_id:
        return True
    if current.state is State.GONE:
        # The same start announces itself again only if a message was late.
        return False
    if current.state is State.LEAVING and new.state is State.READY:
        return False
    return new.sequence > current.sequence
