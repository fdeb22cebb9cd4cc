"""Reads the log lines of one or more nodes."""

from collections.abc import Iterator
import dataclasses
import pathlib
from typing import Any

import pydantic

_SUFFIXES = (".log", ".jsonl", ".txt")


class _LineModel(pydantic.BaseModel):
    """A log line in JSON; each event has its own additional fields."""

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    time: float
    event: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A log line of an event.

    Attributes:
      node: Name of the log file, which is that of the node.
      time: Seconds since the Unix epoch, by the clock of the node's host.
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


def find_log_files(path: pathlib.Path) -> list[pathlib.Path]:
    """Returns the path itself, or the log files in it if it is a folder."""
    if path.is_dir():
        return sorted(p for p in path.iterdir() if p.suffix in _SUFFIXES)
    return [path]


def read(path: pathlib.Path) -> Iterator[Line]:
    """Yields the events in a file.

    Text before the JSON object, such as the prefix of a log collector, is
    ignored; lines that are not events are skipped.

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
                # A traceback, or a line truncated when the node was killed.
                continue
            yield Line(
                path.stem,
                model.time,
                model.event,
                model.name,
                model.model_extra or {},
            )
