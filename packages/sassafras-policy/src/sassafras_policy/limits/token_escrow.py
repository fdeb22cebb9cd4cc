"""A limiter with base shares at a few holders and expiring transfers."""

import math

from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import demand
from sassafras_policy.limits import limiters
from sassafras_policy.limits import request_planner
from sassafras_policy.limits import shares
from sassafras_policy.limits import token_share
from sassafras_policy.limits import transfers

# A node buffers tokens for the demand of this fraction of their lifetime, and
# requests more below the threshold fraction of the buffer. Buffered tokens are
# lost when callers move to another host: a buffer of 150 ms of demand cost 10 %
# of the rate for callers that move each second.
_BUFFER_FRACTION = 0.4
_REQUEST_THRESHOLD = 0.4
# Fraction of a lifetime that an empty holder refills before the next request.
_BATCH_FRACTION = 1 / 3
# Minimum grant as a fraction of the cap, at most one token: a smaller grant
# mostly expires before the rest of a token is found. A cap below two tokens is
# granted in halves.
_MIN_GRANT_FRACTION = 1 / 2
# Reserve of a holder for its own demand, and its maximum as a fraction of the
# cap.
_RESERVE_DEMAND_S = 0.05
_MAX_RESERVE_FRACTION = 1 / 2
# A holder that lacks tokens delays further requests, so that it responds to
# about this many a second at most.
_MAX_REQUESTS_PER_S = 200.0
_MAX_LOAD_HINT_S = 2.0
# Bounded because demand moves and shares change within a second.
_MAX_REFILL_HINT_S = 0.5
_UNKNOWN_ORGANISATION_WAIT_S = 1.0
_MIN_WAIT_S = 0.005
_MAX_WAIT_S = 10.0


class _OrganisationState:
    """Share, token requests and demand of one organisation at one node."""

    def __init__(
        self, organisation: documents.Organisation, own_id: str, now: float
    ) -> None:
        self.share = token_share.TokenShare(now, shares.MAX_LIFETIME_S)
        self.planner = request_planner.TokenRequestPlanner(
            organisation.name, own_id
        )
        self.demand = demand.RateEstimator()
        self.admitted = demand.RateEstimator()
        self.peer_requests = demand.RateEstimator()
        self.lifetime_s = shares.MAX_LIFETIME_S
        self.min_grant = 0.0
        self.batch = 0.0
        self.max_reserve = 0.0
        self.holders: tuple[str, ...] = ()
        self._applied: object = None

    def configure(
        self,
        organisation: documents.Organisation,
        context: limiters.LimiterContext,
        now: float,
    ) -> None:
        # Ranking all nodes is slow, and most calls only report that nodes
        # became alive or dead, which does not affect the ranking.
        inputs = (organisation, context.roster, context.settled)
        if inputs == self._applied:
            return
        self._applied = inputs
        allocation = shares.allocate(
            organisation,
            context.own_id,
            context.roster,
            context.settled,
        )
        self.holders = allocation.holders
        self.lifetime_s = allocation.lifetime_s
        self.min_grant = min(1.0, allocation.cap * _MIN_GRANT_FRACTION)
        self.batch = max(
            allocation.rate_per_s * allocation.lifetime_s * _BATCH_FRACTION,
            self.min_grant,
        )
        self.max_reserve = allocation.cap * _MAX_RESERVE_FRACTION
        self.share.resize(allocation.rate_per_s, allocation.cap, now)
        self.planner.configure(allocation, now)

    def desired_tokens(self, now: float) -> float:
        """Returns the tokens to hold for upcoming demand.

        At most as many as will almost certainly be spent before they expire:
        the demand of one lifetime less two standard deviations. Below one
        token none are held, as a request can wait for a grant.
        """
        demand_per_s = self.demand.rate_per_s(now)
        from_others = max(0.0, demand_per_s - self.share.rate_per_s)
        wanted = from_others * self.lifetime_s * _BUFFER_FRACTION + 1.0
        spendable = demand_per_s * self.lifetime_s
        desired_tokens = min(wanted, spendable - 2 * math.sqrt(spendable))
        return desired_tokens if desired_tokens >= 1.0 else 0.0

    def missing(self, waiting: int, now: float) -> float:
        """Returns the number of tokens to request now."""
        desired_tokens = self.desired_tokens(now)
        held = self.share.held(now) + self.planner.expected_tokens(now)
        if not waiting and held >= desired_tokens * _REQUEST_THRESHOLD:
            return 0.0
        return max(0.0, waiting + desired_tokens - held)


@limiters.limiters.register("token-escrow")
class TokenEscrow:
    """Divides rates among holders, which grant tokens to other nodes."""

    def __init__(self) -> None:
        self._states: dict[str, _OrganisationState] = {}
        self._holders: tuple[str, ...] = ()
        self._next_number = 1

    @property
    def holders(self) -> tuple[str, ...]:
        """See Limiter."""
        return self._holders

    @property
    def owned_pools(self) -> int:
        """See Limiter; every holder keeps a part."""
        return 0

    def configure(self, context: limiters.LimiterContext, now: float) -> None:
        """See Limiter."""
        states: dict[str, _OrganisationState] = {}
        holders: set[str] = set()
        for organisation in context.organisations:
            state = self._states.get(organisation.name) or _OrganisationState(
                organisation, context.own_id, now
            )
            state.configure(organisation, context, now)
            states[organisation.name] = state
            holders.update(state.holders)
        self._states = states
        self._holders = tuple(sorted(holders))

    def hold(self, until: float) -> None:
        """See Limiter; the epochs of the roster end a share."""
        del until

    def restart(self, now: float) -> None:
        """See Limiter; the epochs of the roster begin a share."""
        del now

    def counterparts(
        self,
        context: limiters.LimiterContext,
        others: frozenset[str],
        unconfirmed: frozenset[str],
    ) -> frozenset[str]:
        """See Limiter; the epochs of the roster divide the rates."""
        del context, others, unconfirmed
        return frozenset()

    def share(self, organisation: str, now: float) -> limiters.ShareState:
        """See Limiter."""
        state = self._states.get(organisation)
        if state is None:
            return limiters.ShareState()
        return limiters.ShareState(
            state.share.rate_per_s, state.share.held(now)
        )

    def record_arrival(self, organisation: str, now: float) -> None:
        """See Limiter."""
        state = self._states.get(organisation)
        if state is not None:
            state.demand.count(now)

    def take(self, organisation: str, now: float) -> bool:
        """See Limiter."""
        state = self._states.get(organisation)
        if state is None or not state.share.take(now):
            return False
        state.admitted.count(now)
        return True

    def available_in_s(
        self, organisation: str, waiting: int, now: float
    ) -> float:
        """See Limiter.

        The next token comes from this node's share or from a holder. Requests
        that wait are assumed to be admitted at the recent rate.
        """
        state = self._states.get(organisation)
        if state is None:
            return _UNKNOWN_ORGANISATION_WAIT_S
        share = state.share
        first_wait_s = min(
            share.available_in_s(1.0, now), state.planner.next_request_in_s(now)
        )
        rate_per_s = max(state.admitted.rate_per_s(now), share.rate_per_s)
        queue_wait_s = waiting / rate_per_s if rate_per_s > 0 else _MAX_WAIT_S
        wait_s = first_wait_s + (queue_wait_s if waiting else 0.0)
        return min(_MAX_WAIT_S, max(_MIN_WAIT_S, wait_s))

    def is_worth_waiting(
        self, organisation: str, waiting: int, max_wait_s: float, now: float
    ) -> bool:
        """See Limiter; any holder may grant tokens."""
        del organisation, waiting, max_wait_s, now
        return True

    def plan(
        self, organisation: str, waiting: int, now: float
    ) -> tuple[transfers.TokenRequest, ...]:
        """See Limiter."""
        state = self._states.get(organisation)
        if state is None:
            return ()
        missing = state.missing(waiting, now)
        if missing <= token_share.EPSILON:
            return ()
        chosen = state.planner.choose(missing, self._next_number, now)
        self._next_number += len(chosen)
        return tuple(chosen)

    def grant_tokens(
        self, organisation: str, wanted: float, waiting: int, now: float
    ) -> transfers.Grant:
        """See Limiter.

        A node with waiting requests of its own grants nothing, as it would
        request the tokens back.
        """
        state = self._states.get(organisation)
        if state is None:
            return transfers.Grant(0.0, 0.0, _UNKNOWN_ORGANISATION_WAIT_S)
        state.peer_requests.count(now)
        share = state.share
        lifetime_s = state.lifetime_s
        if waiting:
            return transfers.Grant(0.0, lifetime_s, lifetime_s)
        reserve = min(
            state.demand.rate_per_s(now) * _RESERVE_DEMAND_S,
            state.max_reserve,
        )
        min_grant = min(wanted, state.min_grant)
        granted = share.grant_tokens(
            wanted, min_grant, reserve, lifetime_s, now
        )
        ungranted = wanted - granted
        if ungranted <= token_share.EPSILON:
            return transfers.Grant(granted, lifetime_s, 0.0)
        next_request_in_s = min(
            share.available_in_s(reserve + min(ungranted, state.batch), now),
            _MAX_REFILL_HINT_S,
        )
        load_hint_s = (
            state.peer_requests.rate_per_s(now)
            / _MAX_REQUESTS_PER_S
            * lifetime_s
        )
        return transfers.Grant(
            granted,
            lifetime_s,
            max(next_request_in_s, min(_MAX_LOAD_HINT_S, load_hint_s)),
        )

    def receive(
        self,
        request: transfers.TokenRequest,
        grant: transfers.Grant,
        sent_at: float,
        now: float,
    ) -> None:
        """See Limiter."""
        state = self._states.get(request.organisation)
        if state is None or not state.planner.record_grant(request, grant, now):
            return
        state.share.receive(grant.granted, sent_at + grant.lifetime_s, now)

    def request_failed(
        self, request: transfers.TokenRequest, now: float
    ) -> None:
        """See Limiter."""
        state = self._states.get(request.organisation)
        if state is not None:
            state.planner.request_failed(request, now)
