"""A balancer that compares the expected waits of a few able targets."""

from collections.abc import Sequence
import itertools
import random
from typing import Any
from typing import ClassVar

from sassafras_policy.balancing import balancers

# Abilities change over seconds; each use of a list of targets would otherwise
# look at all of them.
_ABILITY_AGE_S = 0.25
# Lists of targets whose abilities are kept; there is one for each service, and
# one for its part in the zone.
_MAX_LISTS = 1024
# Targets that are compared. More would let all nodes choose the same target
# while its report is old.
_MAX_COMPARED = 3
# Targets of a sample, of which some may be ejected or reject calls.
_MAX_SAMPLE = 6
# Draws for each target of a sample, as an able one is drawn several times.
_DRAWS = 2
# A shorter wait is not worth the traffic between availability zones. It is of
# the order of the round trip, and small beside the waits of a full target.
_CROSSING_S = 0.002
# Time of a call at targets that have not reported it yet.
_UNKNOWN_SERVICE_S = 0.1


@balancers.balancers.register("expected-wait")
class ExpectedWait:
    """Chooses by ability, unless another target has a shorter expected wait.

    Targets are sampled in proportion to the work that they can do. The first
    of a sample gets the call if none of the others is clearly better: a shorter
    wait for a slot, or a lower load where neither has a wait. The time by which
    a target is slower than any usual one counts as a wait.
    """

    uses_reports: ClassVar[bool] = True

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        # Targets, sums of their abilities and when these expire, by the
        # identity of the list of targets, which is kept so that no other list
        # can have the same.
        self._lists: dict[
            int, tuple[Sequence[Any], Sequence[float], float]
        ] = {}

    def sample(
        self,
        entries: Sequence[balancers.EntryT],
        size: int,
        abilities: balancers.Abilities[balancers.EntryT],
        now: float,
    ) -> Sequence[balancers.EntryT]:
        """See Balancer."""
        count = len(entries)
        if count <= 1:
            return entries
        known = self._lists.get(id(entries))
        if known is None or known[2] <= now:
            if len(self._lists) >= _MAX_LISTS:
                self._lists.clear()
            sums = list(itertools.accumulate(abilities(entries)))
            known = (entries, sums, now + _ABILITY_AGE_S)
            self._lists[id(entries)] = known
        size = min(size, _MAX_SAMPLE)
        drawn = dict.fromkeys(
            self._random.choices(
                range(count), cum_weights=known[1], k=_DRAWS * size
            )
        )
        return [entries[index] for index in itertools.islice(drawn, size)]

    def choose(
        self, candidates: Sequence[balancers.Candidate]
    ) -> balancers.Candidate | None:
        """See Balancer."""
        for candidate in candidates:
            if candidate.ejected:
                candidates = balancers.without_ejected(candidates)
                break
        best: balancers.Candidate | None = None
        best_wait_s = best_score = 0.0
        for candidate in candidates[:_MAX_COMPARED]:
            capacity = max(candidate.capacity, 1.0)
            calls = candidate.in_flight + candidate.errors
            # Without the call to place, which would weigh more the lower the
            # limit is: a target that starts would get none.
            score = candidate.load + calls / capacity
            service_s = candidate.service_s or _UNKNOWN_SERVICE_S
            wait_s = candidate.excess_s
            if not candidate.same_zone:
                wait_s += _CROSSING_S
            if score + 1 / capacity > candidate.room:
                # A call may still start at once, but is as well sent elsewhere.
                wait_s += _CROSSING_S
                wait_s += max(0.0, score + 1 / capacity - 1.0) * service_s
            if candidate.rejected_share > balancers.MAX_REJECTED_SHARE:
                # The call may have to be sent again.
                wait_s += candidate.rejected_share * service_s
            if (
                best is None
                or wait_s < best_wait_s
                # A difference of less than a call is not worth leaving the
                # proportions of the abilities.
                or (wait_s == best_wait_s and score < best_score - 1 / capacity)
            ):
                best, best_wait_s, best_score = candidate, wait_s, score
        return best
