"""Classification of failed calls by whether a retry is safe and useful."""

import enum

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes


class Failure(enum.Enum):
    """Why a call failed, as far as it matters for retries.

    Attributes:
      FINAL: A retry cannot help or might run the call twice. Also used for
        responses that are no failures.
      NOT_REACHED: No byte reached the target, or it is leaving; another
        target, or the same one later, may execute the call.
      OVERLOADED: The target refused the call because it is overloaded.
      MAY_HAVE_RUN: The connection was lost after the call may have started, on
        a route whose requests may run twice.
      REPEATED: A target repeats a failed sub-call on its own.
    """

    FINAL = "final"
    NOT_REACHED = "not-reached"
    OVERLOADED = "overloaded"
    MAY_HAVE_RUN = "may-have-run"
    REPEATED = "repeated"


def classify(response: messages.CallResponse, at_most_once: bool) -> Failure:
    """Classifies a response for the retry policy.

    Only the hop that called the overloaded target gets OVERLOADED. Hops further
    upstream get the response of a target that ran.
    """
    if response.outcome is outcomes.Outcome.NOT_RUN:
        if response.reason is outcomes.Reason.OVERLOAD:
            return Failure.OVERLOADED
        return Failure.NOT_REACHED if response.retryable else Failure.FINAL
    if response.outcome is outcomes.Outcome.UNKNOWN and response.retryable:
        return Failure.FINAL if at_most_once else Failure.MAY_HAVE_RUN
    return Failure.FINAL
