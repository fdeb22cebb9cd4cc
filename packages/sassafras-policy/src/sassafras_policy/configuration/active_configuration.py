"""The active configuration of one node; its revision only increases."""

from collections.abc import Callable

from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import indexes

Listener = Callable[[indexes.Index], None]


class ActiveConfiguration:
    """Keeps the newest configuration revision that the node has seen."""

    def __init__(self) -> None:
        self._index: indexes.Index | None = None
        self._listeners: list[Listener] = []

    @property
    def index(self) -> indexes.Index | None:
        """Look-up tables of the active revision; None before the first."""
        return self._index

    @property
    def revision(self) -> int:
        """The active revision; 0 before the first."""
        return self._index.document.revision if self._index else 0

    def subscribe(self, listener: Listener) -> None:
        """Registers a listener, called with the index of later revisions."""
        self._listeners.append(listener)

    def offer(self, document: documents.Document) -> bool:
        """Activates a document when its revision is higher.

        Returns:
          Whether the document is now active. An equal or lower revision is
          ignored, so that a stale peer cannot undo an accepted change.
        """
        if document.revision <= self.revision:
            return False
        index = indexes.Index(document)
        self._index = index
        for listener in self._listeners:
            listener(index)
        return True
