"""Runs all slope measurements and prints a Markdown table."""

import importlib
import pkgutil
import sys

from sassafras_standins import capacity
from sassafras_standins.capacity import slopes


def main() -> int:
    """Runs all slope measurements."""
    for module in pkgutil.iter_modules(capacity.__path__):
        if module.name != "__main__":
            importlib.import_module(f"{capacity.__name__}.{module.name}")
    print("| quantity | unit | measured (size: value) | gradient | fit |")
    print("| --- | --- | --- | --- | --- |")
    for _, measure in slopes.slopes.items():
        for slope in measure():
            print(slope, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
