"""Retry policies, selected by name in the settings."""

import dataclasses
from typing import Protocol

from sassafras_base import registry
from sassafras_policy.retries import failures

# Retries of the unbudgeted baseline at each hop, as in many proxies.
_ALWAYS_RETRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt.

    Attributes:
      failure: Why it failed.
      retries: Number of retries that this hop has already made for the call.
      overload_refusals: Overload refusals of the call at this hop, including
        this one.
      has_untried_target: Whether another target of the service may be tried.
    """

    failure: failures.Failure
    retries: int = 0
    overload_refusals: int = 0
    has_untried_target: bool = True


class RetryPolicy(Protocol):
    """Decides whether a hop should retry.

    Policies are not consulted about FINAL failures, so none can resend an
    at-most-once request that may have started.

    Attributes:
      needs_permission: Whether a retry must be permitted by the guard of the
        node and the allowance of the root request.
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
    """Retries where it can help, within the allowance and the guard."""

    needs_permission = True

    def may_retry(self, attempt: Attempt) -> bool:
        """See RetryPolicy."""
        if attempt.failure is failures.Failure.OVERLOADED:
            # The same target would refuse again, and a second refusal suggests
            # that the whole service is overloaded.
            return attempt.has_untried_target and attempt.overload_refusals <= 1
        return True


@retry_policies.register("never")
class Never:
    """Makes no retries and refuses repeats by targets; a baseline."""

    needs_permission = True

    def may_retry(self, attempt: Attempt) -> bool:
        """See RetryPolicy."""
        del attempt
        return False


@retry_policies.register("always")
class Always:
    """Retries every failure at every hop without permission; a baseline.

    It has no bound across hops and is meant for measurements only.
    """

    needs_permission = False

    def may_retry(self, attempt: Attempt) -> bool:
        """See RetryPolicy."""
        return (
            attempt.failure is failures.Failure.REPEATED
            or attempt.retries < _ALWAYS_RETRIES
        )
