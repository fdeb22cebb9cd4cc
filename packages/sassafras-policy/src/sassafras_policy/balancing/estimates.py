"""Load and speed of targets as one node estimates them from responses."""

import math

from sassafras_policy.balancing import load_reports

# Weight of one response in the mean load of a service.
_MEAN_WEIGHT = 0.05
# Each response moves the usual time of a call by this part of it. The median
# does not follow the times of targets that are slow, as a mean would.
_MEDIAN_STEP = 0.05
# Targets of a service differ in speed by up to three, and are slower near their
# limits. One that is slower than that has slowed down, and its calls end late.
_TOLERATED_SLOWNESS = 5.0
# A slow target is avoided for as long as a call took there, and up to this many
# times as long if it is found slow again and again.
_MAX_SLOWNESS_AGE_FACTOR = 8.0
# Weight of one response in the speed of a target, whose node has averaged the
# time that it reports already.
_SPEED_WEIGHT = 0.2
# A response replaces the speed that was known if that is older than this.
_SPEED_AGE_S = 1.0
# The share of calls that slow targets get must be enough to notice when they
# are fast again.
_MIN_SPEED = 0.1
_MAX_SPEED = 10.0
# A reported load is half forgotten after this multiple of the service time, as
# the calls that it counted have ended.
_LOAD_AGE_FACTOR = 2.0
# Bounds of the time in which a reported load is forgotten: delays between nodes
# must not make every report worthless, nor one report of a full target keep
# calls away for long.
_MIN_LOAD_AGE_S = 0.05
_MAX_LOAD_AGE_S = 1.0
# The limit of a target that starts may double in the time of a call, so an old
# report of a low one says little. Bounds the exponent.
_MAX_DOUBLINGS = 16.0
# Time of a call at a target that has not reported it yet.
_UNKNOWN_SERVICE_S = 0.1
# Calls in flight at a target that has not responded yet, from each node: where
# no other has either, and where it starts beside others.
_UNKNOWN_LIMIT = 4.0
_STARTING_LIMIT = 1.0


# Load, limit, and the time by which a call is slower than at any usual target.
Expectation = tuple[float, float, float]


class ServiceEstimate:
    """Load and times that are usual at the targets of one service.

    Attributes:
      load: Mean of the loads in responses.
    """

    def __init__(self) -> None:
        self.load = 0.0
        self._usual_s: dict[str, float] = {}

    @property
    def is_known(self) -> bool:
        """Whether one of the targets has answered a call."""
        return bool(self._usual_s)

    def usual_s(self, route: str) -> float:
        """Returns the median time of a call at a target; 0 until known."""
        return self._usual_s.get(route, 0.0)

    def record(self, route: str, load: float, service_s: float) -> float:
        """Records a response; returns the usual time of a call of its route.

        Args:
          route: Route of the call.
          load: Load of the target.
          service_s: Time that a call of the route takes at the target.
        """
        self.load += _MEAN_WEIGHT * (load - self.load)
        usual_s = self._usual_s.get(route)
        if usual_s is None:
            usual_s = service_s
        elif service_s > usual_s:
            usual_s = min(service_s, usual_s * (1.0 + _MEDIAN_STEP))
        else:
            usual_s = max(service_s, usual_s * (1.0 - _MEDIAN_STEP))
        self._usual_s[route] = usual_s
        return usual_s


class TargetEstimate:
    """Load, limit and speed of one target.

    Attributes:
      in_flight: Calls of this node that its last report includes.
      service_s: Time that a call takes there; 0 until known.
    """

    __slots__ = (
        "_excess_s",
        "_excess_until",
        "_is_known",
        "_limit",
        "_load",
        "_load_at",
        "_service",
        "_slowness_age_factor",
        "_speed",
        "_speed_at",
        "in_flight",
        "service_s",
    )

    def __init__(self, service: ServiceEstimate, now: float) -> None:
        """Begins for a target that has not responded yet.

        Where others of the service have, it is taken for one that starts.

        Args:
          service: What is usual at the targets of the service.
          now: The current time.
        """
        self.in_flight = 0
        self.service_s = 0.0
        self._service = service
        self._slowness_age_factor = 1.0
        self._excess_s = 0.0
        self._excess_until = -math.inf
        self._is_known = service.is_known
        self._limit = _STARTING_LIMIT if self._is_known else _UNKNOWN_LIMIT
        self._speed = 1.0
        self._speed_at = -math.inf
        self._load = service.load
        self._load_at = now

    def record(
        self,
        route: str,
        load: float,
        report: load_reports.TargetReport,
        in_flight: int,
        now: float,
    ) -> None:
        """Records a response of the target.

        Args:
          route: Route of the call.
          load: Load in the response.
          report: Report in the response.
          in_flight: Calls that this node still has in flight at the target; the
            load includes them.
          now: The current time.
        """
        self._load = load
        self._load_at = now
        self.in_flight = in_flight
        self._limit = float(report.limit)
        self._is_known = True
        if report.service_s <= 0.0:
            return
        service_s = self.service_s = report.service_s
        usual_s = self._service.record(route, load, service_s)
        self._excess_s = service_s - _TOLERATED_SLOWNESS * usual_s
        if self._excess_s <= 0.0:
            self._slowness_age_factor = 1.0
        elif now >= self._excess_until:
            self._excess_until = now + self._slowness_age_factor * service_s
            self._slowness_age_factor = min(
                _MAX_SLOWNESS_AGE_FACTOR, 2.0 * self._slowness_age_factor
            )
        speed = min(_MAX_SPEED, max(_MIN_SPEED, usual_s / service_s))
        weight = max(
            _SPEED_WEIGHT, min(1.0, (now - self._speed_at) / _SPEED_AGE_S)
        )
        self._speed += weight * (speed - self._speed)
        self._speed_at = now

    def ability(self, slots: int, now: float) -> float:
        """Returns the rate of work that the target can do, to compare.

        Args:
          slots: Its announced slots.
          now: The current time.
        """
        usable = float(slots)
        if self._is_known:
            usable = self._grown_limit(usable, now)
        return usable * self._speed

    def expected(self, slots: int, now: float) -> Expectation:
        """Returns what a call can expect at the target.

        The reported load becomes the mean as it ages: a target whose report is
        old is as likely to be loaded as any other.

        Args:
          slots: Its announced slots.
          now: The current time.
        """
        mean = self._service.load
        service_s = self.service_s
        age_s = min(
            _MAX_LOAD_AGE_S, max(_MIN_LOAD_AGE_S, _LOAD_AGE_FACTOR * service_s)
        )
        load = mean + (self._load - mean) * math.exp(
            (self._load_at - now) / age_s
        )
        limit = self._limit
        if self._is_known and limit < slots:
            limit = self._grown_limit(slots, now)
        is_slow = self._excess_s > 0.0 and now < self._excess_until
        return load, limit, self._excess_s if is_slow else 0.0

    def _grown_limit(self, slots: float, now: float) -> float:
        age = (now - self._load_at) / (self.service_s or _UNKNOWN_SERVICE_S)
        doublings = 2.0 ** min(_MAX_DOUBLINGS, age)
        return min(slots, self._limit * doublings)


def room(limit: float) -> float:
    """Returns the score beyond which calls are likely to wait.

    Calls arrive at random, and this node knows of those of others only with the
    next response: their number varies by about the root of its mean. The score
    includes the call to place; an idle target has room at any limit.
    """
    return 1.0 - 1.0 / math.sqrt(max(limit, _UNKNOWN_LIMIT)) + 1.0 / limit
