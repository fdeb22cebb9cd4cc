"""What targets, and the nodes beside them, report about their load."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a target states in a response.

    Attributes:
      running: Requests that it executes.
      waiting: Requests that wait for a slot inside the target.
      slots: Requests that it can execute at once.
      slowdown: Time that work takes now, as a multiple of the usual time; 1.0
        if it is not stated.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """What the node beside a target adds to each response.

    Attributes:
      limit: Calls that may run at the target at once.
      service_s: Expected time at the target of a call of the same route,
        without its wait for a slot; 0 until measured.
    """

    limit: int
    service_s: float
