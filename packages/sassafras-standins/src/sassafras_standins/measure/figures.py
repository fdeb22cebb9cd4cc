"""Measured figures with their bounds, and the registry of measurements."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

from sassafras_base import registry


class Sense(enum.StrEnum):
    """Whether the bound of a figure is a maximum or a minimum."""

    AT_MOST = "<="
    AT_LEAST = ">="
    NONE = "-"


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A measured value and its bound.

    Attributes:
      name: Name of the figure in docs/design.md, with a suffix for a variant.
      value: Measured value.
      unit: Unit of the value and the bound.
      sense: Whether the bound is a maximum or a minimum, or there is none.
      bound: The bound that the design states, never a measured value.
    """

    name: str
    value: float
    unit: str
    sense: Sense = Sense.NONE
    bound: float = 0.0

    @property
    def is_ok(self) -> bool:
        """Whether the value is within the bound."""
        if self.sense is Sense.AT_MOST:
            return self.value <= self.bound
        if self.sense is Sense.AT_LEAST:
            return self.value >= self.bound
        return True

    def __str__(self) -> str:
        bound = f"{self.sense}{self.bound:g}" if self.sense != "-" else "-"
        result = "ok" if self.is_ok else "short"
        return f"{self.name} {self.value:.4g} {self.unit} {bound} {result}"


Measurement = Callable[[], Awaitable[list[Figure]]]

measurements: registry.Registry[Measurement] = registry.Registry("measurement")
