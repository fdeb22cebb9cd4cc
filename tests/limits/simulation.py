"""Limiters of many nodes that exchange messages over a bad network.

A small event queue in place of processes: nothing here opens a socket or
waits in real time. Messages are lost, doubled, delayed and reordered; nodes
pause, restart, are cut off, join and are forgotten; the rate changes.
"""

import dataclasses
import heapq
import itertools

from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import exchanges
from sassafras_policy.limits import limiters
from sassafras_policy.limits import shares
from sassafras_policy.limits import token_escrow
from sassafras_policy.limits import token_share
from sassafras_policy.membership import roster as rosters
from sassafras_policy.membership import roster_holder

ORGANISATION = "national-bank"
REPORT_DELAY_S = 0.3
HOARDING = 100
_RETRY_S = 0.01


@dataclasses.dataclass(frozen=True)
class Report:
    """The part of a membership record that settles an epoch."""

    node_id: str
    incarnation: int
    roster_epoch: int


class Greedy:
    """A limiter that asks all holders for everything, whenever it can.

    It uses the shares and the allotment of the product without the restraint
    of its asks, so that tokens in excess of the bound are found and spent.
    """

    def __init__(self):
        self.share = None
        self.holders = ()
        self._numbers = itertools.count()
        self._awaited = set()

    def configure(self, situation, now):
        (organisation,) = situation.organisations
        allotment = shares.allot(
            organisation,
            situation.own_id,
            situation.roster,
            situation.settled,
        )
        if self.share is None:
            self.share = token_share.TokenShare(now, shares.LONGEST_LIFETIME_S)
        self.share.resize(allotment.rate_per_s, allotment.cap, now)
        self.holders = allotment.holders
        self.lifetime_s = allotment.lifetime_s

    def arrived(self, organisation, now):
        pass

    def take(self, organisation, now):
        return self.share.take(now)

    def plan(self, organisation, waiting, now):
        # Requests do not ask; `Simulation.hoard` does, at its own times.
        if waiting < HOARDING:
            return []
        asks = [
            exchanges.Ask(next(self._numbers), holder, organisation, 1e6, now)
            for holder in self.holders
        ]
        self._awaited.update(ask.number for ask in asks)
        return asks

    def give(self, organisation, wanted, waiting, now):
        granted = self.share.give(wanted, 0.0, 0.0, self.lifetime_s, now)
        return exchanges.Grant(granted, self.lifetime_s, 0.0)

    def receive(self, ask, grant, sent_at, now):
        if ask.number in self._awaited:
            self._awaited.discard(ask.number)
            expires_at = sent_at + grant.lifetime_s
            self.share.receive(grant.granted, expires_at, now)


class Node:
    """One node: its limiter and what it knows of the roster."""

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
        self.holder = roster_holder.RosterHolder()

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
        self.doubling = 0.0
        self.longest_delay_s = 0.02
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
        entry = (self.now + delay_s, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def run_until(self, end):
        while self._events and self._events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end

    # What happens to nodes.

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

    def leave_for_good(self, node_id):
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
            self._to(node, self._configure_new, node, self.organisation)

    def request(self, node_id):
        """A request arrives; returns whether it is admitted."""
        node = self.nodes[node_id]
        if not node.up or node.paused_until > self.now:
            return False
        node.limiter.arrived(ORGANISATION, self.now)
        taken = self._take(node)
        if not taken:
            self.after(_RETRY_S, self._retry, node, node.incarnation, 5)
        self._plan(node, 0 if taken else 1)
        return taken

    def hoard(self, node_id):
        """A node asks for tokens although no request needs them."""
        node = self.nodes[node_id]
        if node.up and node.paused_until <= self.now:
            self._plan(node, HOARDING)

    def _retry(self, node, incarnation, left):
        """A request that waits for a token, for 50 ms in all."""
        if not node.up or node.incarnation != incarnation:
            return
        if node.paused_until > self.now or self._take(node):
            return
        self._plan(node, 1)
        if left > 1:
            self.after(_RETRY_S, self._retry, node, incarnation, left - 1)

    def _take(self, node):
        taken = node.limiter.take(ORGANISATION, self.now)
        if taken:
            self.admitted.append(self.now)
        return taken

    def _plan(self, node, waiting):
        for ask in node.limiter.plan(ORGANISATION, waiting, self.now):
            self._send(
                node,
                self.nodes[ask.holder],
                self._on_ask,
                node,
                node.limiter,
                ask,
                self.now,
            )

    # The network.

    def _send(self, sender, receiver, action, *arguments):
        copies = 2 if self.rng.random() < self.doubling else 1
        for _ in range(copies):
            if self.rng.random() < self.loss or sender.cut or receiver.cut:
                continue
            delay_s = self.rng.uniform(0.0, self.longest_delay_s)
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

    def _to(self, receiver, action, *arguments):
        """Delivers what is retried until it arrives, such as a document."""
        if receiver.cut or not receiver.up:
            self.after(0.5, self._to, receiver, action, *arguments)
            return
        delay_s = self.rng.uniform(0.0, 1.0)
        self.after(delay_s, self._deliver, receiver, action, arguments)

    # What nodes do.

    def _on_ask(self, asker, asking_limiter, ask, sent_at):
        holder = self.nodes[ask.holder]
        waiting = self.rng.randint(0, 1) if self.rng.random() < 0.1 else 0
        grant = holder.limiter.give(ORGANISATION, ask.wanted, waiting, self.now)
        self._send(
            holder, asker, self._on_grant, asking_limiter, ask, grant, sent_at
        )

    def _on_grant(self, asking_limiter, ask, grant, sent_at):
        asking_limiter.receive(ask, grant, sent_at, self.now)

    def _boot(self, node):
        if node.up:
            return
        node.boot()
        node.organisation = self.organisation
        # A node reads the roster from the store when it starts.
        node.holder.offer(self.stored)
        self._configure(node)
        self._schedule_report(node)

    def _heal(self, node):
        node.cut = False

    def _configure_new(self, node, organisation):
        node.organisation = organisation
        self._configure(node)

    def _configure(self, node):
        known = node.reports.values()
        node.limiter.configure(
            limiters.Situation(
                organisations=(node.organisation,),
                own_id=node.node_id,
                hosts=len(self.nodes),
                roster=node.holder.current,
                settled=node.holder.is_settled(known),
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
                self._spread(node, other, report)

    def _spread(self, sender, receiver, report):
        if sender.cut:
            self.after(0.5, self._spread, sender, receiver, report)
        else:
            self._to(receiver, self._learn, receiver, report)

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
        known = {n: r.roster_epoch for n, r in watcher.reports.items()}
        if self.stored.epoch and not self.stored.is_settled(known):
            return
        joining = [
            rosters.Member(node.node_id, "desk")
            for node in self.nodes.values()
            if node.up
            and node.node_id not in self.stored.node_ids
            and (
                node.node_id not in self.stored.forgotten
                or known.get(node.node_id, 0) >= self.stored.epoch
            )
        ]
        if joining:
            self._store(self.stored.with_members(joining))

    def _forget(self, node_id):
        if self.nodes[node_id].up or node_id not in self.stored.node_ids:
            return
        known = {
            n: r.roster_epoch
            for node in self.nodes.values()
            for n, r in node.reports.items()
            if node.up
        }
        self._store(
            self.stored.without_member(node_id, self.stored.is_settled(known))
        )

    def _store(self, roster):
        self.stored = roster
        for node in self.nodes.values():
            self._to(node, self._offer, node, roster)
