"""Linear fits of measurements at several sizes, and their registry."""

from collections.abc import Callable
import dataclasses
import gc
import time
import tracemalloc

from sassafras_base import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """A measurement at one size.

    Attributes:
      size: Size of the input, such as a number of nodes.
      value: Measured value.
    """

    size: float
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A quantity measured at several sizes, and its linear fit.

    Attributes:
      name: Name of the quantity.
      unit: Unit of the values.
      per: What the size counts, in the singular.
      points: Three or more measurements.
      target_size: Size at which the fit is evaluated.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    target_size: float

    @property
    def gradient(self) -> float:
        """Least-squares gradient, in units for an increase of the size by 1."""
        mean_size, mean_value = self._means
        variation = sum((p.size - mean_size) ** 2 for p in self.points)
        return (
            sum(
                (p.size - mean_size) * (p.value - mean_value)
                for p in self.points
            )
            / variation
        )

    @property
    def intercept(self) -> float:
        """Value of the fit at size 0."""
        mean_size, mean_value = self._means
        return mean_value - self.gradient * mean_size

    @property
    def at_target(self) -> float:
        """Value of the fit at the target size."""
        return self.intercept + self.gradient * self.target_size

    @property
    def _means(self) -> tuple[float, float]:
        count = len(self.points)
        return (
            sum(p.size for p in self.points) / count,
            sum(p.value for p in self.points) / count,
        )

    def __str__(self) -> str:
        points = ", ".join(f"{p.size:g}: {p.value:.4g}" for p in self.points)
        return (
            f"| {self.name} | {self.unit} | {points} |"
            f" {self.gradient:.3g} per {self.per} |"
            f" {self.at_target:.4g} at {self.target_size:g} |"
        )


slopes: registry.Registry[Callable[[], list[Slope]]] = registry.Registry(
    "capacity slope"
)


def duration_ms(action: Callable[[], object], repeats: int = 5) -> float:
    """Returns the minimum CPU time of an action over several runs, in ms."""
    min_ms = float("inf")
    for _ in range(repeats):
        started = time.process_time_ns()
        action()
        min_ms = min(min_ms, (time.process_time_ns() - started) / 1e6)
    return min_ms


def memory_kb(build: Callable[[], object]) -> float:
    """Returns the memory allocated for the object that is built, in kB."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size / 1000
