"""Admission of root requests by the rate limit of their organisation."""

from collections.abc import Iterator
import contextlib
import dataclasses

import trio

from sassafras_base import clock as clocks
from sassafras_policy.limits import limiters
from sassafras_policy.limits import transfers

# Long enough for a grant from a holder in another availability zone, short
# enough that a caller is refused without much delay.
_MAX_WAIT_S = 0.05
# Keeps the first waiter from spinning when the due time rounds to zero.
_MIN_SLEEP_S = 0.005
# At most one token request of each organisation is in flight, so a mailbox is
# full only when its exchange is stuck.
_MAILBOX_SIZE = 256


@dataclasses.dataclass(slots=True)
class _Queue:
    """Requests of one organisation that wait for a token, in FIFO order.

    Attributes:
      turn: Held by the first waiter.
      waiting: Number of waiters.
      received: Set and replaced when tokens arrive.
    """

    turn: trio.Lock = dataclasses.field(default_factory=trio.Lock)
    waiting: int = 0
    received: trio.Event = dataclasses.field(default_factory=trio.Event)


class Mailbox:
    """Token requests to one holder that have neither a grant nor failed.

    The limiter makes no further request of an organisation while one is in
    flight, so each must end. Those that are left when the mailbox is closed
    have failed, whatever closed it.
    """

    def __init__(self) -> None:
        self._outstanding: dict[int, transfers.TokenRequest] = {}
        self._send, self._receive = trio.open_memory_channel[
            transfers.TokenRequest
        ](_MAILBOX_SIZE)

    def put(self, request: transfers.TokenRequest) -> None:
        """Adds a request.

        Raises:
          trio.WouldBlock: Too many requests wait to be sent.
        """
        self._send.send_nowait(request)
        self._outstanding[request.number] = request

    async def receive(self) -> transfers.TokenRequest:
        """Returns the next request; it stays outstanding until it ends."""
        return await self._receive.receive()

    def end(self, request: transfers.TokenRequest) -> None:
        """Records the grant or the failure of a request."""
        self._outstanding.pop(request.number, None)

    def take_outstanding(self) -> list[transfers.TokenRequest]:
        """Ends and returns all requests that are left."""
        left = list(self._outstanding.values())
        self._outstanding.clear()
        return left


class LimitGate:
    """Takes a token for each root request and requests more from holders.

    The limiter decides; the gate suspends root requests that wait and puts
    token requests into the mailboxes of the exchange tasks.

    Attributes:
      limiter: The limiter in use.
    """

    def __init__(self, limiter: limiters.Limiter, clock: clocks.Clock) -> None:
        self.limiter = limiter
        self._clock = clock
        self._queues: dict[str, _Queue] = {}
        self._mailboxes: dict[str, Mailbox] = {}

    async def admit(self, organisation: str) -> float | None:
        """Takes a token, waiting a short time for one if necessary.

        Returns:
          None when a token was taken, else the seconds until one is due.
        """
        queue = self._queues.get(organisation)
        if queue is None:
            queue = self._queues[organisation] = _Queue()
        now = self._clock.now_with_suspend()
        self.limiter.record_arrival(organisation, now)
        if not queue.waiting and self.limiter.take(organisation, now):
            self._plan(organisation, queue, now)
            return None
        if not self.limiter.is_worth_waiting(
            organisation, queue.waiting, _MAX_WAIT_S, now
        ):
            return self.limiter.available_in_s(organisation, queue.waiting, now)
        queue.waiting += 1
        try:
            with trio.move_on_after(_MAX_WAIT_S):
                async with queue.turn:
                    await self._wait_for_token(organisation, queue)
                    return None
        finally:
            queue.waiting -= 1
        now = self._clock.now_with_suspend()
        return self.limiter.available_in_s(organisation, queue.waiting, now)

    def grant_tokens(self, organisation: str, wanted: float) -> transfers.Grant:
        """Returns the grant for another node's token request."""
        queue = self._queues.get(organisation)
        return self.limiter.grant_tokens(
            organisation,
            wanted,
            queue.waiting if queue else 0,
            self._clock.now_with_suspend(),
        )

    def receive(
        self,
        request: transfers.TokenRequest,
        grant: transfers.Grant,
        sent_at: float,
    ) -> None:
        """Adds the granted tokens and wakes the first waiter.

        Args:
          request: The token request.
          grant: The holder's response.
          sent_at: When the request was sent, on the clock that counts suspend.
        """
        now = self._clock.now_with_suspend()
        self._end(request)
        self.limiter.receive(request, grant, sent_at, now)
        queue = self._queues.setdefault(request.organisation, _Queue())
        self._plan(request.organisation, queue, now)
        received, queue.received = queue.received, trio.Event()
        received.set()

    def request_failed(self, request: transfers.TokenRequest) -> None:
        """Records a failed token request and plans new ones."""
        now = self._clock.now_with_suspend()
        self._end(request)
        self.limiter.request_failed(request, now)
        queue = self._queues.setdefault(request.organisation, _Queue())
        self._plan(request.organisation, queue, now)

    @contextlib.contextmanager
    def open_mailbox(self, holder: str) -> Iterator[Mailbox]:
        """Opens the mailbox of the exchange task of a holder.

        When it is closed, the requests in it have failed, and later ones to the
        holder fail at once.
        """
        mailbox = self._mailboxes[holder] = Mailbox()
        try:
            yield mailbox
        finally:
            if self._mailboxes.get(holder) is mailbox:
                del self._mailboxes[holder]
            for request in mailbox.take_outstanding():
                self.request_failed(request)

    def _end(self, request: transfers.TokenRequest) -> None:
        mailbox = self._mailboxes.get(request.holder)
        if mailbox is not None:
            mailbox.end(request)

    async def _wait_for_token(self, organisation: str, queue: _Queue) -> None:
        while True:
            now = self._clock.now_with_suspend()
            if self.limiter.take(organisation, now):
                return
            self._plan(organisation, queue, now)
            received = queue.received
            due_s = self.limiter.available_in_s(organisation, 0, now)
            with trio.move_on_after(max(due_s, _MIN_SLEEP_S)):
                await received.wait()

    def _plan(self, organisation: str, queue: _Queue, now: float) -> None:
        for request in self.limiter.plan(organisation, queue.waiting, now):
            mailbox = self._mailboxes.get(request.holder)
            try:
                if mailbox is None:
                    raise trio.WouldBlock
                mailbox.put(request)
            except trio.WouldBlock:
                self.limiter.request_failed(request, now)
