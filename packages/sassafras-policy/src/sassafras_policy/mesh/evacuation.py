"""Which availability zones are evacuated, as of a revision of the store."""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneChange:
    """A change of the request to evacuate one zone.

    Attributes:
      zone: The availability zone.
      is_evacuated: Whether the request exists after the change.
      revision: Revision of the store at which it changed.
    """

    zone: str
    is_evacuated: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """What a node has learned at once.

    Attributes:
      begun: Zones that are evacuated now and were not before.
      ended: Zones that were evacuated and may get calls again.
    """

    begun: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        """Returns whether anything has changed."""
        return bool(self.begun or self.ended)


_NO_DIFFERENCE = Difference()


class EvacuationState:
    """The evacuated zones, read from the store or received from other nodes.

    What is known of a later revision is kept: updates arrive from several
    readers of the store and over links in any order.

    Attributes:
      zones: The evacuated zones.
      revision: Revision of the store as of which they are complete; 0 while
        nothing is known.
      era: Era of the store of that revision.
      is_provisional: Whether the store, back from an older copy, may lack what
        its operator wrote; it has to be read again.
      closes_own_zone: Whether the local target gets no calls, because its zone
        is evacuated or because it is not known yet whether it is.
    """

    def __init__(self, own_zone: str, is_expected: bool) -> None:
        """Creates the state of a node that has just started.

        Args:
          own_zone: Availability zone of the node.
          is_expected: Whether the deployment evacuates zones. Elsewhere the
            local target gets calls before the store has been read.
        """
        self._own_zone = own_zone
        self.zones: frozenset[str] = frozenset()
        self.revision = 0
        self.era = 0
        self.is_provisional = False
        self.closes_own_zone = is_expected

    def replace(
        self,
        zones: Iterable[str],
        revision: int,
        era: int = 0,
        written: frozenset[str] | None = None,
    ) -> Difference:
        """Sets the complete set of a revision, unless a later one is known.

        Args:
          zones: The evacuated zones.
          revision: Revision of the store.
          era: Era of the store; a newer one goes before any revision.
          written: Zones certainly evacuated in this era, while the store may
            lack what its operator wrote; they are added to those known. None
            if the store is complete.
        """
        if (era, revision) < (self.era, self.revision):
            return _NO_DIFFERENCE
        if written is not None and self.revision:
            # The position stays, so that the next complete set replaces this.
            self.is_provisional = True
            return self._set(self.zones | written, self.revision)
        self.is_provisional = written is not None
        self.era = era
        return self._set(frozenset(zones), revision)

    def apply_changes(
        self, changes: Iterable[ZoneChange], revision: int, era: int = 0
    ) -> Difference:
        """Applies changes in the order of the store.

        Args:
          changes: All changes since a revision that this state has passed.
          revision: Revision up to which they are complete.
          era: Era of the store.
        """
        if era != self.era and self.is_provisional:
            begun = frozenset(c.zone for c in changes if c.is_evacuated)
            return self._set(self.zones | begun, self.revision)
        if era != self.era:
            # Another reader has passed on the state of a newer era.
            return _NO_DIFFERENCE
        zones = set(self.zones)
        for change in changes:
            if change.revision <= self.revision:
                # Another reader has passed on a later state than this one.
                continue
            if change.is_evacuated:
                zones.add(change.zone)
            else:
                zones.discard(change.zone)
        return self._set(frozenset(zones), max(revision, self.revision))

    def _set(self, zones: frozenset[str], revision: int) -> Difference:
        difference = Difference(zones - self.zones, self.zones - zones)
        self.zones = zones
        self.revision = revision
        self.closes_own_zone = self._own_zone in zones
        return difference


def services_without_target(
    places: Iterable[tuple[str, str]], zones: frozenset[str]
) -> frozenset[str]:
    """Returns the services of which all targets are in evacuated zones.

    Args:
      places: Service and availability zone of each target.
      zones: The evacuated zones.
    """
    closed: set[str] = set()
    open_services: set[str] = set()
    for service, zone in places:
        (closed if zone in zones else open_services).add(service)
    return frozenset(closed - open_services)
