"""Burn rates of service-level objectives over several windows.

The burn rate is the fraction of failed requests divided by the fraction that
the objective allows: at 1.0 the error budget lasts exactly its period. An alert
needs two windows, so that a short spike alone does not raise it and it ends
soon after its cause.
"""

from collections.abc import Mapping
import dataclasses
import enum

from sassafras_policy.configuration import document as documents

WINDOWS_S = (300, 1800, 3600, 21600)


class AlertLevel(enum.StrEnum):
    """The alert level of an objective."""

    OK = "ok"
    TICKET = "ticket"
    PAGE = "page"
    NO_DATA = "no data"


@dataclasses.dataclass(frozen=True, slots=True)
class AlertRule:
    """Minimum burn rate of a short and a long window that raises an alert.

    Attributes:
      short_s: Short window in seconds, which ends the alert soon.
      long_s: Long window in seconds, which excludes short spikes.
      rate: Minimum burn rate of both windows.
      alert_level: Level of the alert.
    """

    short_s: int
    long_s: int
    rate: float
    alert_level: AlertLevel


# The usual pairs for an error budget of 30 days: a rate of 14.4 uses 2% of it
# in an hour, a rate of 6 uses 5% in six hours.
ALERT_RULES = (
    AlertRule(300, 3600, 14.4, AlertLevel.PAGE),
    AlertRule(1800, 21600, 6.0, AlertLevel.TICKET),
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
      organisation: The organisation that was evaluated.
      rates: Burn rate for each window in seconds.
      counts: Requests for each window in seconds.
      alert_level: Alert level.
    """

    objective: documents.Objective
    organisation: str
    rates: tuple[tuple[int, float], ...]
    counts: tuple[tuple[int, Counts], ...]
    alert_level: AlertLevel


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
    """Returns burn rates and alert level of an objective."""
    rates = {
        window: burn_rate(counts, objective.success_ratio)
        for window, counts in windows.items()
    }
    alert_level = AlertLevel.OK
    for rule in reversed(ALERT_RULES):
        short = rates.get(rule.short_s, 0.0)
        long = rates.get(rule.long_s, 0.0)
        if short >= rule.rate and long >= rule.rate:
            alert_level = rule.alert_level
    if not any(counts.total for counts in windows.values()):
        alert_level = AlertLevel.NO_DATA
    return ObjectiveBurn(
        objective=objective,
        organisation=organisation,
        rates=tuple(sorted(rates.items())),
        counts=tuple(sorted(windows.items())),
        alert_level=alert_level,
    )
