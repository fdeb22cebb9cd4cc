"""Settings of Python's garbage collector for a node."""

import gc

# Collections during a call show up in the tail of added latency. Objects
# that live as long as the process are kept out of collections altogether.
_THRESHOLDS = (20_000, 20, 50)


def settle() -> None:
    """Takes all that exists now for permanent; called once after start."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_THRESHOLDS)
