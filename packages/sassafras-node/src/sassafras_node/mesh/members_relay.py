"""The entries of all nodes, as a reader passes them on to its zone."""

from sassafras_policy.mesh import change_log
from sassafras_policy.mesh import eras
from sassafras_policy.mesh import fleet as fleets
from sassafras_policy.mesh import targets
from sassafras_wire.mesh import link_messages


class MembersRelay:
    """What this node has read of the entries, and updates for other nodes.

    Attributes:
      position: Position of the store at which this node has all entries.
      changes: Which of them have changed lately.
    """

    def __init__(self) -> None:
        self.position = eras.Position()
        self.changes = change_log.ChangeLog()
        self._update = link_messages.MembersUpdate(0, b"")
        self._update_key = (eras.Position(-1), eras.Position(-1))

    @property
    def revision(self) -> int:
        """Revision of the store at which this node has all entries."""
        return self.position.revision

    def after(
        self,
        position: eras.Position,
        own: targets.NodeEntry,
        fleet: fleets.Fleet,
    ) -> link_messages.MembersUpdate:
        """Returns what a node of the same zone lacks of the entries.

        Args:
          position: Position of the store of the other node's entries.
          own: The entry of this node.
          fleet: The entries of the others.
        """
        key = (position, self.position)
        if key != self._update_key:
            self._update = self._make_update(position, own, fleet)
            self._update_key = key
        return self._update

    def _make_update(
        self,
        position: eras.Position,
        own: targets.NodeEntry,
        fleet: fleets.Fleet,
    ) -> link_messages.MembersUpdate:
        entries = {e.node_id: e for e in fleet.listed_entries}
        entries[own.node_id] = own
        changed = self.changes.since(position)
        if changed is None:
            return link_messages.MembersUpdate(
                self.revision,
                link_messages.encode_members(list(entries.values())),
                era=self.position.era,
            )
        return link_messages.MembersUpdate(
            self.revision,
            link_messages.encode_members(
                [entries[name] for name in sorted(changed & entries.keys())]
            ),
            since=position.revision,
            removed=tuple(sorted(changed - entries.keys())),
            era=self.position.era,
        )
