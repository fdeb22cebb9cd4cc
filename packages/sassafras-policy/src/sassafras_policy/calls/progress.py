"""Progress of a call, which determines the outcome if it is cancelled."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Progress:
    """State shared by the steps of one call; the sending step updates it.

    A deadline or a lost connection can cancel a call at any point, so the
    outcome for the caller cannot depend on return values of the steps.

    Attributes:
      may_have_run: Whether a byte of the request was sent to the target or to
        its node, and no response has reported that it did not run.
    """

    may_have_run: bool = False
