"""Reads the log lines of one or more nodes."""

from collections.abc import Iterator
import dataclasses
import pathlib
from typing import Any

import pydantic

_SUFFIXES = (".log", ".jsonl", ".txt")


class _LineModel(pydantic.BaseModel):
    """A line as a node writes it; each event has fields of its own."""

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    time: float
    event: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One event.

    Attributes:
      node: Name of the file that it was found in.
      time: Seconds since the Unix epoch, on the clock of the node's host.
      event: Number of the event; docs/events.md lists them.
      name: Name of the event.
      fields: The event's own fields.
    """

    node: str
    time: float
    event: int
    name: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Returns a field as text; empty if the event does not have it."""
        return str(self.fields.get(name, ""))


def files_of(path: pathlib.Path) -> list[pathlib.Path]:
    """Returns the log files at a path: itself, or those in a folder."""
    if path.is_dir():
        return sorted(p for p in path.iterdir() if p.suffix in _SUFFIXES)
    return [path]


def read(path: pathlib.Path) -> Iterator[Line]:
    """Yields the events in a file.

    Text before the JSON object, such as a collector's own prefix, is passed
    over, and so are lines that are no events.

    Raises:
      OSError: The file cannot be read.
    """
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            try:
                model = _LineModel.model_validate_json(text[start:])
            except pydantic.ValidationError:
                # A traceback, or a line that was cut off by a kill.
                continue
            yield Line(
                path.stem,
                model.time,
                model.event,
                model.name,
                model.model_extra or {},
            )
