"""The table of idempotency records at a home node."""

import collections
import dataclasses
import enum

from sassafras_policy.calls import messages

LIFETIME_S = 900.0
_MAX_RECORDS = 20_000
_MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class KeyDecision(enum.Enum):
    """How to process a request that carries a key.

    Attributes:
      RUN: Run it: it is the first with this key, and its record is running.
      WAIT: Wait until the first request has ended, then look again.
      STORED: Return the stored response of the first request.
      MISMATCH: Refuse it: the key was used with other contents.
      FULL: Refuse it: the table has no space for another record.
    """

    RUN = "run"
    WAIT = "wait"
    STORED = "stored"
    MISMATCH = "mismatch"
    FULL = "full"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A request that is running or has ended.

    Attributes:
      fingerprint: Digest of the request's method, path and body.
      answer: Its response; None while it runs.
      kept: Whether the response is complete. Without space for it, headers and
        body are dropped.
      expires_at: End of the record's lifetime; 0 while it runs.
    """

    fingerprint: bytes
    answer: messages.CallResponse | None = None
    kept: bool = True
    expires_at: float = 0.0


class RecordTable:
    """A bounded table of records.

    A record expires 900 s after its request has ended and is never evicted
    before: requests refused by a full table did not run and are safe to repeat,
    whereas a repeat of a request with an evicted record would run again.
    """

    def __init__(
        self,
        maximum_records: int = _MAX_RECORDS,
        maximum_response_bytes: int = _MAX_RESPONSE_BYTES,
    ) -> None:
        self._maximum_records = maximum_records
        self._maximum_response_bytes = maximum_response_bytes
        self._running: dict[str, Record] = {}
        # In order of their end, and so of expiry.
        self._ended: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self._response_bytes = 0

    def __len__(self) -> int:
        return len(self._running) + len(self._ended)

    @property
    def response_bytes(self) -> int:
        """Total size of the stored responses."""
        return self._response_bytes

    def begin(self, key: str, fingerprint: bytes, now: float) -> KeyDecision:
        """Decides on a request, and starts its record if it is to run."""
        record = self.lookup(key, now)
        if record is not None:
            if record.fingerprint != fingerprint:
                return KeyDecision.MISMATCH
            return (
                KeyDecision.WAIT
                if record.answer is None
                else KeyDecision.STORED
            )
        if (
            len(self) >= self._maximum_records
            or self._response_bytes >= self._maximum_response_bytes
        ):
            return KeyDecision.FULL
        self._running[key] = Record(fingerprint)
        return KeyDecision.RUN

    def finish(
        self, key: str, response: messages.CallResponse, now: float
    ) -> None:
        """Ends a running record with its response."""
        running = self._running.pop(key)
        size = _size(response)
        kept = self._response_bytes + size <= self._maximum_response_bytes
        if not kept:
            response = dataclasses.replace(response, headers=(), body=b"")
            size = 0
        self._response_bytes += size
        self._ended[key] = Record(
            running.fingerprint, response, kept, now + LIFETIME_S
        )

    def is_running(self, key: str) -> bool:
        """Returns whether the request of a key is running."""
        return key in self._running

    def abandon(self, key: str) -> None:
        """Drops the record of a request that certainly did not run."""
        self._running.pop(key, None)

    def lookup(self, key: str, now: float) -> Record | None:
        """Returns the record of a key, or None."""
        self._expire(now)
        return self._running.get(key) or self._ended.get(key)

    def adopt(self, key: str, record: Record, now: float) -> None:
        """Ends a running record with the ended one from another node."""
        assert record.answer is not None
        self._running[key] = Record(record.fingerprint)
        self.finish(key, record.answer, now)

    def release(self, key: str) -> None:
        """Drops an ended record that was handed over to another node."""
        record = self._ended.pop(key, None)
        if record is not None and record.answer is not None:
            self._response_bytes -= _size(record.answer)

    def take_ended(self, now: float) -> list[tuple[str, Record]]:
        """Removes and returns all ended records, in order of expiry."""
        self._expire(now)
        entries = list(self._ended.items())
        self._ended.clear()
        self._response_bytes = 0
        return entries

    def restore(self, key: str, record: Record) -> None:
        """Restores a record from `take_ended`; call in order of expiry."""
        assert record.answer is not None
        if key not in self._running and key not in self._ended:
            self._ended[key] = record
            self._response_bytes += _size(record.answer)

    def _expire(self, now: float) -> None:
        while self._ended:
            key, record = next(iter(self._ended.items()))
            if record.expires_at > now:
                return
            self.release(key)


def _size(response: messages.CallResponse) -> int:
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return len(response.body) + headers
