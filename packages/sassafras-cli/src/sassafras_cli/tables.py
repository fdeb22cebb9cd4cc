"""Plain-text tables for terminals."""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime

from sassafras_wire.administration import models

_GAP = "  "
_ABSENT = "-"


def render(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Returns a table with numeric columns aligned to the right."""
    cells = [[_format_cell(value) for value in row] for row in rows]
    lines = [list(head), *cells]
    widths = [max(len(line[i]) for line in lines) for i in range(len(head))]
    numeric = [
        _is_numeric([row[index] for row in cells]) for index in range(len(head))
    ]
    return "\n".join(
        _GAP.join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(line, widths, numeric, strict=True)
        ).rstrip()
        for line in lines
    )


def differences(found: Sequence[models.DifferenceModel]) -> str:
    """Returns a table of differences."""
    if not found:
        return "no differences"
    return render(
        ("SUBJECT", "ACTION", "KEY", "BEFORE", "AFTER"),
        [(d.subject, d.action, d.field, d.before, d.after) for d in found],
    )


def faults(found: Sequence[models.FaultModel]) -> str:
    """Returns a table of faults."""
    return render(
        ("LINE", "SECTION", "KEY", "GIVEN", "ALLOWED"),
        [(f.line or "", f.section, f.key, f.given, f.allowed) for f in found],
    )


def format_time(wall_time_s: float) -> str:
    """Returns a wall-clock time in UTC, in ISO 8601 format."""
    moment = datetime.datetime.fromtimestamp(wall_time_s, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def _format_cell(value: object) -> str:
    if value is None or value == "":
        return _ABSENT
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)


def _is_numeric(column: Sequence[str]) -> bool:
    values = [text for text in column if text != _ABSENT]
    return bool(values) and all(
        text.replace(".", "", 1).isdigit() for text in values
    )
