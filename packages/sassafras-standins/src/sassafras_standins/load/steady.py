"""Open-loop load whose requests retry at another node if one rejects them."""

import dataclasses
import itertools

import trio

from sassafras_policy.calls import outcomes
from sassafras_standins.load import caller

_MAX_ATTEMPTS = 6
_RETRY_DELAY_S = 0.1
_OK = 200


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of a load's requests by result.

    Attributes:
      completed: Requests that succeeded.
      rejections: Responses with outcome "not run", of which each but the last
        one of a request led to a retry at another node.
      lost: Result of each request that ended in any other way.
      refused: Last result of each request whose attempts were all "not run".
    """

    completed: int = 0
    rejections: int = 0
    lost: list[str] = dataclasses.field(default_factory=list)
    refused: list[str] = dataclasses.field(default_factory=list)


class SteadyLoad:
    """Sends requests at a fixed rate, without waiting for earlier ones.

    Attributes:
      tally: Counts of the requests by result.
    """

    def __init__(
        self,
        source: caller.Caller,
        method: str,
        path: str,
        rate_per_s: float,
    ) -> None:
        self.tally = Tally()
        self._source = source
        self._method = method
        self._path = path
        self._interval_s = 1 / rate_per_s
        self._stopping = False

    async def run(self) -> None:
        """Sends until `stop` is called, then waits for the last responses."""
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in itertools.count(1):
                if self._stopping:
                    return
                nursery.start_soon(self._send_with_retries, number)
                await trio.sleep_until(started + number * self._interval_s)

    def stop(self) -> None:
        """Makes `run` send no more requests."""
        self._stopping = True

    async def _send_with_retries(self, number: int) -> None:
        # Each attempt uses the next node. The shared round-robin could send all
        # attempts of one request to the same node.
        for attempt in range(_MAX_ATTEMPTS):
            if attempt:
                await trio.sleep(_RETRY_DELAY_S)
            result = await self._source.request(
                self._method, self._path, node=number + attempt
            )
            if result.status == _OK:
                self.tally.completed += 1
                return
            text = f"{result.status} {result.outcome} {result.body[:120]!r}"
            if not result.outcome.startswith(outcomes.Outcome.NOT_RUN):
                self.tally.lost.append(text)
                return
            self.tally.rejections += 1
        self.tally.refused.append(text)
