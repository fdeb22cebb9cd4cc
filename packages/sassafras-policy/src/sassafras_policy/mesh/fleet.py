"""The other nodes of the fleet, as known from the store and control links."""

import dataclasses

from sassafras_policy.mesh import targets

# Bounds the memory for nodes that have gone. A copy of the store is some
# seconds old, in which fewer nodes end.
_MAX_GONE = 1000


@dataclasses.dataclass(slots=True)
class Member:
    """One node.

    Attributes:
      entry: The entry that it published last.
      removed_at: When its entry lapsed in the store; None while it exists.
      hold_s: Time for which the lapsed entry is kept.
    """

    entry: targets.NodeEntry
    removed_at: float | None = None
    hold_s: float = 0.0


class Fleet:
    """All nodes but this one.

    A lapsed entry is kept for a while, because after an outage of the store
    the entries of all live nodes are missing until they are written again.

    Attributes:
      rewrite_timeout_s: Maximum time that a live node needs to rewrite its
        entry.
      lease_s: Time that the leases of entries last.
      changes: Number of changes so far.
    """

    def __init__(
        self, own_id: str, rewrite_timeout_s: float, lease_s: float = 0.0
    ) -> None:
        self.rewrite_timeout_s = rewrite_timeout_s
        self.lease_s = max(rewrite_timeout_s, lease_s)
        self.changes = 0
        self._own_id = own_id
        self._evacuated: frozenset[str] = frozenset()
        self._members: dict[str, Member] = {}
        self._gone: dict[str, tuple[int, int]] = {}
        self._serving: dict[tuple[str, str], list[targets.NodeEntry]] | None = (
            None
        )

    def __len__(self) -> int:
        """Returns the number of other nodes."""
        return len(self._members)

    @property
    def entries(self) -> list[targets.NodeEntry]:
        """The entries of all other nodes."""
        return [member.entry for member in self._members.values()]

    def get(self, node_id: str) -> targets.NodeEntry | None:
        """Returns the entry of a node."""
        member = self._members.get(node_id)
        return member.entry if member else None

    def update(self, entry: targets.NodeEntry, is_copy: bool = False) -> None:
        """Adds or replaces an entry from the store or from the node itself.

        Args:
          entry: The entry.
          is_copy: Whether it may come from an older copy of the store. It then
            does not bring back a node that has gone since.
        """
        if entry.node_id == self._own_id:
            return
        member = self._members.get(entry.node_id)
        if member and _order(member.entry) > _order(entry):
            return
        gone = self._gone.get(entry.node_id) if is_copy else None
        if gone is not None and gone > _order(entry):
            return
        if member and member.entry == entry and member.removed_at is None:
            return
        self._members[entry.node_id] = Member(entry)
        self._serving = None
        self.changes += 1

    def remember(self, entry: targets.NodeEntry, now: float) -> None:
        """Adds a node of before that the store does not list.

        It counts like one whose entry has lapsed, as it may still be alive.
        """
        if entry.node_id == self._own_id or entry.node_id in self._members:
            return
        self._members[entry.node_id] = Member(entry)
        self.lapse(entry.node_id, now)
        self._serving = None
        self.changes += 1

    def drop(self, node_id: str) -> None:
        """Removes a node whose process is known to have ended."""
        if self._members.pop(node_id, None) is not None:
            self._serving = None
            self.changes += 1

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Excludes the targets of these availability zones from `serving`."""
        self._evacuated = zones
        self._serving = None

    @property
    def listed_entries(self) -> list[targets.NodeEntry]:
        """The entries that have not lapsed in the store."""
        return [
            member.entry
            for member in self._members.values()
            if member.removed_at is None
        ]

    def lapse(self, node_id: str, now: float, is_copy: bool = False) -> None:
        """Records that the store no longer has an entry of a node.

        Args:
          node_id: The node.
          now: The current time.
          is_copy: Whether an older copy of the store lacks the entry. A node
            that cannot write it again goes on for as long as its lease would
            have lasted.
        """
        member = self._members.get(node_id)
        if member is not None and member.removed_at is None:
            member.removed_at = now
            is_held = is_copy and not member.entry.is_leaving
            member.hold_s = self.lease_s if is_held else self.rewrite_timeout_s

    def lapse_departed(self, now: float) -> None:
        """Lapses the nodes that stop after their targets have left.

        Their entries stay in the store as the memory of the next process, but
        until their leases expire they would hold shares of rates.
        """
        for member in self._members.values():
            target = member.entry.target
            if (
                member.removed_at is None
                and member.entry.is_leaving
                and target is not None
                and target.state is not targets.State.READY
            ):
                member.removed_at = now
                member.hold_s = self.rewrite_timeout_s

    def keep_only(
        self, node_ids: set[str], now: float, is_copy: bool = False
    ) -> None:
        """Lapses all nodes that are missing from a full store listing.

        Args:
          node_ids: The nodes that are listed.
          now: The current time.
          is_copy: Whether the listing may come from an older copy.
        """
        for node_id in self._members:
            if node_id not in node_ids:
                self.lapse(node_id, now, is_copy)

    def expire(self, now: float) -> list[str]:
        """Removes and returns the nodes whose entries were not rewritten."""
        gone = [
            node_id
            for node_id, member in self._members.items()
            if member.removed_at is not None
            and now - member.removed_at >= member.hold_s
        ]
        for node_id in gone:
            self._gone.pop(node_id, None)
            self._gone[node_id] = _order(self._members[node_id].entry)
            if len(self._gone) > _MAX_GONE:
                del self._gone[next(iter(self._gone))]
            del self._members[node_id]
            self._serving = None
            self.changes += 1
        return gone

    def serving(self, service: str, zone: str = "") -> list[targets.NodeEntry]:
        """Returns the nodes that take calls for a service.

        Args:
          service: The service.
          zone: Availability zone of the nodes; empty for all zones.
        """
        if self._serving is None:
            index: dict[tuple[str, str], list[targets.NodeEntry]] = {}
            for entry in self.entries:
                if (
                    entry.service
                    and entry.availability_zone not in self._evacuated
                ):
                    near = entry.service, entry.availability_zone
                    index.setdefault(near, []).append(entry)
                    index.setdefault((entry.service, ""), []).append(entry)
            self._serving = index
        return self._serving.get((service, zone), [])


def _order(entry: targets.NodeEntry) -> tuple[int, int]:
    return entry.incarnation, entry.number
