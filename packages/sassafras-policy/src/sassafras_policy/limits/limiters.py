"""The interface and the registry of limiters, chosen in the settings."""

import dataclasses
from typing import Protocol
from typing import runtime_checkable

from sassafras_base import registry
from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import exchanges
from sassafras_policy.membership import roster as rosters


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """What a deployment allows beyond rate and burst over all hosts.

    Attributes:
      ratio: Part of rate and burst.
      requests: Requests in each window, besides.
    """

    ratio: float = 0.0
    requests: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a limiter computes its shares from.

    Attributes:
      organisations: The organisations in force with their rates and bursts.
      own_id: Id of the node that the limiter belongs to.
      hosts: Nodes that are known to be alive, this one included.
      roster: The newest epoch of the roster that the node has seen.
      settled: Whether every member is known to have applied that epoch.
      tolerance: What the fleet may admit beyond rate and burst.
      nodes: Ids of the nodes that may keep something for the others.
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
    """One node's part in the tokens of an organisation, for operators.

    Attributes:
      rate_per_s: Base rate of the node.
      held: Tokens that it can spend now.
      demand_per_s: Requests that arrive at it, as far as counted.
      fleet_demand_per_s: Requests that arrive at all nodes, as far as heard.
    """

    rate_per_s: float = 0.0
    held: float = 0.0
    demand_per_s: float = 0.0
    fleet_demand_per_s: float = 0.0


class Limiter(Protocol):
    """Decides whether a root request of an organisation may be admitted.

    All times are seconds on one clock that includes time spent suspended.
    """

    @property
    def holders(self) -> tuple[str, ...]:
        """The other nodes that may be asked for tokens."""
        ...

    def configure(self, situation: Situation, now: float) -> None:
        """Takes over rates, bursts and the roster."""
        ...

    def share(self, organisation: str, now: float) -> ShareState:
        """Returns this node's part, for operators."""
        ...

    def arrived(self, organisation: str, now: float) -> None:
        """Counts a request that needs a token."""
        ...

    def take(self, organisation: str, now: float) -> bool:
        """Returns whether a token was taken."""
        ...

    def due_in_s(self, organisation: str, waiting: int, now: float) -> float:
        """Returns when a token is likely to be there, with others waiting."""
        ...

    def is_worth_waiting(
        self, organisation: str, waiting: int, longest_s: float, now: float
    ) -> bool:
        """Returns whether a token may come in time, with others waiting."""
        ...

    def plan(
        self, organisation: str, waiting: int, now: float
    ) -> tuple[exchanges.Ask, ...]:
        """Returns the asks to send now; each counts as in flight."""
        ...

    def give(
        self, organisation: str, wanted: float, waiting: int, now: float
    ) -> exchanges.Grant:
        """Deducts and returns tokens that another node asked for."""
        ...

    def receive(
        self,
        ask: exchanges.Ask,
        grant: exchanges.Grant,
        sent_at: float,
        now: float,
    ) -> None:
        """Takes over the tokens of the answer to an ask."""
        ...

    def failed(self, ask: exchanges.Ask, now: float) -> None:
        """Notes that an ask was not answered."""
        ...


@runtime_checkable
class DemandListener(Protocol):
    """A limiter that divides rates by the demand at each host."""

    def demand(self, now: float) -> dict[str, float]:
        """Returns the requests a second that arrive here, by organisation."""
        ...

    def heard(self, node_id: str, demand: dict[str, float], now: float) -> None:
        """Takes over the demand at another host."""
        ...

    def forget(self, node_id: str) -> None:
        """Drops a host that is gone."""
        ...


limiters: registry.Registry[type[Limiter]] = registry.Registry("limiter")
