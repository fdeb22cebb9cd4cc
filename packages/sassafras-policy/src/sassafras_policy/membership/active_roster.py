"""The current roster of one node."""

from collections.abc import Callable
from collections.abc import Iterable

from sassafras_policy.membership import records
from sassafras_policy.membership import roster as rosters

Listener = Callable[[rosters.Roster], None]


class ActiveRoster:
    """Keeps the newest roster epoch seen by the node, and the previous one.

    Attributes:
      previous: The epoch that the current one replaced.
    """

    def __init__(self) -> None:
        self.previous = rosters.Roster()
        self._current = rosters.Roster()
        self._settled_epoch = 0
        self._listeners: list[Listener] = []

    @property
    def current(self) -> rosters.Roster:
        """The newest epoch seen."""
        return self._current

    def subscribe(self, listener: Listener) -> None:
        """Registers a listener that is called with each later epoch."""
        self._listeners.append(listener)

    def is_settled(self, known: Iterable[records.NodeRecord]) -> bool:
        """Returns whether every member has applied the current epoch.

        A settled epoch stays settled: a member that restarts begins with this
        epoch or a later one.
        """
        epoch = self._current.epoch
        if epoch and epoch != self._settled_epoch:
            reported = rosters.reported_epochs(known)
            if self._current.is_settled(reported):
                self._settled_epoch = epoch
        return epoch > 0 and epoch == self._settled_epoch

    def offer(self, roster: rosters.Roster) -> bool:
        """Applies a roster with a higher epoch; returns whether it did."""
        if roster.epoch <= self._current.epoch:
            return False
        self.previous, self._current = self._current, roster
        for listener in self._listeners:
            listener(roster)
        return True
