"""Retry policies, chosen by name in the settings."""

import dataclasses
from typing import Protocol

from sassafras_base import registry
from sassafras_policy.retries import failures

# Attempts that the unbudgeted baseline makes at each hop, as many proxies do.
_ALWAYS_RETRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt.

    Attributes:
      failure: Why it failed.
      retries: Retries that this hop has made for the call already.
      overload_refusals: Overload refusals among its attempts, this one
        included.
      has_untried_target: Whether another target of the service may be tried.
    """

    failure: failures.Failure
    retries: int = 0
    overload_refusals: int = 0
    has_untried_target: bool = True


class RetryPolicy(Protocol):
    """Decides whether a hop wants to retry.

    No policy is asked about a failure that is FINAL, so none can resend an
    at-most-once request after a possible start.

    Attributes:
      needs_permission: Whether the guard of the node and the allowance of the
        root request are asked before a retry.
    """

    needs_permission: bool

    def may_retry(self, attempt: Attempt) -> bool:
        """Returns whether to retry after a failed attempt."""
        ...


retry_policies: registry.Registry[type[RetryPolicy]] = registry.Registry(
    "retry policy"
)


@retry_policies.register("budgeted")
class Budgeted:
    """Retries what a retry can help, within allowance and guard."""

    needs_permission = True

    def may_retry(self, attempt: Attempt) -> bool:
        """See RetryPolicy."""
        if attempt.failure is failures.Failure.OVERLOADED:
            # The same target would refuse again, and a second refusal shows
            # that the service as a whole is short of room.
            return attempt.has_untried_target and attempt.overload_refusals <= 1
        return True


@retry_policies.register("never")
class Never:
    """Retries nothing and refuses repeats by targets; a baseline."""

    needs_permission = True

    def may_retry(self, attempt: Attempt) -> bool:
        """See RetryPolicy."""
        del attempt
        return False


@retry_policies.register("always")
class Always:
    """Retries every failure at every hop without asking; a baseline.

    It keeps no bound over the hops and is meant for measurements only.
    """

    needs_permission = False

    def may_retry(self, attempt: Attempt) -> bool:
        """See RetryPolicy."""
        return (
            attempt.failure is failures.Failure.REPEATED
            or attempt.retries < _ALWAYS_RETRIES
        )
