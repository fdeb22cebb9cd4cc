"""Detection of failed sub-calls that a target repeats on its own."""

import hashlib

# Bounds memory. A call with more different failed sub-calls than this gains
# nothing from further ones.
_MAX_FAILED = 256


def fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Returns a digest that is the same for a sub-call and its repeats."""
    state = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), path.encode("utf-8", "replace"), body):
        # Length prefixes make the concatenation of the parts unambiguous.
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()


class RepeatTracker:
    """The failed sub-calls made with one context token."""

    def __init__(self) -> None:
        self._failed: set[bytes] = set()

    def is_repeat(self, sub_call: bytes) -> bool:
        """Returns whether the same sub-call has failed before.

        Once too many different ones have failed, every sub-call counts as a
        repeat, so that the bound on retries holds.
        """
        return sub_call in self._failed or len(self._failed) >= _MAX_FAILED

    def failed(self, sub_call: bytes) -> None:
        """Records a sub-call that failed or that the target abandoned."""
        if len(self._failed) < _MAX_FAILED:
            self._failed.add(sub_call)

    def succeeded(self, sub_call: bytes) -> None:
        """Records a success, after which the same sub-call is a new one."""
        self._failed.discard(sub_call)
