"""Announcements of targets and the entries that nodes publish."""

import dataclasses
import enum


class State(enum.StrEnum):
    """Whether a target takes requests."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """The state that a target announces to the node on its host.

    Attributes:
      target_id: Identifies the target; it usually changes at a restart.
      service: The service that it belongs to.
      address: `host:port` at which the local node reaches it.
      capacity: Number of requests that it can execute concurrently.
      state: Whether it takes requests.
      cold_start_s: Remaining time of its slow phase after a start.
      sequence: Increases with each announcement after one start.
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
    """What a node publishes about itself and its local target.

    Attributes:
      node_id: Name of the node; the same after a restart.
      incarnation: Unix milliseconds of the start of its process.
      availability_zone: Availability zone of its host.
      call_address: Address for calls of other nodes.
      link_address: Address for control links of other nodes.
      is_leaving: Whether it is about to stop.
      target: The local target, or None.
      number: Increases with each change of the entry of one incarnation, as
        entries arrive over links and through the store in any order.
    """

    node_id: str
    incarnation: int
    availability_zone: str
    call_address: str
    link_address: str
    is_leaving: bool = False
    target: Announcement | None = None
    number: int = 0

    @property
    def service(self) -> str:
        """The service that the node takes calls for; empty for none."""
        if self.is_leaving or self.target is None:
            return ""
        if self.target.state is not State.READY:
            return ""
        return self.target.service


class LocalTargetRegister:
    """Keeps the current announcement of a node's local target.

    Announcements may arrive late; those of an earlier start, or earlier ones
    of the same start, are ignored.
    """

    def __init__(self) -> None:
        self._current: Announcement | None = None

    @property
    def current(self) -> Announcement | None:
        """The current announcement, or None."""
        return self._current

    def offer(self, announcement: Announcement) -> bool:
        """Stores an announcement and returns True, unless it is outdated."""
        current = self._current
        if current is not None and not _supersedes(current, announcement):
            return False
        self._current = announcement
        return True

    def mark_gone(self, target_id: str) -> bool:
        """Marks a target as gone; returns whether it is the current one."""
        current = self._current
        if current is None or current.target_id != target_id:
            return False
        self._current = dataclasses.replace(current, state=State.GONE)
        return True


def _supersedes(current: Announcement, new: Announcement) -> bool:
    if new.started_ms != current.started_ms:
        return new.started_ms > current.started_ms
    if new.target_id != current.target_id:
        return True
    if current.state is State.GONE:
        # An announcement after the end of the same start must be a late one.
        return False
    if current.state is State.LEAVING and new.state is State.READY:
        return False
    return new.sequence > current.sequence
