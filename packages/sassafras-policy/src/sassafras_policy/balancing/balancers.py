"""Balancers, chosen by name in the settings."""

from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

from sassafras_base import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get a call.

    Attributes:
      node_id: The node beside the target.
      same_zone: Whether it is in the caller node's availability zone.
      in_flight: Calls that this node has in flight there.
      load: Load that its last answer carried, 1.0 when its limit is in use.
      capacity: Calls that it can run at once, scaled down during slow start.
    """

    node_id: str
    same_zone: bool
    in_flight: int
    load: float
    capacity: float

    @property
    def score(self) -> float:
        """Expected utilisation; lower is better."""
        return self.load + (self.in_flight + 1) / max(self.capacity, 1.0)


class Balancer(Protocol):
    """Chooses among the candidates of one service."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Returns the target for the next call, or None without candidates."""
        ...


BalancerFactory = type[Balancer]

balancers: registry.Registry[BalancerFactory] = registry.Registry("balancer")


@balancers.register("power-of-two")
class PowerOfTwo:
    """Takes the less loaded of two random candidates.

    Two random picks avoid the herding of always taking the minimum of stale
    load reports.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """See Balancer."""
        if not candidates:
            return None
        local = [c for c in candidates if c.same_zone and c.score < 1.0]
        pool = local or candidates
        if len(pool) == 1:
            return pool[0]
        first, second = self._random.sample(list(pool), 2)
        return first if first.score <= second.score else second


@balancers.register("random")
class Uniform:
    """Takes any candidate; the baseline without load information."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """See Balancer."""
        return self._random.choice(list(candidates)) if candidates else None
