"""The membership table of one node."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from sassafras_policy.membership import records

Listener = Callable[[records.NodeRecord], None]


class Table:
    """All known nodes, merged by precedence.

    Attributes:
      own_id: Id of the node that owns the table.
    """

    def __init__(self, own: records.NodeRecord) -> None:
        self.own_id = own.node_id
        self._records = {own.node_id: own}
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

    def get(self, node_id: str) -> records.NodeRecord | None:
        """Returns the record of a node, or None."""
        return self._records.get(node_id)

    def serving(self, service: str) -> list[records.NodeRecord]:
        """Returns the nodes whose targets of the service take calls."""
        return [
            record
            for record in self._records.values()
            if record.service == service and record.takes_calls
        ]

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
        incarnation is refuted with a higher version.

        Returns:
          The records that changed, to be passed on to other peers.
        """
        applied: list[records.NodeRecord] = []
        for change in changes:
            if change.node_id == self.own_id:
                refutation = self._refute(change)
                if refutation is not None:
                    applied.append(refutation)
                continue
            known = self._records.get(change.node_id)
            if known is None or change.precedence > known.precedence:
                self._store(change)
                applied.append(change)
        return applied

    def mark(self, node_id: str, status: records.Status) -> bool:
        """Raises the status of a peer; returns whether that changed it."""
        known = self._records.get(node_id)
        if known is None or known.status >= status:
            return False
        self._store(dataclasses.replace(known, status=status))
        return True

    def forget(self, node_id: str) -> None:
        """Drops a record, for one that has been gone for long."""
        if node_id != self.own_id:
            self._records.pop(node_id, None)

    def _refute(self, claim: records.NodeRecord) -> records.NodeRecord | None:
        own = self.own
        if claim.precedence <= own.precedence:
            return None
        refutation = dataclasses.replace(
            own,
            incarnation=max(own.incarnation, claim.incarnation),
            version=max(own.version, claim.version) + 1,
        )
        self._store(refutation)
        return refutation

    def _store(self, record: records.NodeRecord) -> None:
        self._records[record.node_id] = record
        for listener in self._listeners:
            listener(record)
