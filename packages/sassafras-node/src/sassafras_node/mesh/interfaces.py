"""What a platform's adapter provides to the node.

An adapter translates names and formats. It takes no decision.
"""

import dataclasses
import math
from typing import Protocol

from sassafras_policy.calls import messages
from sassafras_policy.mesh import calls
from sassafras_policy.mesh import configuration
from sassafras_policy.mesh import eras
from sassafras_policy.mesh import targets
from sassafras_wire.http import client


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One key of the store.

    Attributes:
      key: Its name.
      value: Its bytes; None for a key that was removed.
      revision: Revision of the store at its last change.
      lease: Lease that the key is bound to; 0 for none.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Keys of the store, and the store's position when they were read."""

    items: tuple[Item, ...]
    position: eras.Position

    def position_of(self, item: Item) -> eras.Position:
        """Returns the position of the last change of an item."""
        return eras.Position(self.position.era, item.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """The response to a compare-and-swap.

    Attributes:
      revision: The new revision, -1 if the key is at another revision, or 0 if
        the lease has ended.
      era: Era of the store.
    """

    revision: int
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease. Its number may be given out again in a later era.

    Attributes:
      number: Id of the lease; 0 if it has ended.
      era: Era of the store.
      length_s: Time that a new lease lasts, from the arrival of the call.
    """

    number: int
    era: int
    length_s: float = math.inf


class HistoryLostError(Exception):
    """The store no longer has the changes since a position."""


class Store(Protocol):
    """Calls to the key-value service.

    All raise `StoreUnavailableError` of `sassafras_wire.store.client` if the
    service does not respond or refuses; a write may then have taken effect.
    """

    async def get(self, key: str) -> Listing:
        """Returns the key, or no item, with the store's position."""
        ...

    async def get_prefix(self, prefix: str) -> Listing:
        """Returns all keys that begin with a prefix."""
        ...

    async def changes(
        self, prefix: str, after: eras.Position, wait_s: float
    ) -> Listing:
        """Returns changes after a position, waiting for the first one.

        Raises:
          HistoryLostError: The store no longer has these changes, or is in
            another era.
        """
        ...

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease: int,
        kept: tuple[tuple[str, bytes], ...] = (),
    ) -> WriteResult:
        """Writes a key if it is at a revision; 0 means it must not exist.

        Args:
          key: The key.
          value: Its new value.
          revision: The revision that it must be at.
          lease: The lease that it is bound to.
          kept: Keys and values that are written with it, without a lease.
        """
        ...

    async def remove_without(self, key: str, other: str) -> bool:
        """Removes a key unless another one exists; returns whether it did."""
        ...

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Returns a new lease."""
        ...

    async def renew_lease(self, lease: int) -> Lease:
        """Renews a lease, and returns whether it has ended."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        ...


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request of a caller, with the values of its header fields.

    Attributes:
      request: The request, without fields that the node itself sets.
      host: Value of the `Host` field, without a port.
      request_id: Id that the caller gave it; empty without one.
      parent_id: Id of the request that a target runs when it makes this call;
        empty if unknown.
      key: The caller's key; None without one.
      caller_timeout_s: The timeout of the caller; None without one.
    """

    request: messages.Request
    host: str
    request_id: str
    parent_id: str
    key: str | None
    caller_timeout_s: float | None


class FrontEnd(Protocol):
    """Formats of the requests and responses of callers and targets."""

    def read_request(self, request: messages.Request) -> CallerRequest:
        """Decodes a request of a caller."""
        ...

    def response_headers(
        self, response: messages.CallResponse
    ) -> list[tuple[str, str]]:
        """Returns the header fields of a response to a caller."""
        ...

    def target_request(
        self, call: calls.Call, target_id: str, remaining_s: float
    ) -> messages.Request:
        """Returns the request for a target."""
        ...

    def match_response(
        self, call: calls.Call, response: client.Response
    ) -> client.Match:
        """Returns whether a response answers this call."""
        ...

    def read_target_response(
        self, response: client.Response
    ) -> calls.TargetResponse:
        """Decodes whether a target ran the call and the response is its own."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class TargetMessage:
    """A message of the local target.

    Attributes:
      target_id: The target that it is about.
      announcement: The target's state; None when the target deregisters.
    """

    target_id: str
    announcement: targets.Announcement | None


class Codecs(Protocol):
    """Formats of the operator's keys, of announcements and of readiness."""

    @property
    def configuration_key(self) -> str:
        """The key of the store that holds the configuration."""
        ...

    @property
    def operator_prefix(self) -> str:
        """Common prefix of all keys that the operator writes."""
        ...

    def evacuated_zone(self, key: str) -> str | None:
        """Returns the zone that a key evacuates; None for another key."""
        ...

    def check_evacuation(self, key: str, value: bytes) -> None:
        """Checks the value of a key that evacuates a zone.

        Raises:
          InvalidInputError: The value is not valid.
        """
        ...

    def read_configuration(self, value: bytes) -> configuration.Configuration:
        """Decodes a configuration.

        Raises:
          InvalidInputError: The value is not valid.
        """
        ...

    def read_announcement(
        self, request: messages.Request
    ) -> TargetMessage | None:
        """Decodes a message of a target; None for another kind of request.

        Raises:
          InvalidInputError: It names no usable target.
        """
        ...

    def acknowledgement(self) -> messages.CallResponse:
        """Returns the response to an accepted announcement."""
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
