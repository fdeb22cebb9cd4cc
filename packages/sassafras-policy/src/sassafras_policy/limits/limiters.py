"""Interface and registry of limiters; the settings name the one in use."""

import dataclasses
from typing import Protocol
from typing import runtime_checkable

from sassafras_base import registry
from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import transfers
from sassafras_policy.membership import roster as rosters


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """What a deployment allows beyond rate and burst over all hosts.

    Attributes:
      ratio: Fraction of rate and burst.
      requests: Additional requests in each window.
    """

    ratio: float = 0.0
    requests: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimiterContext:
    """The inputs from which a limiter computes its shares.

    Attributes:
      organisations: The current organisations with their rates and bursts.
      own_id: Id of the node that the limiter belongs to.
      hosts: Number of nodes known to be alive, this one included.
      roster: The newest epoch of the roster that the node has seen.
      settled: Whether every member is known to have applied that epoch.
      tolerance: What the fleet may admit beyond rate and burst.
      nodes: Ids of the nodes that may own a pool.
    """

    organisations: tuple[documents.Organisation, ...]
    own_id: str
    hosts: int
    roster: rosters.Roster
    settled: bool
    tolerance: Tolerance = Tolerance()
    nodes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ShareState:
    """One node's share of an organisation's tokens, for operators.

    Attributes:
      rate_per_s: Base rate of the node.
      held: Tokens that it can spend now.
      demand_per_s: Requests a second at this node; 0 when not counted.
      fleet_demand_per_s: Requests a second at all nodes that reported theirs.
      pool_owner: The node that this one asks for tokens, or itself; empty for
        none.
    """

    rate_per_s: float = 0.0
    held: float = 0.0
    demand_per_s: float = 0.0
    fleet_demand_per_s: float = 0.0
    pool_owner: str = ""


class Limiter(Protocol):
    """Decides whether a root request of an organisation may be admitted.

    All times are seconds on one clock that includes time spent suspended.
    """

    @property
    def holders(self) -> tuple[str, ...]:
        """The other nodes to which token requests may go."""
        ...

    @property
    def owned_pools(self) -> int:
        """Number of organisations for which this node owns the pool."""
        ...

    def configure(self, context: LimiterContext, now: float) -> None:
        """Applies rates, bursts and the roster."""
        ...

    def hold(self, until: float) -> None:
        """Uses this node's shares and pools until a time, and no longer."""
        ...

    def restart(self, now: float) -> None:
        """Leaves this node as few tokens as one that has just started.

        Others may have used its shares and pools meanwhile.
        """
        ...

    def counterparts(
        self,
        context: LimiterContext,
        others: frozenset[str],
        unconfirmed: frozenset[str],
    ) -> frozenset[str]:
        """Returns the nodes that must count this one before it uses a share.

        Args:
          context: The inputs from which the share would be computed, with
            unconfirmed nodes.
          others: Nodes that may use a share, without those that are silent.
          unconfirmed: Nodes of which only a record is known.
        """
        ...

    def share(self, organisation: str, now: float) -> ShareState:
        """Returns this node's share, for operators."""
        ...

    def record_arrival(self, organisation: str, now: float) -> None:
        """Counts a request that needs a token."""
        ...

    def take(self, organisation: str, now: float) -> bool:
        """Takes a token; returns False when there is none."""
        ...

    def available_in_s(
        self, organisation: str, waiting: int, now: float
    ) -> float:
        """Returns the estimated wait for a token, behind waiting requests."""
        ...

    def is_worth_waiting(
        self, organisation: str, waiting: int, max_wait_s: float, now: float
    ) -> bool:
        """Returns whether a token may be available within `max_wait_s`."""
        ...

    def plan(
        self, organisation: str, waiting: int, now: float
    ) -> tuple[transfers.TokenRequest, ...]:
        """Returns the token requests to send; each counts as in flight."""
        ...

    def grant_tokens(
        self, organisation: str, wanted: float, waiting: int, now: float
    ) -> transfers.Grant:
        """Deducts and returns tokens that another node requested."""
        ...

    def receive(
        self,
        request: transfers.TokenRequest,
        grant: transfers.Grant,
        sent_at: float,
        now: float,
    ) -> None:
        """Adds the tokens of a grant."""
        ...

    def request_failed(
        self, request: transfers.TokenRequest, now: float
    ) -> None:
        """Records a token request without a response."""
        ...


@runtime_checkable
class DemandRecorder(Protocol):
    """A limiter that divides rates in proportion to demand at each host."""

    @property
    def divides_rates(self) -> bool:
        """Whether the demand at every host is needed for any rate."""
        ...

    def demand(self, now: float) -> dict[str, float]:
        """Returns the requests a second that arrive here, by organisation."""
        ...

    def record_demand(
        self, node_id: str, demand: dict[str, float], now: float
    ) -> None:
        """Records the demand that another host reported."""
        ...

    def forget(self, node_id: str) -> None:
        """Removes a host that has left."""
        ...


limiters: registry.Registry[type[Limiter]] = registry.Registry("limiter")
