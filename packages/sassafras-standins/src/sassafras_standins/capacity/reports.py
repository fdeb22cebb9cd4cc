"""Cost of the recorder by number of series."""

import functools

from sassafras_base import clock as clocks
from sassafras_node.reports import recorder
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.configuration import active_configuration
from sassafras_standins.capacity import slopes

_SIZES = (16, 64, 256)
_TARGET_SERIES = 256


class _FixedClock(clocks.SystemClock):
    def now(self) -> float:
        return 1000.0


def recordings(size: int) -> recorder.Recorder:
    """Returns a recorder with the given number of series."""
    result = recorder.Recorder(
        active_configuration.ActiveConfiguration(), _FixedClock()
    )
    for number in range(size):
        key = recorder.SeriesKey("service", f"organisation-{number}")
        for latency_ms in range(1, 50):
            result.record(
                key,
                messages.CallResponse(outcomes.Outcome.RAN),
                latency_ms / 1000,
            )
    return result


@slopes.slopes.register("reports")
def measure() -> list[slopes.Slope]:
    """Measures the memory and the encoded size of the series."""
    memory, size_kb = [], []
    for size in _SIZES:
        memory.append(
            slopes.Point(
                size, slopes.memory_kb(functools.partial(recordings, size))
            )
        )
        size_kb.append(
            slopes.Point(
                size,
                sum(
                    len(series.latency_ms.encode())
                    for series in recordings(size).series.values()
                )
                / 1000,
            )
        )
    make = functools.partial(
        slopes.Slope, per="series", target_size=_TARGET_SERIES
    )
    return [
        make("recordings, memory", "kB", points=tuple(memory)),
        make("encoded histograms", "kB", points=tuple(size_kb)),
    ]
