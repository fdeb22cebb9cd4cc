"""Idempotency records that a node keeps while their home node restarts."""

from collections.abc import Iterable
import dataclasses

from sassafras_policy.idempotency import records

# All records of a home have expired when it returns after this time.
_LIFETIME_S = records.LIFETIME_S
_MAX_OWNERS = 4
CHUNK_BYTES = 256 * 1024
CHUNK_RECORDS = 500

Entry = tuple[str, records.Record]


@dataclasses.dataclass(slots=True)
class _Deposit:
    """Records of one home.

    Attributes:
      entries: Keys and records in order of expiry.
      is_complete: Whether the home has sent the last of them.
      is_being_taken: Whether the home has begun to take them back.
      expires_at: When the deposit is dropped.
    """

    entries: list[Entry]
    is_complete: bool
    is_being_taken: bool
    expires_at: float


class RecordDeposits:
    """Deposits of records, each returned at most once and only in full.

    A home that failed after taking back a part must not treat the rest as the
    complete set: it would run a key again whose record was in the lost part.
    """

    def __init__(self) -> None:
        self._deposits: dict[str, _Deposit] = {}

    def receive(
        self, owner: str, entries: Iterable[Entry], is_last: bool, now: float
    ) -> bool:
        """Stores a chunk of records; returns False when it cannot."""
        self._expire(now)
        deposit = self._deposits.get(owner)
        if deposit is None or deposit.is_complete:
            if deposit is None and len(self._deposits) >= _MAX_OWNERS:
                return False
            deposit = _Deposit([], False, False, now + _LIFETIME_S)
            self._deposits[owner] = deposit
        deposit.entries.extend(entries)
        deposit.is_complete = is_last
        return True

    def take(
        self, owner: str, is_first: bool, now: float
    ) -> tuple[list[Entry], bool] | None:
        """Returns the next chunk and whether it is the last, or None."""
        self._expire(now)
        deposit = self._deposits.get(owner)
        if (
            deposit is None
            or not deposit.is_complete
            or deposit.is_being_taken == is_first
        ):
            self._deposits.pop(owner, None)
            return None
        deposit.is_being_taken = True
        chunk = next(iter(chunks(deposit.entries)), [])
        del deposit.entries[: len(chunk)]
        is_last = not deposit.entries
        if is_last:
            del self._deposits[owner]
        return chunk, is_last

    def _expire(self, now: float) -> None:
        for owner, deposit in list(self._deposits.items()):
            if deposit.expires_at <= now:
                del self._deposits[owner]


def chunks(entries: list[Entry]) -> Iterable[list[Entry]]:
    """Yields chunks of at most 500 records and about 256 KiB of bodies."""
    chunk: list[Entry] = []
    size = 0
    for entry in entries:
        response = entry[1].answer
        added = len(response.body) if response is not None else 0
        if chunk and (
            size + added > CHUNK_BYTES or len(chunk) >= CHUNK_RECORDS
        ):
            yield chunk
            chunk, size = [], 0
        chunk.append(entry)
        size += added
    if chunk:
        yield chunk
