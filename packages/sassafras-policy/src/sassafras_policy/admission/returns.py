"""When callers that are refused should come back, and which of them do."""

import dataclasses

# The part of the time that a caller has left that it waits at most. A caller
# that is told a later time comes back then.
_MAX_WAIT_SHARE = 1.0 / 3.0
_MIN_DELAY_S = 0.1
# A caller with less than this part of the usual time left has waited before.
_RETURN_SHARE = 0.97
# The usual time falls slowly, as returning callers have less.
_USUAL_DECAY = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The time in which a refused caller should come back.

    Attributes:
      earliest_s: Delay until there may be room.
      latest_s: Delay after which it would be of little use.
    """

    earliest_s: float
    latest_s: float

    def delay_s(self, position: float) -> float:
        """Returns a delay.

        Args:
          position: From 0 to 1; random, so that callers are spread.
        """
        return self.earliest_s + position * (self.latest_s - self.earliest_s)


def window(
    left_s: float, objective_left_s: float, duration_s: float, wait_s: float
) -> Window:
    """Returns when a refused caller should come back.

    Args:
      left_s: Time that the caller has left.
      objective_left_s: Time until the latency objective of its route.
      duration_s: Mean time that a request of the route takes.
      wait_s: Time in which the calls that wait now are worked off.
    """
    latest_s = left_s * _MAX_WAIT_SHARE
    slack_s = objective_left_s - duration_s
    if slack_s > _MIN_DELAY_S:
        # A later response would be late.
        latest_s = min(latest_s, slack_s)
    return Window(min(_MIN_DELAY_S + wait_s, latest_s), latest_s)


class CallerTimes:
    """Tells callers that come back from those that call first.

    Nothing in a request says so, but a caller that has waited has less of its
    time left than is usual for the route.
    """

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}

    def keep_routes(self, names: frozenset[str]) -> None:
        """Forgets all other routes."""
        self._usual_s = {
            route: usual_s
            for route, usual_s in self._usual_s.items()
            if route in names
        }

    def waited_s(self, route: str, left_s: float) -> float:
        """Returns how long a caller has waited before; 0 for a first call.

        Args:
          route: Name of the route.
          left_s: Time that the caller has left.
        """
        usual_s = self._usual_s.get(route, 0.0)
        usual_s = max(left_s, usual_s - _USUAL_DECAY * (usual_s - left_s))
        self._usual_s[route] = usual_s
        if left_s >= _RETURN_SHARE * usual_s:
            return 0.0
        return usual_s - left_s


class TokenSchedule:
    """Gives the callers of an organisation different times to come back.

    The time at which the next token is due is the same for all of them, and
    only one gets it.
    """

    def __init__(self) -> None:
        self._next: dict[str, float] = {}

    def delay_s(
        self,
        organisation: str,
        due_s: float,
        rate_per_s: float,
        left_s: float,
        now: float,
    ) -> float:
        """Returns the delay until a token that no other caller was told of.

        Args:
          organisation: The organisation.
          due_s: Time until its next token here.
          rate_per_s: Tokens a second here.
          left_s: Time that the caller has left.
          now: The current time.
        """
        latest_s = left_s * _MAX_WAIT_SHARE
        at = max(now + due_s, self._next.get(organisation, 0.0))
        if rate_per_s <= 0.0 or at > now + latest_s:
            return max(due_s, latest_s)
        self._next[organisation] = at + 1.0 / rate_per_s
        return at - now
