"""Numbered log events, declared once and listed in docs/events.md.

A module declares an event as a function that returns its message; the
function's docstring is the meaning shown in the catalogue. Calling the
decorated function writes the log line.
"""

from collections.abc import Callable
import dataclasses
import functools
import inspect
import json
import logging
import sys
import time
from typing import Any
from typing import ParamSpec

import loguru

from sassafras_base import line_writer
from sassafras_base import registry

P = ParamSpec("P")

# Levels that events may have.
_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")
_LOG_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message}"


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """One entry of the catalogue."""

    number: int
    name: str
    level: str
    meaning: str
    fields: tuple[str, ...]


catalogue: registry.Registry[LogEvent] = registry.Registry("log event")


def declare(
    number: int, level: str
) -> Callable[[Callable[P, str]], Callable[P, None]]:
    """Declares the decorated function as the log event `number`.

    Args:
      number: Unique number; a duplicate fails at import.
      level: A level name of loguru.
    """

    def decorate(message: Callable[P, str]) -> Callable[P, None]:
        event = LogEvent(
            number=number,
            name=message.__name__,
            level=level,
            meaning=inspect.getdoc(message) or "",
            fields=tuple(inspect.signature(message).parameters),
        )
        catalogue.register(f"{number:04d}")(event)

        @functools.wraps(message)
        def write(*args: P.args, **kwargs: P.kwargs) -> None:
            if _line_sink is not None:
                _line_sink.write_event(event, args, kwargs)
                return
            text = message(*args, **kwargs)
            loguru.logger.log(level, "E{:04d} {}", number, text)

        return write

    return decorate


class _LineSink:
    """Writes events as lines of JSON."""

    def __init__(self, writer: line_writer.LineWriter, level: str) -> None:
        self._writer = writer
        min_level = loguru.logger.level(level).no
        self._levels = frozenset(
            name
            for name in _LEVELS
            if loguru.logger.level(name).no >= min_level
        )

    def write_event(
        self, event: LogEvent, args: tuple[Any, ...], kwargs: dict[str, Any]
    ) -> None:
        """Writes a line unless the event is below the minimum level."""
        if event.level not in self._levels:
            return
        if not self._writer.try_reserve():
            return
        line: dict[str, object] = {
            "time": round(time.time(), 3),
            "level": event.level,
            "event": event.number,
            "name": event.name,
        }
        line.update(zip(event.fields, args, strict=False))
        line.update(kwargs)
        self._writer.write(json.dumps(line))


_line_sink: _LineSink | None = None


def configure_json(writer: line_writer.LineWriter, level: str) -> None:
    """Sends one JSON object for each event of at least `level` to a writer.

    An object has the time in seconds, the level, the event's number and name,
    and the event's fields. Events bypass loguru, which took a twentieth of the
    processor time with one line per request.
    """
    global _line_sink
    logging.getLogger("websockets").setLevel(logging.ERROR)
    loguru.logger.remove()
    _line_sink = _LineSink(writer, level)


def configure(level: str = "INFO") -> None:
    """Sends log lines of at least `level` to standard error."""
    # Libraries that log through `logging` would duplicate the numbered events
    # about connections.
    logging.getLogger("websockets").setLevel(logging.ERROR)
    loguru.logger.remove()
    loguru.logger.add(
        sys.stderr,
        level=level,
        format=_LOG_FORMAT,
        backtrace=False,
        # Variable values in tracebacks could show a caller's key.
        diagnose=False,
    )
