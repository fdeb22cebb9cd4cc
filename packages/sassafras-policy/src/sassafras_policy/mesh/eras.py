"""Eras of the store, which end when it comes back from an older copy.

What the store acknowledged after the copy was made is gone then, and it gives
out the revisions since once more. Positions order revisions by their era, and
`StoreEra` tells for how long the content of a new era may be incomplete.
"""

import dataclasses
import math

# Time after which every writer has written again what an older copy lacks. The
# platform states no bound. A writer that calls the store each second, as
# operators and nodes do, notices the return within one second and has another
# one for the write.
REWRITE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A revision of the store, which only its era makes unique.

    A position of a newer era is after every position of an older one.

    Attributes:
      era: Era of the store; 0 if it names none.
      revision: Revision of the store within the era.
    """

    era: int = 0
    revision: int = 0


class StoreEra:
    """The newest era of the store that a node knows of.

    All times are seconds on one clock that includes time spent suspended.

    Attributes:
      era: The era. In era 0 the store has never come back from a copy.
    """

    def __init__(self) -> None:
        self.era = 0
        self._is_known = False
        self._seen_at = -math.inf
        self._first_revision: int | None = None

    def record(self, era: int, revision: int | None, now: float) -> bool:
        """Records the era of a response or of another node's message.

        Args:
          era: The era.
          revision: Revision of the store in that response; None if unknown.
          now: The current time.

        Returns:
          Whether the store has come back from a copy since the last call.
        """
        if era < self.era:
            return False
        has_returned = era > self.era and self._is_known
        if era > self.era:
            self.era = era
            self._seen_at = now
            self._first_revision = None
        self._is_known = True
        if self._first_revision is None:
            self._first_revision = revision
        return has_returned

    def is_complete(self, now: float) -> bool:
        """Returns whether writers had time to write again what is missing."""
        return self.era == 0 or now - self._seen_at >= REWRITE_S

    def may_hold_removed(self, now: float, lease_s: float) -> bool:
        """Returns whether the store may still hold keys that were removed.

        A copy brings back the keys of nodes that have ended since. Nobody
        renews their leases.

        Args:
          now: The current time.
          lease_s: Time that the leases of nodes last.
        """
        return self.era > 0 and now - self._seen_at < REWRITE_S + lease_s

    def is_written_since(self, position: Position) -> bool:
        """Returns whether a key was certainly written in this era.

        Args:
          position: Position of the key's last change.
        """
        return (
            position.era == self.era
            and self._first_revision is not None
            and position.revision > self._first_revision
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The configuration that the store had in one response.

    Attributes:
      read_at: Position of the store in that response.
      written_at: Position of the last change of the configuration's key.
      version: The version; 0 if the store had none.
    """

    read_at: Position
    written_at: Position
    version: int

    def proves_newest(
        self, active_version: int, store_era: StoreEra, requested_at: float
    ) -> bool:
        """Returns whether no configuration newer than the active one exists.

        A copy may lack the newest versions. The store proves nothing while it
        has an older version than the active one, as the operator may have
        written several that it lost. It proves the active one where that was
        written in this era, as the operator writes the newest again, or where
        the operator had time to do so.

        Args:
          active_version: Version of the active configuration.
          store_era: The newest era that the node knows of.
          requested_at: When the response was requested.
        """
        if store_era.era == 0:
            return True
        if self.read_at.era != store_era.era or self.version < active_version:
            return False
        return store_era.is_written_since(
            self.written_at
        ) or store_era.is_complete(requested_at)
