"""Earlier contents of the configuration, kept in the store.

A content is archived before it is replaced, so that a crash leaves no gap.
"""

from sassafras_base import errors
from sassafras_node import runtime as runtimes
from sassafras_node.store import keys
from sassafras_node.store import numbered_keys
from sassafras_policy.configuration import document as documents
from sassafras_wire.configuration import models as configuration_models
from sassafras_wire.store import client as store_client

# 20 MB in the store with documents of the maximum size of 1 MB.
MAX_CONTENTS = 20

# Errors that reading a content may raise.
READ_ERRORS = (
    store_client.StoreUnavailableError,
    store_client.StoreRefusedError,
    errors.InvalidInputError,
)


async def archive(
    runtime: runtimes.Runtime, document: documents.Document
) -> None:
    """Archives a content that is about to be replaced.

    A stored content is not overwritten: a revision has only one content, so a
    write whose response was lost can be repeated.

    Raises:
      StoreUnavailableError: No response.
      StoreRefusedError: The store responded with an error.
    """
    content = configuration_models.encode(document)
    await numbered_keys.put_new(
        runtime.store, keys.HISTORY, document.revision, content
    )
    numbers = await numbered_keys.list_numbers(runtime.store, keys.HISTORY)
    await numbered_keys.trim(runtime.store, keys.HISTORY, numbers, MAX_CONTENTS)


async def read(
    runtime: runtimes.Runtime, revision: int
) -> documents.Document | None:
    """Returns the content of a revision, or None if it is not stored.

    Raises:
      StoreUnavailableError: No response.
      StoreRefusedError: The store responded with an error.
      InvalidInputError: The stored content is not a valid document.
    """
    newest = await read_newest(runtime)
    if newest is not None and newest.revision == revision:
        return newest
    found = await runtime.store.get(f"{keys.HISTORY}{revision}")
    if found is None:
        return None
    return configuration_models.decode(found.value, "store")


async def read_newest(runtime: runtimes.Runtime) -> documents.Document | None:
    """Returns the current content in the store; see `read`."""
    found = await runtime.store.get(keys.CONFIGURATION)
    if found is None:
        return None
    return configuration_models.decode(found.value, "store")


async def read_all(runtime: runtimes.Runtime) -> list[documents.Document]:
    """Returns all contents in the store, the newest first; see `read`.

    They are read one by one, as together they may exceed one response.
    """
    contents: list[documents.Document] = []
    newest = await read_newest(runtime)
    if newest is not None:
        contents.append(newest)
    numbers = await numbered_keys.list_numbers(runtime.store, keys.HISTORY)
    for number in reversed(numbers):
        found = await runtime.store.get(f"{keys.HISTORY}{number}")
        if found is None or (newest and number == newest.revision):
            continue
        contents.append(configuration_models.decode(found.value, "store"))
    return contents
