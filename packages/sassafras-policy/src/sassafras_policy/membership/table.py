"""The membership table of one node."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from sassafras_policy.membership import records

Listener = Callable[[records.NodeRecord], None]

_GONE = (records.Status.DEAD, records.Status.LEFT)


class Table:
    """All known nodes, merged by precedence.

    Attributes:
      own_id: Id of the node that owns the table.
      sequence: Number of the last change; rises by one with each.
      urgent_sequence: Number of the last change that should travel at once. A
        new configuration revision in a record is for operators to see and
        may wait for the next heartbeat; each change of configuration puts one
        into the record of every node.
      ring_version: Rises whenever a node joins `peers` or drops out of it.
    """

    def __init__(self, own: records.NodeRecord) -> None:
        self.own_id = own.node_id
        self.sequence = 1
        self.urgent_sequence = 1
        self.ring_version = 0
        self._records = {own.node_id: own}
        # Every call looks up the targets of one service.
        self._by_service = {own.service: {own.node_id: own}}
        # Ordered by the number of the last change of each record.
        self._changed_at = {own.node_id: 1}
        self._doubted: dict[str, records.NodeRecord] = {}
        self._forgotten: dict[str, records.NodeRecord] = {}
        self._listeners: list[Listener] = []

    @property
    def own(self) -> records.NodeRecord:
        """The record of the node that owns the table."""
        return self._records[self.own_id]

    @property
    def all(self) -> list[records.NodeRecord]:
        """Every known record, dead ones included."""
        return list(self._records.values())

    @property
    def peers(self) -> list[records.NodeRecord]:
        """The other nodes that are not known to be gone."""
        return [
            record
            for record in self._records.values()
            if record.node_id != self.own_id
            and record.status <= records.Status.SUSPECT
        ]

    @property
    def doubted(self) -> dict[str, records.NodeRecord]:
        """Nodes that a peer called dead and that may still refute it."""
        return dict(self._doubted)

    @property
    def forgotten(self) -> list[str]:
        """Nodes whose records were dropped and are remembered as gone."""
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
          sequence: Number up to which the changes are known already.
          limit: The most records to return.

        Returns:
          The records, and the number up to which they reach.
        """
        newer: list[tuple[str, int]] = []
        for node_id, changed_at in reversed(self._changed_at.items()):
            if changed_at <= sequence:
                break
            newer.append((node_id, changed_at))
        newer.reverse()
        batch = newer[:limit]
        reached = batch[-1][1] if batch else self.sequence
        return [self._records[node_id] for node_id, _ in batch], reached

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener with each record that changes."""
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
        """Takes over newer records from a peer.

        A claim that this node itself is suspect, dead or from another
        incarnation is refuted with a higher version. A claim that a node seen
        alive is dead makes it suspect only: when two halves of a cut fleet
        meet, each calls the other dead, and no target may drop out before its
        node had the chance to refute. A dead node that is not known is not
        worth a record.

        Returns:
          The records that changed, to be passed on to other peers.
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
        """Drops the record of a node that has been gone for long.

        The table remembers that it is gone, so that the record of a peer that
        has not heard of it does not bring it back.
        """
        record = self._records.get(node_id)
        if node_id == self.own_id or record is None:
            return
        del self._records[node_id]
        self._leave_service(record)
        del self._changed_at[node_id]
        self._doubted.pop(node_id, None)
        self._forgotten[node_id] = record

    def purge(self, node_id: str) -> None:
        """Gives up the memory of a forgotten node."""
        self._forgotten.pop(node_id, None)

    def _merge_peer(
        self, change: records.NodeRecord
    ) -> records.NodeRecord | None:
        known = self._records.get(change.node_id)
        if known is None:
            return None if change.status in _GONE else self._store(change)
        if change.precedence <= known.precedence:
            return None
        if (
            change.status is records.Status.DEAD
            and known.status is records.Status.ALIVE
        ):
            doubted = dataclasses.replace(change, status=records.Status.SUSPECT)
            self._store(doubted)
            self._doubted[change.node_id] = doubted
            return doubted
        return self._store(change)

    def _merge_forgotten(
        self, change: records.NodeRecord
    ) -> records.NodeRecord | None:
        forgotten = self._forgotten[change.node_id]
        if change.precedence > forgotten.precedence:
            if change.status in _GONE:
                return None
            del self._forgotten[change.node_id]
            return self._store(change)
        if change.status in _GONE:
            return None
        # The peer believes in a node that is gone. The record goes back to it
        # and, if the node lives after all, reaches the node to be refuted.
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
        if known is None or (known.status in _GONE) != (record.status in _GONE):
            self.ring_version += 1
        self.sequence += 1
        if known is None or not _is_same_but_revision(known, record):
            self.urgent_sequence = self.sequence
        self._records[record.node_id] = record
        if known is not None and known.service != record.service:
            self._leave_service(known)
        service = self._by_service.setdefault(record.service, {})
        service[record.node_id] = record
        self._changed_at.pop(record.node_id, None)
        self._changed_at[record.node_id] = self.sequence
        self._doubted.pop(record.node_id, None)
        for listener in self._listeners:
            listener(record)
        return record

    def _leave_service(self, record: records.NodeRecord) -> None:
        service = self._by_service[record.service]
        del service[record.node_id]
        if not service:
            del self._by_service[record.service]


def _is_same_but_revision(
    known: records.NodeRecord, record: records.NodeRecord
) -> bool:
    return record == dataclasses.replace(
        known, version=record.version, config_revision=record.config_revision
    )
