"""Limiters and gates of many nodes that exchange tokens in memory."""

import trio

from sassafras_base import clock as clocks
from sassafras_node.limits import gate as gates
from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import limiters
from sassafras_policy.membership import roster as rosters

ORGANISATION = "national-bank"
_ONE_WAY_S = 0.001


class Host:
    """A node's limiter and gate; a silent one ignores token requests."""

    def __init__(self, node_id, limiter_name):
        self.node_id = node_id
        self.clock = clocks.TrioClock()
        self.limiter = limiters.limiters.get(limiter_name)()
        self.gate = gates.LimitGate(self.limiter, self.clock)
        self.silent = False


class Fleet:
    """Hosts that are all members of a settled roster.

    Attributes:
      hosts: The hosts.
      sent_token_requests: Times at which token requests were sent.
      offered: Arrival times of all requests.
      admitted: Admission times.
      refused: Arrival times of refused requests.
    """

    def __init__(self, nursery, count, rate_per_s, burst, limiter):
        self._nursery = nursery
        self.sent_token_requests = []
        self.max_in_flight = 0
        self._in_flight = {}
        self.offered = []
        self.admitted = []
        self.refused = []
        self.retry_after = []
        self.hosts = [Host(f"10.0.0.{n}:7401", limiter) for n in range(count)]
        self.by_id = {host.node_id: host for host in self.hosts}
        self.roster = rosters.Roster(
            epoch=1,
            members=tuple(rosters.Member(n, "desk") for n in self.by_id),
        )
        self.organisation = documents.Organisation(
            ORGANISATION, rate_per_s, burst
        )
        for host in self.hosts:
            self._configure(host)
            for holder in host.limiter.holders:
                nursery.start_soon(self._exchange, host, self.by_id[holder])

    def _configure(self, host):
        host.limiter.configure(
            limiters.LimiterContext(
                organisations=(self.organisation,),
                own_id=host.node_id,
                hosts=len(self.hosts),
                roster=self.roster,
                settled=True,
            ),
            host.clock.now_with_suspend(),
        )

    def change_rate(self, rate_per_s, burst):
        self.organisation = documents.Organisation(
            ORGANISATION, rate_per_s, burst
        )
        for host in self.hosts:
            self._configure(host)

    async def _exchange(self, host, holder):
        with host.gate.open_mailbox(holder.node_id) as mailbox:
            while True:
                token_request = await mailbox.receive()
                sent_at = host.clock.now_with_suspend()
                self.sent_token_requests.append(sent_at)
                pair = (host.node_id, holder.node_id)
                count = self._in_flight[pair] = self._in_flight.get(pair, 0) + 1
                self.max_in_flight = max(self.max_in_flight, count)
                await trio.sleep(_ONE_WAY_S)
                if holder.silent:
                    await trio.sleep(1.0)
                    host.gate.request_failed(token_request)
                    continue
                grant = holder.gate.grant_tokens(
                    token_request.organisation, token_request.wanted
                )
                await trio.sleep(_ONE_WAY_S)
                self._in_flight[pair] -= 1
                host.gate.receive(token_request, grant, sent_at)

    async def offer(self, arrivals):
        """Sends requests at (time, host number) and records their results."""
        start = trio.current_time()
        for at, host_number in arrivals:
            await trio.sleep_until(start + at)
            self._nursery.start_soon(self._request, self.hosts[host_number])
        await trio.sleep(0.1)

    async def _request(self, host):
        at = trio.current_time()
        self.offered.append(at)
        due_s = await host.gate.admit(ORGANISATION)
        if due_s is None:
            self.admitted.append(trio.current_time())
        else:
            self.refused.append(at)
            self.retry_after.append(due_s)
