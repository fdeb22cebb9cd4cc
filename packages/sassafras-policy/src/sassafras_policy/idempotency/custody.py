"""Records that a node keeps for homes that are being restarted."""

from collections.abc import Iterable
import dataclasses

from sassafras_policy.idempotency import records

# A home that is away longer than this has no record left that is needed.
_LIFETIME_S = records.LIFETIME_S
_MAXIMUM_OWNERS = 4
CHUNK_BYTES = 256 * 1024
CHUNK_RECORDS = 500

Entry = tuple[str, records.Record]


@dataclasses.dataclass(slots=True)
class _Deposit:
    """Records of one home.

    Attributes:
      entries: Keys and records in order of expiry.
      is_whole: Whether the home has sent the last of them.
      is_opened: Whether the home has begun to take them back.
      until: When the deposit is dropped.
    """

    entries: list[Entry]
    is_whole: bool
    is_opened: bool
    until: float


class Custody:
    """Deposits of records, each returned at most once and only as a whole.

    A home that has taken back a part and failed must not take the rest for
    everything: it would run a key whose record was in the lost part.
    """

    def __init__(self) -> None:
        self._deposits: dict[str, _Deposit] = {}

    def receive(
        self, owner: str, entries: Iterable[Entry], is_last: bool, now: float
    ) -> bool:
        """Keeps a chunk of records; returns False when there is no room."""
        self._expire(now)
        deposit = self._deposits.get(owner)
        if deposit is None or deposit.is_whole:
            if deposit is None and len(self._deposits) >= _MAXIMUM_OWNERS:
                return False
            deposit = _Deposit([], False, False, now + _LIFETIME_S)
            self._deposits[owner] = deposit
        deposit.entries.extend(entries)
        deposit.is_whole = is_last
        return True

    def take(
        self, owner: str, is_first: bool, now: float
    ) -> tuple[list[Entry], bool] | None:
        """Returns the next chunk and whether it is the last; or None."""
        self._expire(now)
        deposit = self._deposits.get(owner)
        if (
            deposit is None
            or not deposit.is_whole
            or deposit.is_opened == is_first
        ):
            self._deposits.pop(owner, None)
            return None
        deposit.is_opened = True
        chunk = next(iter(chunks(deposit.entries)), [])
        del deposit.entries[: len(chunk)]
        is_last = not deposit.entries
        if is_last:
            del self._deposits[owner]
        return chunk, is_last

    def _expire(self, now: float) -> None:
        for owner, deposit in list(self._deposits.items()):
            if deposit.until <= now:
                del self._deposits[owner]


def chunks(entries: list[Entry]) -> Iterable[list[Entry]]:
    """Yields parts of at most 500 records and about 256 KiB of answers."""
    chunk: list[Entry] = []
    size = 0
    for entry in entries:
        answer = entry[1].answer
        added = len(answer.body) if answer is not None else 0
        if chunk and (
            size + added > CHUNK_BYTES or len(chunk) >= CHUNK_RECORDS
        ):
            yield chunk
            chunk, size = [], 0
        chunk.append(entry)
        size += added
    if chunk:
        yield chunk
