"""Classification of answers by what a retry may do about them."""

import enum

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes


class Failure(enum.Enum):
    """Why a call failed, as far as retries are concerned.

    Attributes:
      FINAL: A retry cannot help or might run the call twice. Also stands for
        answers that are no failures.
      NOT_REACHED: No byte reached the target, or it is leaving; another
        target, or the same one later, may serve the call.
      OVERLOADED: The target refused for lack of room.
      MAY_HAVE_RUN: The connection was lost after a possible start, on a route
        whose requests may run twice.
      REPEATED: The target itself repeats a sub-call that failed.
    """

    FINAL = "final"
    NOT_REACHED = "not-reached"
    OVERLOADED = "overloaded"
    MAY_HAVE_RUN = "may-have-run"
    REPEATED = "repeated"


def classify(answer: messages.Answer, at_most_once: bool) -> Failure:
    """Returns what a retry may do about an answer.

    Only the hop that called the target gets an overload refusal as such: to
    hops further up it is the answer of a target that ran.
    """
    if answer.outcome is outcomes.Outcome.NOT_RUN:
        if answer.reason is outcomes.Reason.OVERLOAD:
            return Failure.OVERLOADED
        return Failure.NOT_REACHED if answer.retryable else Failure.FINAL
    if answer.outcome is outcomes.Outcome.UNKNOWN and answer.retryable:
        return Failure.FINAL if at_most_once else Failure.MAY_HAVE_RUN
    return Failure.FINAL
