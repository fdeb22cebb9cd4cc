"""Admission policies of a target, chosen by name in the settings."""

import dataclasses
from typing import Protocol

from sassafras_base import registry

from sassafras_policy.calls import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a call may go to the target now.

    Attributes:
      admitted: It may start at once.
      queued: It may wait for a place.
      level: Admission level; calls of this rank and above are refused.
    """

    admitted: bool
    queued: bool
    level: int


class AdmissionPolicy(Protocol):
    """Decides for one target; the caller reports starts and ends."""

    def decide(self, context: messages.CallContext, now: float) -> Decision:
        """Returns what to do with a call that has just arrived."""
        ...

    def started(self, now: float) -> None:
        """A call was handed to the target."""
        ...

    def finished(self, latency_s: float, success: bool, now: float) -> None:
        """A call at the target ended."""
        ...

    @property
    def load(self) -> float:
        """Calls in flight as a part of the limit."""
        ...


admission_policies: registry.Registry[type[AdmissionPolicy]] = (
    registry.Registry("admission policy")
)


@admission_policies.register("slots")
class Slots:
    """Admits as many calls as the target announced slots; the baseline."""

    def __init__(self, slots: int, class_count: int) -> None:
        self._slots = max(1, slots)
        self._in_flight = 0
        self._open_level = max(1, class_count) * messages.BUCKET_COUNT

    @property
    def load(self) -> float:
        """See AdmissionPolicy."""
        return self._in_flight / self._slots

    def decide(self, context: messages.CallContext, now: float) -> Decision:
        """See AdmissionPolicy."""
        del context, now
        return Decision(
            admitted=self._in_flight < self._slots,
            queued=False,
            level=self._open_level,
        )

    def started(self, now: float) -> None:
        """See AdmissionPolicy."""
        del now
        self._in_flight += 1

    def finished(self, latency_s: float, success: bool, now: float) -> None:
        """See AdmissionPolicy."""
        del latency_s, success, now
        self._in_flight -= 1
