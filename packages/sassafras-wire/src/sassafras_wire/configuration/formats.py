"""Forms of configuration files that other packages bring.

The product does not import the adapter to a platform, so the adapter names its
form in the entry points of its package.
"""

from collections.abc import Mapping
import dataclasses
import importlib.metadata
from typing import Any
from typing import Protocol

import result

from sassafras_policy.configuration import validation
from sassafras_policy.configuration.checks import registry
from sassafras_policy.mesh import configuration

_ENTRY_POINTS = "sassafras.configuration_formats"


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """A place in a file.

    Attributes:
      section: The section, without brackets.
      key: The key; empty for the whole section.
      line: Line number; 0 if the file does not have the place.
    """

    section: str
    key: str
    line: int = 0


class Format(Protocol):
    """A form of configuration file, in JSON."""

    def recognises(self, content: Mapping[str, Any]) -> bool:
        """Returns whether the content is in this form."""

    def check(
        self, data: bytes
    ) -> result.Result[
        configuration.Configuration, list[validation.DocumentFault]
    ]:
        """Returns the configuration, or all its faults."""

    def locate(self, finding: registry.Finding) -> Location:
        """Returns the place of a finding."""


def find(content: Mapping[str, Any]) -> Format | None:
    """Returns the installed form that recognises the content, or None."""
    for entry in importlib.metadata.entry_points(group=_ENTRY_POINTS):
        found: Format = entry.load()
        if found.recognises(content):
            return found
    return None
