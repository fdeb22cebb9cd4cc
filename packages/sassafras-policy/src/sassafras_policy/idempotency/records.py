"""Idempotency records at the home node of their keys."""

import collections
import dataclasses
import enum

from sassafras_policy.calls import messages

LIFETIME_S = 900.0
_MAXIMUM_RECORDS = 20_000
_MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024


class Verdict(enum.Enum):
    """What to do with a request that carries a key.

    Attributes:
      RUN: It is the first; the record is now running.
      WAIT: The first one is running; look again when it has ended.
      STORED: The first one has ended; its answer is returned.
      MISMATCH: The key belongs to a request with other contents.
      FULL: There is no room for another record.
    """

    RUN = "run"
    WAIT = "wait"
    STORED = "stored"
    MISMATCH = "mismatch"
    FULL = "full"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A request that runs or has ended.

    Attributes:
      fingerprint: Digest of the request's method, path and body.
      answer: Its answer; None while it runs.
      kept: Whether the answer is whole; one that found no room is kept
        without its body.
      expires_at: End of the record's lifetime; 0 while it runs.
    """

    fingerprint: bytes
    answer: messages.Answer | None = None
    kept: bool = True
    expires_at: float = 0.0


class Records:
    """A bounded table of records.

    A record lives for 900 s after its request has ended. No record is dropped
    before that: a full table refuses new keys, which is not run and safe to
    repeat, whereas a forgotten record would let a repeat run again.
    """

    def __init__(
        self,
        maximum_records: int = _MAXIMUM_RECORDS,
        maximum_answer_bytes: int = _MAXIMUM_ANSWER_BYTES,
    ) -> None:
        self._maximum_records = maximum_records
        self._maximum_answer_bytes = maximum_answer_bytes
        self._running: dict[str, Record] = {}
        # In order of their end, which is the order in which they expire.
        self._ended: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._running) + len(self._ended)

    @property
    def answer_bytes(self) -> int:
        """Bytes of all stored answers."""
        return self._answer_bytes

    def begin(self, key: str, fingerprint: bytes, now: float) -> Verdict:
        """Returns what to do with a request, and starts its record."""
        known = self.lookup(key, now)
        if known is not None:
            if known.fingerprint != fingerprint:
                return Verdict.MISMATCH
            return Verdict.WAIT if known.answer is None else Verdict.STORED
        if (
            len(self) >= self._maximum_records
            or self._answer_bytes >= self._maximum_answer_bytes
        ):
            return Verdict.FULL
        self._running[key] = Record(fingerprint)
        return Verdict.RUN

    def finish(self, key: str, answer: messages.Answer, now: float) -> None:
        """Ends a running record with its answer."""
        running = self._running.pop(key)
        size = _size(answer)
        kept = self._answer_bytes + size <= self._maximum_answer_bytes
        if not kept:
            answer = dataclasses.replace(answer, headers=(), body=b"")
            size = 0
        self._answer_bytes += size
        self._ended[key] = Record(
            running.fingerprint, answer, kept, now + LIFETIME_S
        )

    def is_running(self, key: str) -> bool:
        """Returns whether the request of a key runs."""
        return key in self._running

    def abandon(self, key: str) -> None:
        """Drops a running record whose request certainly did not run."""
        self._running.pop(key, None)

    def lookup(self, key: str, now: float) -> Record | None:
        """Returns the record of a key, or None."""
        self._expire(now)
        return self._running.get(key) or self._ended.get(key)

    def adopt(self, key: str, record: Record, now: float) -> None:
        """Ends a running record with one that another node handed over."""
        assert record.answer is not None
        self._running[key] = Record(record.fingerprint)
        self.finish(key, record.answer, now)

    def release(self, key: str) -> None:
        """Drops an ended record that was handed over to another node."""
        record = self._ended.pop(key, None)
        if record is not None and record.answer is not None:
            self._answer_bytes -= _size(record.answer)

    def take_ended(self, now: float) -> list[tuple[str, Record]]:
        """Removes and returns all ended records, in order of expiry."""
        self._expire(now)
        entries = list(self._ended.items())
        self._ended.clear()
        self._answer_bytes = 0
        return entries

    def restore(self, key: str, record: Record) -> None:
        """Puts a record back that `take_ended` has returned, in its order."""
        assert record.answer is not None
        if key not in self._running and key not in self._ended:
            self._ended[key] = record
            self._answer_bytes += _size(record.answer)

    def _expire(self, now: float) -> None:
        while self._ended:
            key, record = next(iter(self._ended.items()))
            if record.expires_at > now:
                return
            self.release(key)


def _size(answer: messages.Answer) -> int:
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers
