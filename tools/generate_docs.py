"""Generates docs/events.md from the declared log events.

With --check it only verifies that the page is up to date.
"""

import importlib
import pathlib
import pkgutil
import sys

from sassafras_base import events

_PAGE = pathlib.Path("docs/events.md")
_PACKAGES = (
    "sassafras_base",
    "sassafras_policy",
    "sassafras_wire",
    "sassafras_node",
    "sassafras_cli",
    "sassafras_platform",
)
_HEAD = """# Log events

Each log line carries an event number. This page is generated from the code by
`make docs`.

"""


def _import_all() -> None:
    for name in _PACKAGES:
        package = importlib.import_module(name)
        for module in pkgutil.walk_packages(package.__path__, name + "."):
            if not module.name.endswith("__main__"):
                importlib.import_module(module.name)


def _render_page() -> str:
    _import_all()
    parts = [_HEAD]
    for _, event in events.catalogue.items():
        meaning = " ".join(event.meaning.split())
        fields = ", ".join(event.fields) or "none"
        parts.append(
            f"## E{event.number:04d} {event.name} ({event.level})\n\n"
            f"{meaning}\n\nFields: {fields}.\n\n"
        )
    return "".join(parts).rstrip() + "\n"


def main() -> int:
    """Writes the page, or checks it; returns 1 if it is out of date."""
    page = _render_page()
    if "--check" in sys.argv:
        if not _PAGE.exists() or _PAGE.read_text(encoding="utf-8") != page:
            print(f"{_PAGE} is out of date; run `make docs`")
            return 1
        print(f"{_PAGE} is up to date")
        return 0
    _PAGE.write_text(page, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
