"""Which membership changes each control link still has to send."""

import weakref

from sassafras_policy.membership import table as tables
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

_MAXIMUM_CHANGES = 200


class Outbox:
    """Remembers what was sent on each link, so that changes go out once."""

    def __init__(self, table: tables.Table) -> None:
        self._table = table
        self._sent: weakref.WeakKeyDictionary[
            links.Link, dict[str, tuple[int, int, int]]
        ] = weakref.WeakKeyDictionary()

    def take(self, link: links.Link) -> list[models.NodeRecordModel]:
        """Returns the records that changed since the last message."""
        sent = self._sent.setdefault(link, {})
        changes: list[models.NodeRecordModel] = []
        for record in self._table.all:
            if sent.get(record.node_id) == record.precedence:
                continue
            sent[record.node_id] = record.precedence
            changes.append(converters.record_to_model(record))
            if len(changes) == _MAXIMUM_CHANGES:
                break
        return changes
