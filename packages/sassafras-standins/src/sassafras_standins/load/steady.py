"""A steady open load that goes on at another node when it is told to."""

import dataclasses
import itertools

import trio

from sassafras_policy.calls import outcomes
from sassafras_standins.load import caller

_TRIES = 6
_PAUSE_S = 0.1
_OK = 200


@dataclasses.dataclass(slots=True)
class Tally:
    """How the requests of a load ended.

    Attributes:
      completed: Requests that were answered with success.
      moved: Refusals that said "not run" and were taken to another node.
      lost: What the caller saw of requests that did not complete.
      refused: Refusals that said "not run" and ended the request.
    """

    completed: int = 0
    moved: int = 0
    lost: list[str] = dataclasses.field(default_factory=list)
    refused: list[str] = dataclasses.field(default_factory=list)


class SteadyLoad:
    """Sends requests at a fixed rate, whatever becomes of the earlier ones.

    Attributes:
      tally: How the requests ended.
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
        """Sends until `stop` is called, then waits for the last answers."""
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in itertools.count(1):
                if self._stopping:
                    return
                nursery.start_soon(self._complete, number)
                await trio.sleep_until(started + number * self._interval_s)

    def stop(self) -> None:
        """Sends no further request."""
        self._stopping = True

    async def _complete(self, number: int) -> None:
        # Each try goes to another node. Turns shared by all requests could
        # bring the tries of one request to the same node again and again.
        for attempt in range(_TRIES):
            if attempt:
                await trio.sleep(_PAUSE_S)
            answer = await self._source.request(
                self._method, self._path, node=number + attempt
            )
            if answer.status == _OK:
                self.tally.completed += 1
                return
            seen = f"{answer.status} {answer.outcome} {answer.body[:120]!r}"
            if not answer.outcome.startswith(outcomes.Outcome.NOT_RUN):
                self.tally.lost.append(seen)
                return
            self.tally.moved += 1
        self.tally.refused.append(seen)
