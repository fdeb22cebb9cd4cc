"""Bounded sets of numbered keys in the store."""

import contextlib

import trio

from sassafras_wire.store import client as store_client

_ATTEMPTS = 3
_RETRY_INTERVAL_S = 0.2
# Bounds the work of one change when many keys exceed the limit.
_MAX_DELETIONS = 10


async def list_numbers(
    store: store_client.StoreClient, prefix: str
) -> list[int]:
    """Returns the numbers in use below a prefix, in ascending order."""
    names = await store.list_keys(prefix)
    numbers = [name.removeprefix(prefix) for name in names]
    return sorted(int(number) for number in numbers if number.isdigit())


async def put_new(
    store: store_client.StoreClient, prefix: str, number: int, value: bytes
) -> bool:
    """Writes a number that is not in use; returns whether it was free.

    A lost response is resolved by reading the key back.

    Raises:
      StoreUnavailableError: No response to any attempt.
      StoreRefusedError: The store responded with an error.
    """
    key = f"{prefix}{number}"
    for attempt in range(_ATTEMPTS):
        try:
            if await store.put_if(key, value, 0):
                return True
            found = await store.get(key)
            return found is not None and found.value == value
        except store_client.StoreUnavailableError:
            if attempt == _ATTEMPTS - 1:
                raise
        await trio.sleep(_RETRY_INTERVAL_S)
        found = await store.get(key)
        if found is not None:
            return found.value == value
    return False


async def trim(
    store: store_client.StoreClient,
    prefix: str,
    numbers: list[int],
    limit: int,
) -> None:
    """Deletes the lowest numbers, keeping at least the `limit` highest.

    A failure is ignored: the next change trims again.
    """
    with contextlib.suppress(
        store_client.StoreUnavailableError, store_client.StoreRefusedError
    ):
        for number in numbers[:-limit][:_MAX_DELETIONS]:
            await store.delete(f"{prefix}{number}")
