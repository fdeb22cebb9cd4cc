"""The adaptive admission policy, with a pace for targets that start."""

from typing import ClassVar

from sassafras_policy.admission import concurrency
from sassafras_policy.admission import policies
from sassafras_policy.admission import priorities
from sassafras_policy.balancing import pace
from sassafras_policy.calls import messages


class _PacedLimit:
    """The lower one of the limits by latency and by pace."""

    def __init__(self, slots: int, paced: pace.Pace) -> None:
        self._by_latency = concurrency.ConcurrencyLimit(
            slots, initial_share=1.0
        )
        self._pace = paced

    @property
    def value(self) -> int:
        """See concurrency.Limit."""
        return min(self._by_latency.value, self._pace.limit)

    @property
    def baseline_s(self) -> float:
        """See concurrency.Limit."""
        return self._by_latency.baseline_s

    def resize(self, slots: int) -> None:
        """See concurrency.Limit."""
        self._by_latency.resize(slots)
        self._pace.resize(slots)

    def observe(
        self, latency_s: float, success: bool, in_flight: int, now: float
    ) -> None:
        """See concurrency.Limit."""
        self._by_latency.observe(latency_s, success, in_flight, now)


@policies.admission_policies.register("paced")
class Paced(policies.Adaptive):
    """Limits a target that starts or recovers by how it answers.

    The latency gradient of `Adaptive` applies as well, from all slots on: the
    pace keeps the first calls few, so that no limit below the slots is needed
    to measure their latency.
    """

    uses_answers: ClassVar[bool] = True

    def __init__(self, slots: int, scale: priorities.PriorityScale) -> None:
        self._pace = pace.Pace(slots)
        super().__init__(slots, scale)

    @property
    def is_open(self) -> bool:
        """See AdmissionPolicy."""
        return self._pace.is_open

    def decide(
        self, context: messages.CallContext, now: float
    ) -> policies.Decision:
        """See AdmissionPolicy.

        A target that starts has no queue: a call is served sooner by one of the
        others, and its node learns from the refusal how many calls run here.
        """
        if self._pace.is_starting and not self._has_free_slot:
            return policies.Decision(admitted=False, level=self.level(now))
        return super().decide(context, now)

    def hold_back(self) -> None:
        """See AdmissionPolicy."""
        self._pace.hold_back()

    def observe(
        self,
        started_at: float,
        relative: float,
        own_relative: float,
        succeeded: bool,
        in_flight: int,
        now: float,
    ) -> bool:
        """See AdmissionPolicy."""
        return self._pace.observe(
            started_at, relative, own_relative, succeeded, in_flight, now
        )

    def _make_limit(self, slots: int) -> concurrency.Limit:
        return _PacedLimit(slots, self._pace)
