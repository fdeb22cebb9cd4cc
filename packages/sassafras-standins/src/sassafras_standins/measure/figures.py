"""Figures, their bounds and the registry of measurements."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

from sassafras_base import registry


class Sense(enum.StrEnum):
    """On which side of its bound a figure should be."""

    AT_MOST = "<="
    AT_LEAST = ">="
    NONE = "-"


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured value.

    Attributes:
      name: Name of the measure in docs/design.md, with a suffix for a row.
      value: The value.
      unit: Its unit.
      sense: Whether the bound is a maximum, a minimum or there is none.
      bound: The stated bound, never taken from a measured value.
    """

    name: str
    value: float
    unit: str
    sense: Sense = Sense.NONE
    bound: float = 0.0

    @property
    def is_ok(self) -> bool:
        """Whether the bound is kept."""
        if self.sense is Sense.AT_MOST:
            return self.value <= self.bound
        if self.sense is Sense.AT_LEAST:
            return self.value >= self.bound
        return True

    def __str__(self) -> str:
        bound = f"{self.sense}{self.bound:g}" if self.sense != "-" else "-"
        verdict = "ok" if self.is_ok else "short"
        return f"{self.name} {self.value:.4g} {self.unit} {bound} {verdict}"


Measurement = Callable[[], Awaitable[list[Figure]]]

measurements: registry.Registry[Measurement] = registry.Registry("measurement")
