"""The roster in force at one node."""

from collections.abc import Callable

from sassafras_policy.membership import roster as rosters

Listener = Callable[[rosters.Roster], None]


class RosterHolder:
    """Keeps the newest roster epoch that the node has seen, and the one before.

    Attributes:
      previous: The epoch that the current one replaced.
    """

    def __init__(self) -> None:
        self.previous = rosters.Roster()
        self._current = rosters.Roster()
        self._listeners: list[Listener] = []

    @property
    def current(self) -> rosters.Roster:
        """The newest epoch seen."""
        return self._current

    def subscribe(self, listener: Listener) -> None:
        """Calls the listener with each later epoch."""
        self._listeners.append(listener)

    def offer(self, roster: rosters.Roster) -> bool:
        """Takes over a roster with a higher epoch; returns whether it did."""
        if roster.epoch <= self._current.epoch:
            return False
        self.previous, self._current = self._current, roster
        for listener in self._listeners:
            listener(roster)
        return True
