"""Writes configuration documents to the store by compare-and-swap."""

import dataclasses
import secrets
from typing import TypeAlias

import pydantic
import result
import trio

from sassafras_base import errors
from sassafras_policy.configuration import document as documents
from sassafras_wire.configuration import models as configuration_models
from sassafras_wire.store import client as store_client
from sassafras_wire.store import models

# The platform's service accepts values of up to 1 MB.
MAXIMUM_DOCUMENT_BYTES = 1_000_000

_WRITE_ID_BYTES = 16
_RETRY_INTERVAL_S = 0.5
_STEP = "configuration.write"

_STORE_ERRORS = (
    store_client.StoreUnavailableError,
    store_client.StoreRefusedError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The document is stored.

    Attributes:
      document: The document as stored, with its revision and write id.
    """

    document: documents.Document

    @property
    def revision(self) -> int:
        """The revision that the document got."""
        return self.document.revision


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another revision than the expected one is stored; nothing was written.

    Attributes:
      document: The stored document; None when the store holds none.
    """

    document: documents.Document | None


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """The store could not be used; the document was certainly not written."""

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The document is not valid; nothing was written."""

    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The document may or may not have been written.

    Attributes:
      revision: The revision that it has if it was written.
      write_id: Its write id, to be compared with the stored document's.
      problem: Why the outcome could not be found out.
    """

    revision: int
    write_id: str
    problem: str


Failure: TypeAlias = Conflict | NotStored | Invalid | Unknown
WriteResult: TypeAlias = result.Result[Written, Failure]


class ConfigurationWriter:
    """Writes the document under one key of the store.

    A write whose answer is lost is resolved by reading back: the write is
    repeated with the same compare-and-swap, which at most one of the tries can
    pass, and the write id tells whose document took the revision.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        key: str,
        resolve_timeout_s: float = 20.0,
    ) -> None:
        """Creates a writer.

        Args:
          store: Client of the store.
          key: Key of the document.
          resolve_timeout_s: How long a lost answer is followed up before the
            outcome is reported as unknown.
        """
        self._store = store
        self._key = key
        self._resolve_timeout_s = resolve_timeout_s

    async def write(
        self, document: documents.Document, expected_revision: int
    ) -> WriteResult:
        """Stores a document as the revision after `expected_revision`.

        Args:
          document: The document; its revision and write id are replaced.
          expected_revision: Revision that the change was made from; 0 when
            there should be no document yet.
        """
        new = dataclasses.replace(
            document,
            revision=expected_revision + 1,
            write_id=secrets.token_hex(_WRITE_ID_BYTES),
        )
        try:
            content = _encode(new)
        except errors.InvalidInputError as error:
            return result.Err(Invalid(tuple(error.faults)))
        try:
            found = await self._store.get(self._key)
            current = _decode(found)
        except (*_STORE_ERRORS, errors.InvalidInputError) as error:
            return result.Err(NotStored(str(error)))
        if (current.revision if current else 0) != expected_revision:
            return result.Err(Conflict(current))
        mod_revision = found.mod_revision if found else 0
        try:
            stored = await self._store.put_if(self._key, content, mod_revision)
        except (
            store_client.StoreUnreachableError,
            store_client.StoreRefusedError,
        ) as error:
            return result.Err(NotStored(str(error)))
        except store_client.StoreUnavailableError as error:
            return await self._resolve(new, content, mod_revision, str(error))
        if stored:
            return result.Ok(Written(new))
        return await self._conflict()

    async def _resolve(
        self,
        new: documents.Document,
        content: bytes,
        mod_revision: int,
        problem: str,
    ) -> WriteResult:
        """Finds out what became of a write whose answer was lost."""
        with trio.move_on_after(self._resolve_timeout_s):
            while True:
                await trio.sleep(_RETRY_INTERVAL_S)
                try:
                    # A first try that is only delayed fails once this one
                    # has passed, as both name the same earlier revision.
                    if await self._store.put_if(
                        self._key, content, mod_revision
                    ):
                        return result.Ok(Written(new))
                    winner = await self._first_after(mod_revision)
                    if winner is None:
                        problem = "the store has dropped its history"
                        break
                    if winner.write_id == new.write_id:
                        return result.Ok(Written(new))
                    return await self._conflict()
                except store_client.StoreUnavailableError as error:
                    problem = str(error)
                except (
                    store_client.StoreRefusedError,
                    errors.InvalidInputError,
                ) as error:
                    problem = str(error)
                    break
        return result.Err(Unknown(new.revision, new.write_id, problem))

    async def _first_after(
        self, mod_revision: int
    ) -> documents.Document | None:
        """Returns the document that followed a revision of the key.

        Later ones may have replaced it already, so it is taken from the
        store's history; None when that does not reach back so far.
        """
        found = await self._store.get(self._key)
        current = _decode(found)
        if found is None or current is None:
            return None
        async with self._store.watch(self._key, mod_revision + 1) as results:
            async for changes in results:
                if changes.canceled:
                    return None
                for event in changes.events:
                    if event.type == "PUT":
                        return _decode(event.kv)
        return None

    async def _conflict(self) -> WriteResult:
        """Reads the document that was stored in place of this writer's."""
        try:
            return result.Err(
                Conflict(_decode(await self._store.get(self._key)))
            )
        except (*_STORE_ERRORS, errors.InvalidInputError) as error:
            return result.Err(
                NotStored(f"another change was first; then: {error}")
            )


def _encode(document: documents.Document) -> bytes:
    try:
        content = configuration_models.encode(document)
    except pydantic.ValidationError as error:
        faults = [
            ".".join(str(part) for part in fault["loc"]) + ": " + fault["msg"]
            for fault in error.errors(include_input=False)
        ]
        raise errors.InvalidInputError(_STEP, "local", faults) from None
    if len(content) > MAXIMUM_DOCUMENT_BYTES:
        fault = (
            f"the document has {len(content)} bytes; at most"
            f" {MAXIMUM_DOCUMENT_BYTES} are allowed"
        )
        raise errors.InvalidInputError(_STEP, "local", [fault])
    return content


def _decode(found: models.KeyValue | None) -> documents.Document | None:
    if found is None:
        return None
    return configuration_models.decode(found.value, "store")
