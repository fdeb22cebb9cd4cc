"""Admission of root requests by the rate of their organisation."""

import dataclasses

import trio

from sassafras_base import clock as clocks
from sassafras_policy.limits import exchanges
from sassafras_policy.limits import limiters

# Long enough for an answer of a holder in another availability zone, short
# enough that a refused caller is told soon.
_LONGEST_WAIT_S = 0.05
# A due time that rounds to nothing must not make the first in line spin.
_SHORTEST_SLEEP_S = 0.005
# At most one ask of each organisation is in flight, so a mailbox is full only
# when its exchange is stuck.
_MAILBOX_SIZE = 256


@dataclasses.dataclass(slots=True)
class _Line:
    """Requests of one organisation that wait for a token, first come first.

    Attributes:
      turn: Held by the first in line.
      waiting: Requests in line.
      received: Set and replaced when tokens arrive.
    """

    turn: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    waiting: int = 0
    received: trio.Event = dataclasses.field(default_factory=trio.Event)


class LimitGate:
    """Takes a token for each root request, and asks holders for more.

    The limiter decides; the gate lets requests wait and puts asks into the
    mailboxes of the exchange tasks.

    Attributes:
      limiter: The limiter in use.
    """

    def __init__(self, limiter: limiters.Limiter, clock: clocks.Clock) -> None:
        self.limiter = limiter
        self._clock = clock
        self._lines: dict[str, _Line] = {}
        self._mailboxes: dict[str, trio.MemorySendChannel[exchanges.Ask]] = {}

    async def admit(self, organisation: str) -> float | None:
        """Takes a token, waiting for one for a short time if need be.

        Returns:
          None when a token was taken, else the seconds until one is due.
        """
        line = self._lines.setdefault(organisation, _Line())
        now = self._clock.now_with_suspend()
        self.limiter.arrived(organisation, now)
        if not line.waiting and self.limiter.take(organisation, now):
            self._plan(organisation, line, now)
            return None
        if not self.limiter.is_worth_waiting(
            organisation, line.waiting, _LONGEST_WAIT_S, now
        ):
            return self.limiter.due_in_s(organisation, line.waiting, now)
        line.waiting += 1
        try:
            with trio.move_on_after(_LONGEST_WAIT_S):
                async with line.turn:
                    await self._wait_for_token(organisation, line)
                    return None
        finally:
            line.waiting -= 1
        now = self._clock.now_with_suspend()
        return self.limiter.due_in_s(organisation, line.waiting, now)

    def give(self, organisation: str, wanted: float) -> exchanges.Grant:
        """Answers another node's ask."""
        line = self._lines.get(organisation)
        return self.limiter.give(
            organisation,
            wanted,
            line.waiting if line else 0,
            self._clock.now_with_suspend(),
        )

    def receive(
        self, ask: exchanges.Ask, grant: exchanges.Grant, sent_at: float
    ) -> None:
        """Takes over the answer to an ask and wakes the first in line.

        Args:
          ask: The ask.
          grant: The answer.
          sent_at: When the ask was sent, on the clock that counts suspend.
        """
        now = self._clock.now_with_suspend()
        self.limiter.receive(ask, grant, sent_at, now)
        line = self._lines.setdefault(ask.organisation, _Line())
        self._plan(ask.organisation, line, now)
        received, line.received = line.received, trio.Event()
        received.set()

    def failed(self, ask: exchanges.Ask) -> None:
        """Notes that an ask was not answered and asks others."""
        now = self._clock.now_with_suspend()
        self.limiter.failed(ask, now)
        line = self._lines.setdefault(ask.organisation, _Line())
        self._plan(ask.organisation, line, now)

    def open_mailbox(
        self, holder: str
    ) -> trio.MemoryReceiveChannel[exchanges.Ask]:
        """Returns where the exchange task of a holder finds its asks."""
        send, receive = trio.open_memory_channel[exchanges.Ask](_MAILBOX_SIZE)
        self._mailboxes[holder] = send
        return receive

    def close_mailbox(self, holder: str) -> None:
        """Lets later asks of a holder fail at once."""
        self._mailboxes.pop(holder, None)

    async def _wait_for_token(self, organisation: str, line: _Line) -> None:
        while True:
            now = self._clock.now_with_suspend()
            if self.limiter.take(organisation, now):
                return
            self._plan(organisation, line, now)
            received = line.received
            due_s = self.limiter.due_in_s(organisation, 0, now)
            with trio.move_on_after(max(due_s, _SHORTEST_SLEEP_S)):
                await received.wait()

    def _plan(self, organisation: str, line: _Line, now: float) -> None:
        for ask in self.limiter.plan(organisation, line.waiting, now):
            mailbox = self._mailboxes.get(ask.holder)
            try:
                if mailbox is None:
                    raise trio.WouldBlock
                mailbox.send_nowait(ask)
            except trio.WouldBlock:
                self.limiter.failed(ask, now)
