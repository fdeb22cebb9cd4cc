"""The retry allowance of one root request, held by its first node."""


class RetryAllowance:
    """Limits the retries of one root request over all of its hops.

    The first node holds the counter, and each retry at any depth needs a grant
    from it. A grant counts even if its message is lost, so lost or duplicated
    messages can only reduce the number of retries.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._granted = 0

    @property
    def granted(self) -> int:
        """Number of retries granted so far."""
        return self._granted

    def take(self) -> bool:
        """Returns whether one more retry is allowed, and if so counts it."""
        if self._granted >= self._limit:
            return False
        self._granted += 1
        return True
