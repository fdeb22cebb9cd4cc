"""Load balancers, selected by name in the settings."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
from typing import ClassVar
from typing import Protocol
from typing import TypeVar

from sassafras_base import registry

# Targets whose shares of rejected calls differ by this much at most count as
# equal, and a target that rejects no more than this as one that rejects none.
MAX_REJECTED_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get a call.

    Attributes:
      node_id: The node of the target.
      same_zone: Whether it is in the same availability zone as this node.
      in_flight: Calls that this node has in flight there; where reports are
        used, only those that `load` does not include.
      load: Load in its last response; 1.0 when its limit is reached.
      capacity: Maximum concurrent calls; scaled down during slow start, or
        the reported limit where reports are used.
      errors: Its recent errors; each counts as a call in flight.
      ejected: Whether it is ejected because of errors.
      rejected_share: Share of the calls that it rejected of late, of those that
        reached it.
      cold: Whether it gets calls at a low rate only.
      service_s: Time that a call takes there; 0 if that is not known.
      excess_s: Part of that time by which it is slower than targets of one
        service usually differ.
      room: Score below which calls are not likely to wait there.
    """

    node_id: str
    same_zone: bool
    in_flight: int
    load: float
    capacity: float
    errors: float = 0.0
    ejected: bool = False
    rejected_share: float = 0.0
    cold: bool = False
    service_s: float = 0.0
    excess_s: float = 0.0
    room: float = 1.0

    @property
    def score(self) -> float:
        """Expected utilisation; lower is better."""
        calls = self.in_flight + self.errors + 1
        return self.load + calls / max(self.capacity, 1.0)


# What a balancer takes samples of; it compares them by their abilities only.
EntryT = TypeVar("EntryT")

# Returns for each entry the rate of work that its target can do, to compare.
Abilities = Callable[[Sequence[EntryT]], Sequence[float]]


class Balancer(Protocol):
    """Chooses among the candidates of one service.

    Attributes:
      uses_reports: Whether nodes report limit and service time of their local
        targets with each response.
    """

    uses_reports: ClassVar[bool]

    def sample(
        self,
        entries: Sequence[EntryT],
        size: int,
        abilities: Abilities[EntryT],
        now: float,
    ) -> Sequence[EntryT]:
        """Returns some of the targets, from which to make candidates.

        Args:
          entries: The targets; the same object as long as they are the same.
          size: How many to return at most.
          abilities: Returns the abilities of targets.
          now: The current time.
        """
        ...

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Returns the target for the next call, or None without candidates."""
        ...


def without_ejected(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Returns the candidates to choose from.

    At most half of the targets are excluded, starting with those that have the
    most recent errors. If more of them fail, the cause is probably not in the
    targets, and the remaining ones could not take the load of all.
    """
    ejected = [c for c in candidates if c.ejected]
    if not ejected:
        return list(candidates)
    ejected.sort(key=lambda c: (-c.errors, c.node_id))
    excluded = {c.node_id for c in ejected[: len(candidates) // 2]}
    return [c for c in candidates if c.node_id not in excluded]


def prefer_warm(
    candidates: Sequence[Candidate], is_repeat: bool = False
) -> Sequence[Candidate]:
    """Returns the warm candidates with room, or all if there are none.

    A cold target has a low load, as it gets calls at a low rate only, and
    balancers would prefer it.

    Args:
      candidates: The candidates.
      is_repeat: Whether another target has refused the call. It then goes to a
        warm target without room, which may queue it, before a cold one.
    """
    for candidate in candidates:
        if candidate.cold:
            break
    else:
        return candidates
    warm = [
        c
        for c in candidates
        if not c.cold and not c.ejected and (is_repeat or c.score < 1.0)
    ]
    return warm or candidates


def least_rejecting(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Returns those of the candidates with room that reject the fewest calls.

    A target that rejects calls at once has a low load, by which balancers would
    prefer it. If no candidate has room, all of them are compared.
    """
    usable = without_ejected(candidates)
    pool = [c for c in usable if c.score < 1.0] or usable
    if not pool:
        return []
    limit = min(c.rejected_share for c in pool) + MAX_REJECTED_SHARE
    return [c for c in pool if c.rejected_share <= limit]


BalancerFactory = type[Balancer]

balancers: registry.Registry[BalancerFactory] = registry.Registry("balancer")


class UniformSampling:
    """Base of the balancers that know no abilities."""

    uses_reports: ClassVar[bool] = False

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def sample(
        self,
        entries: Sequence[EntryT],
        size: int,
        abilities: Abilities[EntryT],
        now: float,
    ) -> Sequence[EntryT]:
        """See Balancer."""
        del abilities, now
        if len(entries) <= size:
            return entries
        return self._random.sample(entries, size)


@balancers.register("power-of-two")
class PowerOfTwo(UniformSampling):
    """Chooses the less loaded of two random candidates.

    Always choosing the minimum of stale load reports would cause herding.
    """

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """See Balancer."""
        if not candidates:
            return None
        usable = without_ejected(candidates)
        local = [c for c in usable if c.same_zone and c.score < 1.0]
        pool = local or usable
        if len(pool) == 1:
            return pool[0]
        first, second = self._random.sample(pool, 2)
        return first if first.score <= second.score else second


@balancers.register("random")
class Uniform(UniformSampling):
    """Chooses a random candidate; the baseline without load information."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """See Balancer."""
        return self._random.choice(list(candidates)) if candidates else None
