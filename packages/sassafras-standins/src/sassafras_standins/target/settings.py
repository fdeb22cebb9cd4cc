"""Settings of the target stand-in."""

import pydantic


class TargetSettings(pydantic.BaseModel):
    """Addresses, capacity and load model of a target stand-in.

    Attributes:
      address: Address on which it listens.
      node_address: The local node's listening address for its target.
      service: Service that it belongs to.
      slots: Calls that it executes at once; more wait in its own queue.
      connections: Number of connections that it announces.
      service_ms: Time that a call holds a slot, without its sub-calls.
      cold_start_s: Duration of the slow start that it announces.
      sub_calls: Paths that each call requests through the node, in order.
      sub_call_retries: How often it repeats a failed sub-call itself.
      journal: File to which it appends the request id of each execution;
        unlike the counters, the file survives a kill of the target.
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
