"""Progress of a call, which determines the outcome if it is cancelled."""

import dataclasses

from sassafras_policy.admission import memory as memories


@dataclasses.dataclass(slots=True)
class Progress:
    """State shared by the steps of one call; the sending step updates it.

    A deadline or a lost connection can cancel a call at any point, so the
    outcome for the caller cannot depend on return values of the steps.

    Attributes:
      may_have_run: Whether a byte of the request was sent to the target or to
        its node, and no response has reported that it did not run.
      memory: Bytes of its responses; None where they are not limited together.
    """

    may_have_run: bool = False
    memory: memories.Reservation | None = None
