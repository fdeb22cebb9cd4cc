"""The retry allowance of one root request, kept by its first node."""


class RetryAllowance:
    """Counts the retries of one root request against a fixed bound.

    The first node owns the counter and every retry at any depth asks it. An
    ask whose answer is lost has still been counted, so loss and duplication
    can only lower the number of retries.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._granted = 0

    @property
    def granted(self) -> int:
        """Retries granted so far."""
        return self._granted

    def take(self) -> bool:
        """Returns whether one more retry is allowed, and counts it."""
        if self._granted >= self._limit:
            return False
        self._granted += 1
        return True
