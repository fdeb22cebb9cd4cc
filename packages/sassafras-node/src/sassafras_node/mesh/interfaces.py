"""What a platform's adapter provides to the node.

An adapter translates names and formats. It takes no decision.
"""

import dataclasses
from typing import Protocol

from sassafras_policy.calls import messages
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import configuration
from sassafras_policy.mesh import targets
from sassafras_wire.http import client


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One key of the store.

    Attributes:
      key: Its name.
      value: Its bytes; None for a key that was removed.
      revision: Revision of the store at its last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Keys of the store, and the store's revision when it answered."""

    items: tuple[Item, ...]
    revision: int


class HistoryLostError(Exception):
    """The store no longer has the changes since a revision."""


class Store(Protocol):
    """Calls to the key-value service.

    All raise `StoreUnavailableError` of `sassafras_wire.store.client` when no
    answer came or the service refused; a write may then have happened.
    """

    async def get(self, key: str) -> Listing:
        """Returns the key, or no item, with the store's revision."""
        ...

    async def get_prefix(self, prefix: str) -> Listing:
        """Returns all keys that begin with a prefix."""
        ...

    async def changes(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Returns changes after a revision, waiting for the first one.

        Raises:
          HistoryLostError: The store no longer has these changes.
        """
        ...

    async def swap(
        self, key: str, value: bytes, revision: int, lease: int
    ) -> int:
        """Writes a key whose revision is known; 0 means it must not exist.

        Returns:
          The new revision, or -1 if the key has another revision now. The
          lease has ended if it is 0.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Returns the id of a new lease."""
        ...

    async def keep_lease(self, lease: int) -> bool:
        """Renews a lease; returns False when it has lapsed."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRequest:
    """A request of a caller, with what its fields say.

    Attributes:
      request: The request, without fields that the node itself sets.
      host: Value of the `Host` field, without a port.
      request_id: Id that the caller gave it; empty without one.
      parent_id: Id of the request that a target makes this call for; empty
        if that is not known.
      key: The caller's key; None without one.
      patience_s: How long the caller will wait; None if it does not say.
    """

    request: messages.Request
    host: str
    request_id: str
    parent_id: str
    key: str | None
    patience_s: float | None


class FrontEnd(Protocol):
    """Formats of requests and answers of callers and targets."""

    def read_request(self, request: messages.Request) -> EntryRequest:
        """Decodes a request of a caller."""
        ...

    def answer_form(self, answer: messages.Answer) -> list[tuple[str, str]]:
        """Returns the header fields of an answer to a caller."""
        ...

    def target_request(
        self, call: calls.Call, target_id: str, remaining_s: float
    ) -> messages.Request:
        """Returns the request for a target."""
        ...

    def belongs(self, call: calls.Call, response: client.Response) -> bool:
        """Returns whether a response answers this call."""
        ...

    def read_target_answer(
        self, response: client.Response
    ) -> calls.TargetAnswer:
        """Decodes what a response of a target says of itself."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementCall:
    """A message of the target beside the node.

    Attributes:
      target_id: The target that it is about.
      announcement: What it says; None when the target deregisters.
    """

    target_id: str
    announcement: targets.Announcement | None


class Codecs(Protocol):
    """Formats of the configuration, of announcements and of readiness."""

    @property
    def configuration_key(self) -> str:
        """The key of the store that holds the configuration."""
        ...

    def read_configuration(self, value: bytes) -> configuration.Configuration:
        """Decodes a configuration.

        Raises:
          InvalidInputError: The value is not valid.
        """
        ...

    def read_announcement(
        self, request: messages.Request
    ) -> AnnouncementCall | None:
        """Decodes a message of a target; None for another kind of request.

        Raises:
          InvalidInputError: It names no target that could be used.
        """
        ...

    def acknowledgement(self) -> messages.Answer:
        """Returns the answer to an announcement that was taken."""
        ...

    def is_readiness_check(self, request: messages.Request) -> bool:
        """Returns whether a request asks for readiness."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """One platform's adapter."""

    store: Store
    front_end: FrontEnd
    codecs: Codecs
