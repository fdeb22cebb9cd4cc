"""Base shares at a few holders and expiring transfers between nodes."""

import math

from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import asking
from sassafras_policy.limits import demand
from sassafras_policy.limits import exchanges
from sassafras_policy.limits import limiters
from sassafras_policy.limits import shares
from sassafras_policy.limits import token_share

# Parts of the lifetime of transferred tokens. A node keeps tokens for the
# first span of its demand and asks again when it holds less than the given
# part of them. What it holds is lost when its callers move to another host:
# 150 ms of demand cost 10 % of the rate for callers that move each second.
_STOCK_SPAN = 0.4
_ASK_BELOW = 0.4
# What an emptied holder should have refilled before it is asked again.
_BATCH_SPAN = 1 / 3
# Grants below one token mostly expire before the rest of a token is found. A
# cap below two tokens is given away in halves.
_LEAST_PART_OF_CAP = 1 / 2
# What a holder keeps for its own demand, in seconds of it, and at most.
_RESERVE_SPAN_S = 0.05
_RESERVE_PART_OF_CAP = 1 / 2
# A holder that more nodes ask for more tokens than it has tells them to come
# back later, so that it answers at most about this many asks a second.
_ASKS_PER_S = 200.0
_LONGEST_CROWD_HINT_S = 2.0
# Demand moves and shares change within a second, so no hint is longer.
_LONGEST_REFILL_HINT_S = 0.5
_UNKNOWN_ORGANISATION_DUE_S = 1.0
_SHORTEST_DUE_S = 0.005
_LONGEST_DUE_S = 10.0


class _Account:
    """One organisation at one node."""

    def __init__(
        self, organisation: documents.Organisation, own_id: str, now: float
    ) -> None:
        self.share = token_share.TokenShare(now, shares.LONGEST_LIFETIME_S)
        self.asking = asking.Asking(organisation.name, own_id)
        self.demand = demand.Demand()
        self.admitted = demand.Demand()
        self.asked = demand.Demand()
        self.lifetime_s = shares.LONGEST_LIFETIME_S
        self.least = 0.0
        self.batch = 0.0
        self.longest_reserve = 0.0
        self.holders: tuple[str, ...] = ()
        self._basis: object = None

    def configure(
        self,
        organisation: documents.Organisation,
        situation: limiters.Situation,
        now: float,
    ) -> None:
        # Ranking all nodes is slow, and most changes of the situation are
        # about which of them are alive.
        basis = (organisation, situation.roster, situation.settled)
        if basis == self._basis:
            return
        self._basis = basis
        allotment = shares.allot(
            organisation,
            situation.own_id,
            situation.roster,
            situation.settled,
        )
        self.holders = allotment.holders
        self.lifetime_s = allotment.lifetime_s
        self.least = min(1.0, allotment.cap * _LEAST_PART_OF_CAP)
        self.batch = max(
            allotment.rate_per_s * allotment.lifetime_s * _BATCH_SPAN,
            self.least,
        )
        self.longest_reserve = allotment.cap * _RESERVE_PART_OF_CAP
        self.share.resize(allotment.rate_per_s, allotment.cap, now)
        self.asking.configure(allotment, now)

    def stock(self, now: float) -> float:
        """Returns the tokens to hold for the demand of the near future.

        Not more than will almost surely be spent before they expire, which is
        the demand of one lifetime less twice its usual deviation. Below one
        token none are held, as a request can wait for the answer to an ask.
        """
        demand_per_s = self.demand.rate_per_s(now)
        from_others = max(0.0, demand_per_s - self.share.rate_per_s)
        wanted = from_others * self.lifetime_s * _STOCK_SPAN + 1.0
        spent = demand_per_s * self.lifetime_s
        stock = min(wanted, spent - 2 * math.sqrt(spent))
        return stock if stock >= 1.0 else 0.0

    def missing(self, waiting: int, now: float) -> float:
        """Returns the tokens to ask for now."""
        stock = self.stock(now)
        held = self.share.held(now) + self.asking.expected(now)
        if not waiting and held >= stock * _ASK_BELOW:
            return 0.0
        return max(0.0, waiting + stock - held)


@limiters.limiters.register("token-escrow")
class TokenEscrow:
    """Shares at the holders of the roster, and transfers between nodes."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._holders: tuple[str, ...] = ()
        self._next_number = 1

    @property
    def holders(self) -> tuple[str, ...]:
        """See Limiter."""
        return self._holders

    def configure(self, situation: limiters.Situation, now: float) -> None:
        """See Limiter."""
        accounts: dict[str, _Account] = {}
        holders: set[str] = set()
        for organisation in situation.organisations:
            account = self._accounts.get(organisation.name) or _Account(
                organisation, situation.own_id, now
            )
            account.configure(organisation, situation, now)
            accounts[organisation.name] = account
            holders.update(account.holders)
        self._accounts = accounts
        self._holders = tuple(sorted(holders))

    def share(self, organisation: str, now: float) -> limiters.ShareState:
        """See Limiter."""
        account = self._accounts.get(organisation)
        if account is None:
            return limiters.ShareState()
        return limiters.ShareState(
            account.share.rate_per_s, account.share.held(now)
        )

    def arrived(self, organisation: str, now: float) -> None:
        """See Limiter."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.demand.count(now)

    def take(self, organisation: str, now: float) -> bool:
        """See Limiter."""
        account = self._accounts.get(organisation)
        if account is None or not account.share.take(now):
            return False
        account.admitted.count(now)
        return True

    def due_in_s(self, organisation: str, waiting: int, now: float) -> float:
        """See Limiter.

        Tokens come from this node's share or from a holder; with others
        waiting they come at the rate at which requests were admitted lately.
        """
        account = self._accounts.get(organisation)
        if account is None:
            return _UNKNOWN_ORGANISATION_DUE_S
        share = account.share
        first_s = min(share.due_in_s(1.0, now), account.asking.next_in_s(now))
        rate_per_s = max(account.admitted.rate_per_s(now), share.rate_per_s)
        others_s = waiting / rate_per_s if rate_per_s > 0 else _LONGEST_DUE_S
        due_s = first_s + (others_s if waiting else 0.0)
        return min(_LONGEST_DUE_S, max(_SHORTEST_DUE_S, due_s))

    def is_worth_waiting(
        self, organisation: str, waiting: int, longest_s: float, now: float
    ) -> bool:
        """See Limiter; any holder may answer an ask with tokens."""
        del organisation, waiting, longest_s, now
        return True

    def plan(
        self, organisation: str, waiting: int, now: float
    ) -> tuple[exchanges.Ask, ...]:
        """See Limiter."""
        account = self._accounts.get(organisation)
        if account is None:
            return ()
        missing = account.missing(waiting, now)
        if missing <= token_share.EPSILON:
            return ()
        chosen = account.asking.choose(missing, self._next_number, now)
        self._next_number += len(chosen)
        return tuple(chosen)

    def give(
        self, organisation: str, wanted: float, waiting: int, now: float
    ) -> exchanges.Grant:
        """See Limiter.

        A node with waiting requests of its own gives nothing, as the tokens
        would only be asked back.
        """
        account = self._accounts.get(organisation)
        if account is None:
            return exchanges.Grant(0.0, 0.0, _UNKNOWN_ORGANISATION_DUE_S)
        account.asked.count(now)
        share = account.share
        lifetime_s = account.lifetime_s
        if waiting:
            return exchanges.Grant(0.0, lifetime_s, lifetime_s)
        reserve = min(
            account.demand.rate_per_s(now) * _RESERVE_SPAN_S,
            account.longest_reserve,
        )
        least = min(wanted, account.least)
        granted = share.give(wanted, least, reserve, lifetime_s, now)
        left = wanted - granted
        if left <= token_share.EPSILON:
            return exchanges.Grant(granted, lifetime_s, 0.0)
        next_in_s = min(
            share.due_in_s(reserve + min(left, account.batch), now),
            _LONGEST_REFILL_HINT_S,
        )
        crowd_s = account.asked.rate_per_s(now) / _ASKS_PER_S * lifetime_s
        return exchanges.Grant(
            granted,
            lifetime_s,
            max(next_in_s, min(_LONGEST_CROWD_HINT_S, crowd_s)),
        )

    def receive(
        self,
        ask: exchanges.Ask,
        grant: exchanges.Grant,
        sent_at: float,
        now: float,
    ) -> None:
        """See Limiter."""
        account = self._accounts.get(ask.organisation)
        if account is None or not account.asking.answered(ask, grant, now):
            return
        account.share.receive(grant.granted, sent_at + grant.lifetime_s, now)

    def failed(self, ask: exchanges.Ask, now: float) -> None:
        """See Limiter."""
        account = self._accounts.get(ask.organisation)
        if account is not None:
            account.asking.failed(ask, now)
