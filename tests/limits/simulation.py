"""Simulation of the limiters of many nodes over an unreliable network.

An event queue with simulated time replaces processes and sockets. Messages are
lost, duplicated, delayed and reordered; nodes pause, restart, are partitioned,
join and are forgotten; the rate changes.
"""

import dataclasses
import heapq
import itertools

from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import limiters
from sassafras_policy.limits import shares
from sassafras_policy.limits import token_escrow
from sassafras_policy.limits import token_share
from sassafras_policy.limits import transfers
from sassafras_policy.membership import active_roster
from sassafras_policy.membership import roster as rosters

ORGANISATION = "national-bank"
REPORT_DELAY_S = 0.3
HOARDING = 100
_RETRY_S = 0.01


@dataclasses.dataclass(frozen=True)
class Report:
    """The fields of a membership record that settle an epoch."""

    node_id: str
    incarnation: int
    roster_epoch: int


class GreedyLimiter:
    """A limiter that requests all tokens of all holders whenever it can.

    It uses the shares and allocations of the product without the limits on
    token requests, so that any tokens in excess of the bound are found and
    spent.
    """

    def __init__(self):
        self.share = None
        self.holders = ()
        self._numbers = itertools.count()
        self._pending = set()

    def configure(self, context, now):
        (organisation,) = context.organisations
        allocation = shares.allocate(
            organisation,
            context.own_id,
            context.roster,
            context.settled,
        )
        if self.share is None:
            self.share = token_share.TokenShare(now, shares.MAX_LIFETIME_S)
        self.share.resize(allocation.rate_per_s, allocation.cap, now)
        self.holders = allocation.holders
        self.lifetime_s = allocation.lifetime_s

    def record_arrival(self, organisation, now):
        pass

    def take(self, organisation, now):
        return self.share.take(now)

    def plan(self, organisation, waiting, now):
        # Only `Simulation.hoard` causes token requests, at its own times.
        if waiting < HOARDING:
            return []
        token_requests = [
            transfers.TokenRequest(
                next(self._numbers), holder, organisation, 1e6, now
            )
            for holder in self.holders
        ]
        self._pending.update(
            token_request.number for token_request in token_requests
        )
        return token_requests

    def grant_tokens(self, organisation, wanted, waiting, now):
        granted = self.share.grant_tokens(
            wanted, 0.0, 0.0, self.lifetime_s, now
        )
        return transfers.Grant(granted, self.lifetime_s, 0.0)

    def receive(self, token_request, grant, sent_at, now):
        if token_request.number in self._pending:
            self._pending.discard(token_request.number)
            expires_at = sent_at + grant.lifetime_s
            self.share.receive(grant.granted, expires_at, now)


class Node:
    """A node: its limiter, its roster and the reports that it received."""

    def __init__(self, node_id, limiter):
        self.node_id = node_id
        self._limiter = limiter
        self.incarnation = 0
        self.up = False
        self.paused_until = 0.0
        self.cut = False
        self.organisation = None
        self.reports = {}

    def boot(self):
        self.incarnation += 1
        self.up = True
        self.limiter = self._limiter()
        self.holder = active_roster.ActiveRoster()

    def learn(self, report):
        known = self.reports.get(report.node_id)
        if known is None or (report.incarnation, report.roster_epoch) > (
            known.incarnation,
            known.roster_epoch,
        ):
            self.reports[report.node_id] = report
            return True
        return False


class Simulation:
    """The event queue, the network, the store and all nodes."""

    def __init__(
        self,
        rng,
        rate_per_s,
        burst,
        node_count,
        limiter=token_escrow.TokenEscrow,
    ):
        self.rng = rng
        self._limiter = limiter
        self.now = 0.0
        self.admitted = []
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_s = 0.02
        self.organisation = documents.Organisation(
            ORGANISATION, rate_per_s, burst
        )
        self.stored = rosters.Roster()
        self.nodes = {}
        self._events = []
        self._order = itertools.count()
        for number in range(node_count):
            self.join(f"10.0.0.{number}:7401")
        self.after(0.0, self._write_roster)

    def after(self, delay_s, action, *arguments):
        event = (self.now + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def run_until(self, end):
        while self._events and self._events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end

    # Faults and events of nodes.

    def join(self, node_id):
        node = self.nodes.setdefault(node_id, Node(node_id, self._limiter))
        if not node.up:
            self._boot(node)

    def restart(self, node_id):
        node = self.nodes[node_id]
        if node.up:
            node.up = False
            downtime_s = self.rng.choice([0.0, 0.05, 1.0])
            self.after(downtime_s, self._boot, node)

    def leave_permanently(self, node_id):
        node = self.nodes[node_id]
        node.up = False
        self.after(self.rng.uniform(0.1, 3.0), self._forget, node_id)

    def pause(self, node_id, span_s):
        node = self.nodes[node_id]
        node.paused_until = max(node.paused_until, self.now + span_s)

    def cut(self, node_id, span_s):
        node = self.nodes[node_id]
        node.cut = True
        self.after(span_s, self._heal, node)

    def change_rate(self, rate_per_s, burst):
        self.organisation = documents.Organisation(
            ORGANISATION, rate_per_s, burst
        )
        for node in self.nodes.values():
            self._deliver_reliably(
                node, self._configure_new, node, self.organisation
            )

    def request(self, node_id):
        """Simulates an arriving request; returns whether it is admitted."""
        node = self.nodes[node_id]
        if not node.up or node.paused_until > self.now:
            return False
        node.limiter.record_arrival(ORGANISATION, self.now)
        taken = self._take(node)
        if not taken:
            self.after(_RETRY_S, self._retry, node, node.incarnation, 5)
        self._plan(node, 0 if taken else 1)
        return taken

    def hoard(self, node_id):
        """Makes a node request tokens that no request needs."""
        node = self.nodes[node_id]
        if node.up and node.paused_until <= self.now:
            self._plan(node, HOARDING)

    def _retry(self, node, incarnation, attempts_left):
        """Retries a waiting request, for up to 50 ms."""
        if not node.up or node.incarnation != incarnation:
            return
        if node.paused_until > self.now or self._take(node):
            return
        self._plan(node, 1)
        if attempts_left > 1:
            self.after(
                _RETRY_S, self._retry, node, incarnation, attempts_left - 1
            )

    def _take(self, node):
        taken = node.limiter.take(ORGANISATION, self.now)
        if taken:
            self.admitted.append(self.now)
        return taken

    def _plan(self, node, waiting):
        for token_request in node.limiter.plan(ORGANISATION, waiting, self.now):
            self._send(
                node,
                self.nodes[token_request.holder],
                self._on_token_request,
                node,
                node.limiter,
                token_request,
                self.now,
            )

    # The network.

    def _send(self, sender, receiver, action, *arguments):
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() < self.loss or sender.cut or receiver.cut:
                continue
            delay_s = self.rng.uniform(0.0, self.max_delay_s)
            self.after(delay_s, self._deliver, receiver, action, arguments)

    def _deliver(self, receiver, action, arguments):
        if not receiver.up or receiver.cut:
            return
        if receiver.paused_until > self.now:
            self.after(
                receiver.paused_until - self.now,
                self._deliver,
                receiver,
                action,
                arguments,
            )
            return
        action(*arguments)

    def _deliver_reliably(self, receiver, action, *arguments):
        """Delivers a message that is retried until it arrives."""
        if receiver.cut or not receiver.up:
            self.after(
                0.5, self._deliver_reliably, receiver, action, *arguments
            )
            return
        delay_s = self.rng.uniform(0.0, 1.0)
        self.after(delay_s, self._deliver, receiver, action, arguments)

    # Message handlers and state of nodes.

    def _on_token_request(
        self, requester, requesting_limiter, token_request, sent_at
    ):
        holder = self.nodes[token_request.holder]
        waiting = self.rng.randint(0, 1) if self.rng.random() < 0.1 else 0
        grant = holder.limiter.grant_tokens(
            ORGANISATION, token_request.wanted, waiting, self.now
        )
        self._send(
            holder,
            requester,
            self._on_grant,
            requesting_limiter,
            token_request,
            grant,
            sent_at,
        )

    def _on_grant(self, requesting_limiter, token_request, grant, sent_at):
        requesting_limiter.receive(token_request, grant, sent_at, self.now)

    def _boot(self, node):
        if node.up:
            return
        node.boot()
        node.organisation = self.organisation
        # Nodes read the roster from the store at start.
        node.holder.offer(self.stored)
        self._configure(node)
        self._schedule_report(node)

    def _heal(self, node):
        node.cut = False

    def _configure_new(self, node, organisation):
        node.organisation = organisation
        self._configure(node)

    def _configure(self, node):
        known_reports = node.reports.values()
        node.limiter.configure(
            limiters.LimiterContext(
                organisations=(node.organisation,),
                own_id=node.node_id,
                hosts=len(self.nodes),
                roster=node.holder.current,
                settled=node.holder.is_settled(known_reports),
            ),
            self.now,
        )

    def _offer(self, node, roster):
        if node.holder.offer(roster):
            self._configure(node)
            self._schedule_report(node)

    def _schedule_report(self, node):
        epoch = node.holder.current.epoch
        self.after(REPORT_DELAY_S, self._report, node, node.incarnation, epoch)

    def _report(self, node, incarnation, epoch):
        if not node.up or node.incarnation != incarnation:
            return
        if node.paused_until > self.now:
            self.after(0.5, self._report, node, incarnation, epoch)
            return
        report = Report(node.node_id, incarnation, epoch)
        for other in self.nodes.values():
            if other is node:
                self._learn(other, report)
            else:
                self._send_report(node, other, report)

    def _send_report(self, sender, receiver, report):
        if sender.cut:
            self.after(0.5, self._send_report, sender, receiver, report)
        else:
            self._deliver_reliably(receiver, self._learn, receiver, report)

    def _learn(self, node, report):
        if node.learn(report):
            self._configure(node)

    # The watcher and the operator.

    def _write_roster(self):
        self.after(1.0, self._write_roster)
        watcher = next(
            (
                node
                for node in self.nodes.values()
                if node.up and not node.cut and node.paused_until <= self.now
            ),
            None,
        )
        if watcher is None:
            return
        reported_epochs = {
            n: r.roster_epoch for n, r in watcher.reports.items()
        }
        if self.stored.epoch and not self.stored.is_settled(reported_epochs):
            return
        joining_members = [
            rosters.Member(node.node_id, "desk")
            for node in self.nodes.values()
            if node.up
            and node.node_id not in self.stored.node_ids
            and (
                node.node_id not in self.stored.forgotten
                or reported_epochs.get(node.node_id, 0) >= self.stored.epoch
            )
        ]
        if joining_members:
            self._store(self.stored.with_members(joining_members))

    def _forget(self, node_id):
        if self.nodes[node_id].up or node_id not in self.stored.node_ids:
            return
        reported_epochs = {
            n: r.roster_epoch
            for node in self.nodes.values()
            for n, r in node.reports.items()
            if node.up
        }
        self._store(
            self.stored.without_member(
                node_id, self.stored.is_settled(reported_epochs)
            )
        )

    def _store(self, roster):
        self.stored = roster
        for node in self.nodes.values():
            self._deliver_reliably(node, self._offer, node, roster)
