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


# Clocks of two hosts may differ, and one may step back after a start.
MAX_CLOCK_SKEW_MS = 60_000


def find_fault(
    announcement: Announcement, service: str, address: str, now_ms: float
) -> str:
    """Returns why an announcement cannot be that of the local target.

    Another writer's announcement of a later start would displace the target.

    Args:
      announcement: The announcement.
      service: The service of the local target.
      address: The address of the local target.
      now_ms: Time of day in Unix milliseconds.

    Returns:
      The fault; empty for none.
    """
    if announcement.service != service:
        return f"service {announcement.service!r} is not this host's"
    if announcement.address != address:
        return f"address {announcement.address!r} is not this host's target"
    if announcement.started_ms > now_ms + MAX_CLOCK_SKEW_MS:
        return f"a start at {announcement.started_ms} ms is in the future"
    return ""


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


# Targets of one host follow each other, so more have not left within the time
# that a late announcement takes.
_MAX_DEPARTURES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _Departure:
    departed_ms: int
    forgotten_at: float


class LocalTargetRegister:
    """Keeps the current announcement of a node's local target.

    Announcements may arrive late; those of an earlier start, or earlier ones
    of the same start, are ignored.
    """

    def __init__(self) -> None:
        self._current: Announcement | None = None
        self._departures: dict[str, _Departure] = {}

    @property
    def current(self) -> Announcement | None:
        """The current announcement, or None."""
        return self._current

    def restore(self, announcement: Announcement) -> bool:
        """Sets what an earlier process of the node knew.

        Returns:
          Whether it was used; it is not after an announcement.
        """
        if self._current is not None:
            return False
        self._current = announcement
        return True

    def offer(self, announcement: Announcement, now: float) -> bool:
        """Stores an announcement and returns True, unless it is outdated.

        Args:
          announcement: The announcement.
          now: Time on a steady clock, in seconds.
        """
        departure = self._departures.get(announcement.target_id)
        if (
            departure is not None
            and now < departure.forgotten_at
            and announcement.started_ms <= departure.departed_ms
        ):
            return False
        current = self._current
        if current is not None and not _supersedes(current, announcement):
            return False
        self._current = announcement
        return True

    def mark_gone(
        self, target_id: str, departed_ms: int, forgotten_at: float
    ) -> bool:
        """Marks a target as gone; returns whether it is the current one.

        A target that the node has not heard of has deregistered before its
        last announcement arrived, so it is remembered.

        Args:
          target_id: The target.
          departed_ms: Time of day in Unix milliseconds; a later start under the
            same id is another instance.
          forgotten_at: Time on the clock of `offer` after which no announcement
            of the target can be on its way.
        """
        current = self._current
        if current is not None and current.target_id == target_id:
            self._current = dataclasses.replace(current, state=State.GONE)
            return True
        self._departures.pop(target_id, None)
        self._departures[target_id] = _Departure(departed_ms, forgotten_at)
        if len(self._departures) > _MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        return False


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
