"""Settings of the target stand-in."""

import pydantic


class TargetSettings(pydantic.BaseModel):
    """What a target stand-in does.

    Attributes:
      address: Where it listens.
      node_address: The target listener of the node beside it.
      service: The service it belongs to.
      slots: Calls that it runs at once; more wait in its own queue.
      connections: Connections that it announces.
      service_ms: Time that a call takes in a slot.
      cold_start_s: Seconds of slow start that it announces.
      sub_calls: Paths that each call requests through the node, in order.
      sub_call_retries: How often it repeats a failed sub-call itself.
      journal: File that gets a line with the request id of each execution;
        unlike the counters it outlives a killed target.
    """

    address: str
    node_address: str
    service: str
    slots: int = 10
    connections: int = 64
    service_ms: float = 5.0
    cold_start_s: float = 0.0
    sub_calls: list[str] = []
    sub_call_retries: int = 0
    journal: str = ""
