"""The membership table of one node."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from sassafras_policy.membership import records

Listener = Callable[[records.NodeRecord], None]

_DEAD_OR_LEFT = (records.Status.DEAD, records.Status.LEFT)


class MembershipTable:
    """The records of all known nodes, merged by precedence.

    Attributes:
      own_id: Id of the node that owns the table.
      sequence: Number of the last change; rises by one with each.
      urgent_sequence: Number of the last change to send at once. A change of
        only the configuration revision waits for the next heartbeat: it is
        information for operators, and each new configuration changes the
        records of all nodes.
      ring_version: Rises whenever a node is added to or removed from `peers`.
    """

    def __init__(self, own: records.NodeRecord) -> None:
        self.own_id = own.node_id
        self.sequence = 1
        self.urgent_sequence = 1
        self.ring_version = 0
        self._records = {own.node_id: own}
        # An index, because every call looks up the targets of a service.
        self._by_service = {own.service: {own.node_id: own}}
        # Ordered by the number of the last change of each record.
        self._changed_at = {own.node_id: 1}
        self._disputed: dict[str, records.NodeRecord] = {}
        self._forgotten: dict[str, records.NodeRecord] = {}
        self._listeners: list[Listener] = []

    @property
    def own(self) -> records.NodeRecord:
        """The record of the node that owns the table."""
        return self._records[self.own_id]

    @property
    def all(self) -> list[records.NodeRecord]:
        """All records, including those of dead nodes."""
        return list(self._records.values())

    @property
    def peers(self) -> list[records.NodeRecord]:
        """The other nodes that are neither dead nor left."""
        return [
            record
            for record in self._records.values()
            if record.node_id != self.own_id
            and record.status <= records.Status.SUSPECT
        ]

    @property
    def disputed(self) -> dict[str, records.NodeRecord]:
        """Nodes that a peer reported dead and that may still refute it."""
        return dict(self._disputed)

    @property
    def forgotten(self) -> list[str]:
        """Nodes whose records were removed and that are remembered as gone."""
        return list(self._forgotten)

    def get(self, node_id: str) -> records.NodeRecord | None:
        """Returns the record of a node, or None."""
        return self._records.get(node_id)

    def serving(self, service: str) -> list[records.NodeRecord]:
        """Returns the nodes whose targets of the service take calls."""
        return [
            record
            for record in self._by_service.get(service, {}).values()
            if record.takes_calls
        ]

    def changes_since(
        self, sequence: int, limit: int
    ) -> tuple[list[records.NodeRecord], int]:
        """Returns the records that changed after a number, oldest first.

        Args:
          sequence: Number of the last change already received.
          limit: Maximum number of records.

        Returns:
          The records, and the number of the last change among them.
        """
        newer: list[tuple[str, int]] = []
        for node_id, changed_at in reversed(self._changed_at.items()):
            if changed_at <= sequence:
                break
            newer.append((node_id, changed_at))
        newer.reverse()
        batch = newer[:limit]
        last_sequence = batch[-1][1] if batch else self.sequence
        return [self._records[node_id] for node_id, _ in batch], last_sequence

    def subscribe(self, listener: Listener) -> None:
        """Registers a listener that is called with each changed record."""
        self._listeners.append(listener)

    def update_own(self, **changes: object) -> records.NodeRecord:
        """Changes the node's own record and raises its version."""
        own = dataclasses.replace(
            self.own,
            version=self.own.version + 1,
            **changes,  # type: ignore[arg-type]
        )
        self._store(own)
        return own

    def merge(
        self, changes: Iterable[records.NodeRecord]
    ) -> list[records.NodeRecord]:
        """Applies newer records from a peer.

        A claim that this node itself is suspect, dead or of another
        incarnation is refuted with a higher version. A claim that a node seen
        alive is dead only makes it suspect: after a network partition each
        side reports the other dead, and no target may be removed before its
        node had the chance to refute. Unknown nodes that are dead or have left
        are ignored.

        Returns:
          The records that changed, to be forwarded to other peers.
        """
        applied: list[records.NodeRecord] = []
        for change in changes:
            if change.node_id == self.own_id:
                stored = self._refute(change)
            elif change.node_id in self._forgotten:
                stored = self._merge_forgotten(change)
            else:
                stored = self._merge_peer(change)
            if stored is not None:
                applied.append(stored)
        return applied

    def mark(self, node_id: str, status: records.Status) -> bool:
        """Raises the status of a peer; returns whether that changed it."""
        known = self._records.get(node_id)
        if known is None or known.status >= status:
            return False
        self._store(dataclasses.replace(known, status=status))
        return True

    def forget(self, node_id: str) -> None:
        """Removes the record of a node that has been gone for a long time.

        The table remembers that the node is gone, so that an outdated record
        from a peer does not restore it.
        """
        record = self._records.get(node_id)
        if node_id == self.own_id or record is None:
            return
        del self._records[node_id]
        self._remove_from_service(record)
        del self._changed_at[node_id]
        self._disputed.pop(node_id, None)
        self._forgotten[node_id] = record

    def purge(self, node_id: str) -> None:
        """Drops what the table remembers of a forgotten node."""
        self._forgotten.pop(node_id, None)

    def _merge_peer(
        self, change: records.NodeRecord
    ) -> records.NodeRecord | None:
        known = self._records.get(change.node_id)
        if known is None:
            return (
                None if change.status in _DEAD_OR_LEFT else self._store(change)
            )
        if change.precedence <= known.precedence:
            return None
        if (
            change.status is records.Status.DEAD
            and known.status is records.Status.ALIVE
        ):
            disputed = dataclasses.replace(
                change, status=records.Status.SUSPECT
            )
            self._store(disputed)
            self._disputed[change.node_id] = disputed
            return disputed
        return self._store(change)

    def _merge_forgotten(
        self, change: records.NodeRecord
    ) -> records.NodeRecord | None:
        forgotten = self._forgotten[change.node_id]
        if change.precedence > forgotten.precedence:
            if change.status in _DEAD_OR_LEFT:
                return None
            del self._forgotten[change.node_id]
            return self._store(change)
        if change.status in _DEAD_OR_LEFT:
            return None
        # The peer still considers the node alive. Storing the record sends it
        # to the peer and, if the node is alive, to the node, which refutes it.
        del self._forgotten[change.node_id]
        return self._store(forgotten)

    def _refute(self, claim: records.NodeRecord) -> records.NodeRecord | None:
        own = self.own
        if claim.precedence <= own.precedence:
            return None
        return self._store(
            dataclasses.replace(
                own,
                incarnation=max(own.incarnation, claim.incarnation),
                version=max(own.version, claim.version) + 1,
            )
        )

    def _store(self, record: records.NodeRecord) -> records.NodeRecord:
        known = self._records.get(record.node_id)
        if known is None or (known.status in _DEAD_OR_LEFT) != (
            record.status in _DEAD_OR_LEFT
        ):
            self.ring_version += 1
        self.sequence += 1
        if known is None or not _differs_only_in_revision(known, record):
            self.urgent_sequence = self.sequence
        self._records[record.node_id] = record
        if known is not None and known.service != record.service:
            self._remove_from_service(known)
        service = self._by_service.setdefault(record.service, {})
        service[record.node_id] = record
        self._changed_at.pop(record.node_id, None)
        self._changed_at[record.node_id] = self.sequence
        self._disputed.pop(record.node_id, None)
        for listener in self._listeners:
            listener(record)
        return record

    def _remove_from_service(self, record: records.NodeRecord) -> None:
        service = self._by_service[record.service]
        del service[record.node_id]
        if not service:
            del self._by_service[record.service]


def _differs_only_in_revision(
    known: records.NodeRecord, record: records.NodeRecord
) -> bool:
    return record == dataclasses.replace(
        known, version=record.version, config_revision=record.config_revision
    )
