"""The priorities that a configuration uses, and the levels between them.

A rank is a priority and a bucket within it as one number, and a level is the
lowest rank that is refused. Nodes exchange both, so they count the buckets of
all priorities, used or not: nodes that have different versions of the
configuration still agree on their order. A position counts only the buckets of
priorities in use. Steps, shares and means of levels are taken over positions,
so that their cost and their effect follow from how many priorities there are
and not from how large the largest is.
"""

import bisect
from collections.abc import Iterable
import dataclasses

from sassafras_policy.calls import messages


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityScale:
    """Priorities in ascending order; 0 is the most important.

    Attributes:
      priorities: The priorities in use, at least one.
      open_level: The level at which every call is admitted.
      size: The position of the open level.
    """

    priorities: tuple[int, ...] = (0,)
    open_level: int = dataclasses.field(init=False)
    size: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        open_level = (self.priorities[-1] + 1) * messages.BUCKET_COUNT
        object.__setattr__(self, "open_level", open_level)
        size = len(self.priorities) * messages.BUCKET_COUNT
        object.__setattr__(self, "size", size)

    def position(self, level: float) -> float:
        """Returns the position of a level or a rank.

        Those of a priority that is not in use, as from a node with another
        version of the configuration, have the position at which the next
        priority in use begins.
        """
        if level >= self.open_level:
            return self.size
        priority, bucket = divmod(level, messages.BUCKET_COUNT)
        index = bisect.bisect_left(self.priorities, priority)
        if self.priorities[index] != priority:
            bucket = 0
        return index * messages.BUCKET_COUNT + bucket

    def level(self, position: float) -> float:
        """Returns the level at a position."""
        if position >= self.size:
            return self.open_level
        index, bucket = divmod(position, messages.BUCKET_COUNT)
        return self.priorities[int(index)] * messages.BUCKET_COUNT + bucket


def scale_of(priorities: Iterable[int]) -> PriorityScale:
    """Returns the scale of the priorities that a configuration names."""
    return PriorityScale(tuple(sorted(set(priorities))) or (0,))


def scale_of_classes(count: int) -> PriorityScale:
    """Returns the scale of classes that are numbered from 0."""
    return PriorityScale(tuple(range(max(1, count))))
