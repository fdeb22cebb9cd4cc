"""Records outcomes and latencies of root requests."""

import dataclasses

from hdrh import histogram

from sassafras_base import clock as clocks
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.configuration import active_configuration
from sassafras_policy.objectives import burn
from sassafras_policy.objectives import window_counter

MAX_SERIES = 256
MAX_LATENCY_MS = 60_000
_MIN_LATENCY_MS = 1
_SIGNIFICANT_DIGITS = 2

# Refusals that the caller causes; they use no error budget.
_CALLER_FAULTS = frozenset(
    [
        outcomes.Reason.BAD_REQUEST,
        outcomes.Reason.NO_ROUTE,
        outcomes.Reason.UNAUTHENTICATED,
        outcomes.Reason.FORBIDDEN,
        outcomes.Reason.ORGANISATION_LIMIT,
        outcomes.Reason.BODY_TOO_LARGE,
    ]
)


@dataclasses.dataclass(frozen=True, slots=True)
class SeriesKey:
    """Identifies a series by service and organisation."""

    service: str
    organisation: str


class Series:
    """Recordings of one service and organisation.

    Attributes:
      windows: Requests and failures over the windows of the burn report.
      latency_ms: Latencies of requests that ran, since the node started.
    """

    def __init__(self) -> None:
        self.windows = window_counter.WindowCounter()
        self.latency_ms = new_histogram()


class Recorder:
    """Records root requests in a bounded number of series.

    Attributes:
      outcome_counts: Root request counts by series, outcome and reason.
    """

    def __init__(
        self,
        configuration: active_configuration.ActiveConfiguration,
        clock: clocks.Clock,
    ) -> None:
        self._configuration = configuration
        self._clock = clock
        self._series: dict[SeriesKey, Series] = {}
        self.outcome_counts: dict[tuple[SeriesKey, str, str], int] = {}

    @property
    def series(self) -> dict[SeriesKey, Series]:
        """The series by key."""
        return self._series

    def record(
        self, key: SeriesKey, response: messages.CallResponse, latency_s: float
    ) -> None:
        """Records the outcome and latency of one root request."""
        recorded = self._series.get(key)
        if recorded is None:
            if len(self._series) >= MAX_SERIES:
                return
            recorded = self._series[key] = Series()
        outcome_key = (key, str(response.outcome), str(response.reason))
        self.outcome_counts[outcome_key] = (
            self.outcome_counts.get(outcome_key, 0) + 1
        )
        if response.reason in _CALLER_FAULTS:
            return
        latency_ms = latency_s * 1000
        ran = response.outcome is outcomes.Outcome.RAN
        if ran:
            recorded.latency_ms.record_value(
                min(MAX_LATENCY_MS, max(1, round(latency_ms)))
            )
        limit_ms = self._latency_limit_ms(key)
        is_bad = not ran or response.status >= 500
        is_bad = is_bad or (limit_ms > 0 and latency_ms > limit_ms)
        recorded.windows.record(is_bad, self._clock.now())

    def windows(self, key: SeriesKey) -> dict[int, burn.Counts]:
        """Returns the counts of a series for each window."""
        return self._series[key].windows.windows(self._clock.now())

    def _latency_limit_ms(self, key: SeriesKey) -> int:
        index = self._configuration.index
        if index is None:
            return 0
        for objective in index.document.objectives:
            if objective.service == key.service and (
                objective.organisation in ("*", key.organisation)
            ):
                return objective.latency_ms
        return 0


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram of latencies in milliseconds."""
    return histogram.HdrHistogram(
        _MIN_LATENCY_MS, MAX_LATENCY_MS, _SIGNIFICANT_DIGITS
    )
