"""Detects repeats that a target itself makes of a failed sub-call."""

import hashlib

# One call that has more different failed sub-calls than this gains nothing
# from further ones, and its memory must stay bounded.
_MAXIMUM_FAILED = 256


def identify(method: str, path: str, body: bytes) -> bytes:
    """Returns what two sub-calls have in common when one repeats the other."""
    state = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), path.encode("utf-8", "replace"), body):
        # Lengths keep different parts from joining to the same bytes.
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()


class RepeatTracker:
    """The failed sub-calls under one context token."""

    def __init__(self) -> None:
        self._failed: set[bytes] = set()

    def is_repeat(self, sub_call: bytes) -> bool:
        """Returns whether the same sub-call has failed before.

        When too many different ones have failed, every sub-call counts as a
        repeat, so that the bound on retries holds.
        """
        return sub_call in self._failed or (
            len(self._failed) >= _MAXIMUM_FAILED
        )

    def failed(self, sub_call: bytes) -> None:
        """Notes a sub-call that failed or was given up by the target."""
        if len(self._failed) < _MAXIMUM_FAILED:
            self._failed.add(sub_call)

    def succeeded(self, sub_call: bytes) -> None:
        """Notes a success; the same sub-call again is then a new one."""
        self._failed.discard(sub_call)
