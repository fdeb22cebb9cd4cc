"""Measurements at several sizes and their straight-line fits."""

from collections.abc import Callable
import dataclasses
import gc
import time
import tracemalloc

from sassafras_base import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measured size.

    Attributes:
      size: The size, such as a number of nodes.
      value: The measured value.
    """

    size: float
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A measured quantity and its fit.

    Attributes:
      name: What was measured.
      unit: Unit of the values.
      per: What one step of the size is.
      points: The measured points, three or more.
      target_size: Size at which the fit is evaluated.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    target_size: float

    @property
    def gradient(self) -> float:
        """Least-squares gradient in units for each step of the size."""
        mean_size, mean_value = self._means
        spread = sum((p.size - mean_size) ** 2 for p in self.points)
        return (
            sum(
                (p.size - mean_size) * (p.value - mean_value)
                for p in self.points
            )
            / spread
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
    """Returns the shortest CPU time of an action in milliseconds."""
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time_ns()
        action()
        best = min(best, (time.process_time_ns() - started) / 1e6)
    return best


def memory_kb(build: Callable[[], object]) -> float:
    """Returns the memory that a built object holds, in kB."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size / 1000
