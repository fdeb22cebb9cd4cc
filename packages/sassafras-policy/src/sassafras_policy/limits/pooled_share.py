"""A limiter with a shared pool for each rate and small local shares."""

import dataclasses

from sassafras_base import hashing
from sassafras_policy.configuration import document
from sassafras_policy.limits import demand_share
from sassafras_policy.limits import limiters
from sassafras_policy.limits import static_share
from sassafras_policy.limits import transfers

# Fraction of a rate in the pool. The rest is divided by demand and serves
# requests while the pool owner is unreachable.
_POOL_FRACTION = 0.75
# Dividing a rate by demand needs a link between every two hosts. In larger
# fleets the pools get the whole rates.
_MAX_DIVIDING_HOSTS = 17
# Fraction of the requests tolerated beyond rate and burst that may cover a
# bucket of one token at each host.
_BUCKET_FRACTION = 0.85
# Initial level of a new owner's pool, as a fraction of the requests tolerated
# beyond rate and burst. With rolling restarts owners change several times in
# a window.
_INITIAL_FRACTION = 0.2
# Unused granted tokens expire after this time, so that a host cannot
# accumulate them.
_GRANT_LIFETIME_S = 1.0
# Wait after a failed request to the pool.
_FAILURE_BACKOFF_S = 0.3
# One token request covers the demand of this span, and a host that received
# less than it wanted waits as long before the next. Without the pause, 16 hosts
# sent requests to a depleted pool every few milliseconds, which overloaded its
# owner until only the local shares of all rates were served.
_BATCH_S = 0.1
# Requests that wait for one grant. More of them indicate an organisation far
# above its rate, for which waiting only adds work.
_MAX_WAITING = 8
_UNKNOWN_ORGANISATION_WAIT_S = 1.0


@dataclasses.dataclass(slots=True)
class _PoolClient:
    """Granted tokens and the pending request of one organisation.

    Attributes:
      owner: The host that owns the pool.
      tokens: Granted tokens that are left.
      expires_at: When they expire.
      pending_number: Number of the request in flight; 0 for none.
      next_request_at: Earliest time of the next request.
    """

    owner: str
    tokens: float = 0.0
    expires_at: float = 0.0
    pending_number: int = 0
    next_request_at: float = 0.0

    def take(self, now: float) -> bool:
        """Takes one token; returns False when there is none."""
        if now >= self.expires_at or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@limiters.limiters.register("pooled-share")
class PooledShare(demand_share.DemandShare):
    """Keeps most of each rate in a pool at one host, chosen by hash.

    A small rate divided among many hosts leaves each a fraction of a request a
    second, so random arrivals find their share empty although the organisation
    is far below its rate. The pool serves any host on demand. A new pool owner
    starts nearly empty, so that tokens just granted by the previous owner are
    not granted twice.
    """

    def __init__(self) -> None:
        super().__init__()
        self._clients: dict[str, _PoolClient] = {}
        self._pools: dict[str, static_share.TokenBucket] = {}
        self._owners = hashing.RendezvousTable()
        self._own_id = ""
        self._next_number = 1

    @property
    def holders(self) -> tuple[str, ...]:
        """See Limiter."""
        owners = {client.owner for client in self._clients.values()}
        return tuple(sorted(owners - {self._own_id}))

    @property
    def owned_pools(self) -> int:
        """See Limiter."""
        return len(self._pools)

    def configure(self, context: limiters.LimiterContext, now: float) -> None:
        """See Limiter."""
        super().configure(context, now)
        self._own_id = context.own_id
        clients: dict[str, _PoolClient] = {}
        pools: dict[str, static_share.TokenBucket] = {}
        factor = 1.0 + context.tolerance.ratio * demand_share.TOLERANCE_FRACTION
        owners = self._owners.update(
            [organisation.name for organisation in context.organisations],
            context.nodes or (context.own_id,),
        )
        for organisation in context.organisations:
            name = organisation.name
            owner = owners[name]
            previous = self._clients.get(name)
            is_same_owner = previous is not None and previous.owner == owner
            clients[name] = (
                previous if previous and is_same_owner else _PoolClient(owner)
            )
            if owner == context.own_id:
                pool_fraction = 1.0 - self._divided_fraction(organisation)
                rate_per_s = organisation.rate_per_s * pool_fraction * factor
                capacity = max(1.0, organisation.burst * pool_fraction)
                pool = self._pools.get(name) if is_same_owner else None
                if pool is None:
                    level = min(_initial_level(context), capacity)
                    pool = static_share.TokenBucket(
                        rate_per_s, capacity, now, level
                    )
                pool.resize(rate_per_s, capacity, now)
                pools[name] = pool
        self._clients = clients
        self._pools = pools

    def share(self, organisation: str, now: float) -> limiters.ShareState:
        """See Limiter."""
        state = super().share(organisation, now)
        client = self._clients.get(organisation)
        if client is None:
            return state
        return dataclasses.replace(state, pool_owner=client.owner)

    def restart(self, now: float) -> None:
        """See Limiter."""
        super().restart(now)
        assert self._context is not None
        for pool in self._pools.values():
            pool.limit_level(_initial_level(self._context), now)

    def counterparts(
        self,
        context: limiters.LimiterContext,
        others: frozenset[str],
        unconfirmed: frozenset[str],
    ) -> frozenset[str]:
        """See Limiter.

        Where rates may be divided, each share depends on all nodes. A pool is
        taken over from the node that would own it without this one. An
        unconfirmed node owns none, so this one takes over from it as well.
        """
        if context.hosts <= _MAX_DIVIDING_HOSTS:
            return others
        candidates = [*(others & frozenset(context.nodes)), context.own_id]
        previous: set[str] = set()
        for organisation in context.organisations:
            first, *second = hashing.rendezvous(
                organisation.name, candidates, 2
            )
            if first == context.own_id:
                previous.update(second)
            elif first in unconfirmed:
                previous.add(first)
        return frozenset(previous)

    def demand(self, now: float) -> dict[str, float]:
        """See DemandRecorder.

        A rate whose pool is the whole of it is not divided by demand.
        """
        assert self._context is not None
        divided = {
            organisation.name
            for organisation in self._context.organisations
            if self._divided_fraction(organisation) > 0.0
        }
        return {
            name: rate
            for name, rate in super().demand(now).items()
            if name in divided
        }

    def _divided_fraction(self, organisation: document.Organisation) -> float:
        """Returns the fraction of a rate that is not in its pool.

        A host needs a bucket of at least one token to admit anything. Where
        local shares of the burst are smaller, these buckets add to the burst;
        unless the deployment tolerates that, the pool gets the whole rate.
        """
        assert self._context is not None
        hosts = max(1, self._context.hosts)
        if hosts > _MAX_DIVIDING_HOSTS:
            return 0.0
        local_fraction = 1.0 - _POOL_FRACTION
        if organisation.burst * local_fraction >= hosts:
            return local_fraction
        if hosts <= self._context.tolerance.requests * _BUCKET_FRACTION:
            return local_fraction
        return 0.0

    def take(self, organisation: str, now: float) -> bool:
        """See Limiter.

        Local tokens are taken first: a full local bucket loses its refill,
        while the pool serves every host.
        """
        if super().take(organisation, now):
            return True
        pool = self._pools.get(organisation)
        if pool is not None and now < self._held_until and pool.take(now):
            return True
        client = self._clients.get(organisation)
        return client is not None and client.take(now)

    def available_in_s(
        self, organisation: str, waiting: int, now: float
    ) -> float:
        """See Limiter."""
        client = self._clients.get(organisation)
        if client is None:
            return _UNKNOWN_ORGANISATION_WAIT_S
        pool = self._pools.get(organisation)
        wait_s = super().available_in_s(organisation, waiting, now)
        if pool is None:
            next_request_in_s = max(client.next_request_at - now, 0.0)
            return min(wait_s, next_request_in_s + _BATCH_S)
        if now >= self._held_until:
            return wait_s
        return min(wait_s, pool.available_in_s(waiting + 1, now))

    def is_worth_waiting(
        self, organisation: str, waiting: int, max_wait_s: float, now: float
    ) -> bool:
        """See Limiter."""
        client = self._clients.get(organisation)
        if client is None or waiting >= _MAX_WAITING:
            return False
        if client.owner != self._own_id and (
            client.pending_number or client.next_request_at - now <= max_wait_s
        ):
            return True
        return self.available_in_s(organisation, waiting, now) <= max_wait_s

    def plan(
        self, organisation: str, waiting: int, now: float
    ) -> tuple[transfers.TokenRequest, ...]:
        """See Limiter."""
        client = self._clients.get(organisation)
        if client is None or client.owner == self._own_id:
            return ()
        if not waiting or client.pending_number or now < client.next_request_at:
            return ()
        client.pending_number = self._next_number
        self._next_number += 1
        extra = self._states[organisation].arrivals.rate_per_s(now) * _BATCH_S
        return (
            transfers.TokenRequest(
                number=client.pending_number,
                holder=client.owner,
                organisation=organisation,
                wanted=waiting + int(extra),
                planned_at=now,
            ),
        )

    def grant_tokens(
        self, organisation: str, wanted: float, waiting: int, now: float
    ) -> transfers.Grant:
        """See Limiter."""
        del waiting
        pool = self._pools.get(organisation)
        if pool is None or now >= self._held_until:
            # While a node starts, or has lost its lease, others may take it for
            # the owner.
            return transfers.Grant(0.0, 0.0, _BATCH_S, has_pool=False)
        granted = 0
        while granted < wanted and pool.take(now):
            granted += 1
        next_request_in_s = 0.0
        if granted < wanted:
            next_request_in_s = max(_BATCH_S, pool.available_in_s(1, now))
        return transfers.Grant(
            float(granted), _GRANT_LIFETIME_S, next_request_in_s
        )

    def receive(
        self,
        request: transfers.TokenRequest,
        grant: transfers.Grant,
        sent_at: float,
        now: float,
    ) -> None:
        """See Limiter."""
        client = self._clients.get(request.organisation)
        if client is None or client.pending_number != request.number:
            return
        client.pending_number = 0
        client.next_request_at = now + grant.next_request_in_s
        left = client.tokens if now < client.expires_at else 0.0
        client.tokens = left + grant.granted
        client.expires_at = sent_at + grant.lifetime_s

    def request_failed(
        self, request: transfers.TokenRequest, now: float
    ) -> None:
        """See Limiter."""
        client = self._clients.get(request.organisation)
        if client is not None and client.pending_number == request.number:
            client.pending_number = 0
            client.next_request_at = now + _FAILURE_BACKOFF_S


def _initial_level(context: limiters.LimiterContext) -> float:
    return context.tolerance.requests * _INITIAL_FRACTION
