"""How far a call has got, for the outcome that its caller is told."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Progress:
    """Shared by the steps of one call; the step that sends sets it.

    A deadline or a lost connection cancels a call at any point, so what the
    caller may be told cannot be a return value of the step.

    Attributes:
      may_have_run: A byte of the request has been handed to the target or to
        the node beside it, and no answer said that it did not run.
    """

    may_have_run: bool = False
