"""Runs all measurements, or those named on the command line.

Prints a line for each figure: `name value unit bound ok|short`. A figure that
misses its bound is `short`, which does not affect the exit code.
"""

import importlib
import pkgutil
import sys

import trio

from sassafras_standins import measure
from sassafras_standins.measure import figures


def main() -> int:
    """Runs the measurements."""
    for module in pkgutil.iter_modules(measure.__path__):
        if module.name != "__main__":
            importlib.import_module(f"{measure.__name__}.{module.name}")
    names = sys.argv[1:] or figures.measurements.names
    failed = 0
    for name in names:
        try:
            results = trio.run(figures.measurements.get(name))
        except Exception as error:
            failed += 1
            print(f"{name} failed: {error!r}", flush=True)
            continue
        for figure in results:
            print(figure, flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
