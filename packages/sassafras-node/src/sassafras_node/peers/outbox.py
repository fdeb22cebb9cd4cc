"""Membership changes that are still to be sent on each control link."""

import dataclasses
import weakref

from sassafras_policy.membership import records
from sassafras_policy.membership import table as tables
from sassafras_wire.peer import converters
from sassafras_wire.peer import link as links
from sassafras_wire.peer import models

# A record takes about 200 bytes, so a message stays below 40 KB for any fleet
# size; a new link sends the rest in further messages.
_MAX_CHANGES_PER_MESSAGE = 200


@dataclasses.dataclass(slots=True)
class _LinkState:
    """Progress of one link.

    Attributes:
      sequence: The table's changes up to this number were sent.
      received: Precedence of the records received on the link, by node; these
        are not sent back.
    """

    sequence: int = 0
    received: dict[str, tuple[int, int, int]] = dataclasses.field(
        default_factory=dict
    )


class Outbox:
    """Tracks what was sent on each link, so that each change is sent once."""

    def __init__(self, table: tables.MembershipTable) -> None:
        self._table = table
        self._states: weakref.WeakKeyDictionary[links.Link, _LinkState] = (
            weakref.WeakKeyDictionary()
        )

    def merge(
        self, link: links.Link, changes: list[models.NodeRecordModel]
    ) -> None:
        """Merges the changes that were received on a link."""
        incoming: list[records.NodeRecord] = [
            converters.model_to_record(change) for change in changes
        ]
        state = self._state(link)
        for record in incoming:
            state.received[record.node_id] = record.precedence
        self._table.merge(incoming)

    def take(self, link: links.Link) -> list[models.NodeRecordModel]:
        """Returns the records that changed since the last message."""
        state = self._state(link)
        changes, state.sequence = self._table.changes_since(
            state.sequence, _MAX_CHANGES_PER_MESSAGE
        )
        outgoing = [
            converters.record_to_model(record)
            for record in changes
            if state.received.get(record.node_id) != record.precedence
        ]
        if state.sequence == self._table.sequence:
            state.received.clear()
        return outgoing

    def has_urgent(self, link: links.Link) -> bool:
        """Returns whether unsent changes include urgent ones."""
        sequence = self._state(link).sequence
        return sequence < self._table.urgent_sequence and self.has_more(link)

    def has_more(self, link: links.Link) -> bool:
        """Returns whether there are unsent changes."""
        state = self._state(link)
        while state.sequence < self._table.sequence:
            changes, reached = self._table.changes_since(
                state.sequence, _MAX_CHANGES_PER_MESSAGE
            )
            for record in changes:
                if state.received.get(record.node_id) != record.precedence:
                    return True
            state.sequence = reached
        return False

    def _state(self, link: links.Link) -> _LinkState:
        return self._states.setdefault(link, _LinkState())
