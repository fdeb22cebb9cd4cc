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
MAX_DOCUMENT_BYTES = 1_000_000

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
    """The stored revision is not the expected one; nothing was written.

    Attributes:
      document: The stored document; None when the store holds none.
    """

    document: documents.Document | None


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """The store failed; the document was certainly not written."""

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The document is not valid; nothing was written."""

    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The document may or may not have been written.

    Attributes:
      revision: The document's revision, if it was written.
      write_id: Its write id, for comparison with the stored document.
      problem: Why the outcome could not be determined.
    """

    revision: int
    write_id: str
    problem: str


Failure: TypeAlias = Conflict | NotStored | Invalid | Unknown
WriteResult: TypeAlias = result.Result[Written, Failure]


class ConfigurationWriter:
    """Writes the document under one key of the store.

    A write whose response is lost is resolved as follows: the same
    compare-and-swap is repeated, of which at most one attempt can succeed; if
    it fails, the write id of the stored revision shows which writer stored it.
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
          resolve_timeout_s: How long to resolve a write whose response was
            lost before its outcome is reported as unknown.
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
          expected_revision: Revision that the change is based on; 0 when no
            document must exist yet.
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
        """Determines the outcome of a write whose response was lost."""
        with trio.move_on_after(self._resolve_timeout_s):
            while True:
                await trio.sleep(_RETRY_INTERVAL_S)
                try:
                    # If the first attempt is only delayed, it fails once this
                    # one succeeds, as both expect the same revision.
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

        It may have been replaced since, so it is read from the store's
        history; None when the history no longer contains it.
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
        """Returns a conflict with the stored document."""
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
    if len(content) > MAX_DOCUMENT_BYTES:
        fault = (
            f"the document has {len(content)} bytes; at most"
            f" {MAX_DOCUMENT_BYTES} are allowed"
        )
        raise errors.InvalidInputError(_STEP, "local", [fault])
    return content


def _decode(found: models.KeyValue | None) -> documents.Document | None:
    if found is None:
        return None
    return configuration_models.decode(found.value, "store")
