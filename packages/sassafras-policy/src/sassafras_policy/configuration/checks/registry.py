"""The registry of checks and what they work on."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
from typing import Any

from sassafras_base import registry
from sassafras_policy.configuration import document as documents
from sassafras_policy.mesh import configuration

NO_POSITION = -1


class Level(enum.StrEnum):
    """How certain the findings of a check are.

    Attributes:
      FINDING: The configuration alone shows it.
      NOTE: It depends on what calls cost or on which targets are up at the
        moment, so the configuration may be right.
    """

    FINDING = "finding"
    NOTE = "note"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A valid entry that has no effect or contradicts another one.

    Attributes:
      kind: Kind of the entry, such as `route`.
      name: Name of the entry; empty if the kind has one entry only.
      position: Index among the entries of its kind; NO_POSITION for an entry
        that the configuration does not list.
      field: The field, as the data class names it; empty for the whole entry.
      given: The value given; empty when there is none.
      problem: What is wrong.
      advice: What the operator can do.
      check: Name of the check; `suite.find` sets it.
      level: Level of the check; `suite.find` sets it.
    """

    kind: str
    name: str
    position: int
    field: str
    given: str
    problem: str
    advice: str
    check: str = ""
    level: Level = Level.FINDING

    @property
    def subject(self) -> str:
        """Kind and name of the entry."""
        return f"{self.kind} {self.name}".rstrip()


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A valid configuration, and what is known about its deployment.

    Attributes:
      content: The configuration.
      slots: Slots of all targets of a service, by service, as the operators
        state them; a service is absent if its slots are not known.
      announced_slots: Slots of the targets in use, by service, as the targets
        announce them; None if not known.
    """

    content: Any
    slots: Mapping[str, int] = dataclasses.field(default_factory=dict)
    announced_slots: Mapping[str, int] | None = None

    @property
    def accounts(self) -> tuple[documents.Organisation, ...]:
        """The organisations, which both types of configuration have."""
        if isinstance(self.content, configuration.Configuration):
            return tuple(item.account for item in self.content.organisations)
        accounts: tuple[documents.Organisation, ...]
        accounts = self.content.organisations
        return accounts


CheckFunction = Callable[[Subject], Iterator[Finding]]


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """A registered check.

    Attributes:
      contents: The types of configuration that it reads.
      level: How certain its findings are.
      run: Yields the findings.
    """

    contents: tuple[type, ...]
    level: Level
    run: CheckFunction


checks: registry.Registry[Check] = registry.Registry("check")


def check(
    name: str, *contents: type, level: Level = Level.FINDING
) -> Callable[[CheckFunction], CheckFunction]:
    """Registers the decorated function.

    Args:
      name: Name of the check, which findings and documentation quote.
      *contents: The types of configuration that the function reads; a
        `documents.Document` if none is given.
      level: How certain its findings are.
    """

    def decorate(run: CheckFunction) -> CheckFunction:
        entry = Check(contents or (documents.Document,), level, run)
        checks.register(name)(entry)
        return run

    return decorate
