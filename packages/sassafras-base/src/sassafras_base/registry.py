"""A registry of named implementations, filled by decorators."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class DuplicateNameError(Exception):
    """Two implementations have the same name."""


class UnknownNameError(LookupError):
    """No implementation is registered under the requested name."""


class Registry(Generic[T]):
    """Maps names to implementations of one kind.

    Attributes:
      kind: Singular noun for an entry, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    @property
    def names(self) -> list[str]:
        """The registered names in alphabetical order."""
        return sorted(self._entries)

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its argument under `name`.

        Raises:
          DuplicateNameError: The name is taken. Decorators run at import, so
            a duplicate never reaches a running node.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise DuplicateNameError(
                    f"{self.kind} {name!r} is registered twice; rename one"
                )
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Returns the entry registered as `name`.

        Raises:
          UnknownNameError: Nothing is registered under the name. The message
            lists the known names.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(self.names) or "none"
            raise UnknownNameError(
                f"no {self.kind} is called {name!r}; known: {known}"
            ) from None

    def items(self) -> Iterator[tuple[str, T]]:
        """Yields names and entries in alphabetical order."""
        for name in self.names:
            yield name, self._entries[name]

    def __contains__(self, name: str) -> bool:
        return name in self._entries
