"""Burn rates of service-level objectives over several windows.

The burn rate is the part of failed requests divided by the part that the
objective allows: at 1.0 the error budget lasts exactly its period. Two windows
are judged together, so that a short spike alone raises no alert and an alert
ends soon after its cause.
"""

from collections.abc import Mapping
import dataclasses
import enum

from sassafras_policy.configuration import document as documents

WINDOWS_S = (300, 1800, 3600, 21600)


class Verdict(enum.StrEnum):
    """What an operator should do."""

    OK = "ok"
    TICKET = "ticket"
    PAGE = "page"
    NO_DATA = "no data"


@dataclasses.dataclass(frozen=True, slots=True)
class AlertRule:
    """Both windows must burn at least at the rate.

    Attributes:
      short_s: The window that ends the alert, in seconds.
      long_s: The window that makes it significant, in seconds.
      rate: The burn rate.
      verdict: What to do.
    """

    short_s: int
    long_s: int
    rate: float
    verdict: Verdict


# The usual pairs for a budget of 30 days: 14.4 uses 2% of it in an hour, 6
# uses 5% in six hours.
ALERT_RULES = (
    AlertRule(300, 3600, 14.4, Verdict.PAGE),
    AlertRule(1800, 21600, 6.0, Verdict.TICKET),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Requests of one window.

    Attributes:
      total: Requests that count towards the objective.
      bad: Those that failed or were too slow.
    """

    total: int = 0
    bad: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sum of two counts."""
        return Counts(self.total + other.total, self.bad + other.bad)


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectiveBurn:
    """How fast one objective uses its error budget.

    Attributes:
      objective: The objective.
      organisation: The organisation, when the objective is for each.
      rates: Burn rate for each window in seconds.
      counts: Requests for each window in seconds.
      verdict: What to do.
    """

    objective: documents.Objective
    organisation: str
    rates: tuple[tuple[int, float], ...]
    counts: tuple[tuple[int, Counts], ...]
    verdict: Verdict


def burn_rate(counts: Counts, success_ratio: float) -> float:
    """Returns the burn rate of one window; 0 without requests."""
    if counts.total == 0:
        return 0.0
    return counts.bad / counts.total / (1.0 - success_ratio)


def evaluate(
    objective: documents.Objective,
    organisation: str,
    windows: Mapping[int, Counts],
) -> ObjectiveBurn:
    """Returns burn rates and verdict of an objective."""
    rates = {
        window: burn_rate(counts, objective.success_ratio)
        for window, counts in windows.items()
    }
    verdict = Verdict.OK
    for rule in reversed(ALERT_RULES):
        short = rates.get(rule.short_s, 0.0)
        long = rates.get(rule.long_s, 0.0)
        if short >= rule.rate and long >= rule.rate:
            verdict = rule.verdict
    if not any(counts.total for counts in windows.values()):
        verdict = Verdict.NO_DATA
    return ObjectiveBurn(
        objective=objective,
        organisation=organisation,
        rates=tuple(sorted(rates.items())),
        counts=tuple(sorted(windows.items())),
        verdict=verdict,
    )
