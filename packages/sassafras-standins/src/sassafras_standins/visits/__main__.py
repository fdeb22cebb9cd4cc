"""Prints what a call costs at each node that it visits.

One line for each case and node: calls of Python functions by package, their
sum, system calls and task steps; `--verbose` adds the names of system calls.
"""

import os
import sys

from sassafras_base import events
from sassafras_base import line_writer
from sassafras_standins.visits import scenario


def main() -> int:
    """Counts and prints all cases."""
    # Nodes on the platform write their log as lines of JSON.
    descriptor = os.open(os.devnull, os.O_WRONLY)
    events.configure_json(line_writer.LineWriter(descriptor), "INFO")
    is_verbose = "--verbose" in sys.argv[1:]
    for case in scenario.CASES:
        for node, counts in scenario.count(case).items():
            calls = " ".join(f"{n} {c:.1f}" for n, c in counts.calls.items())
            print(
                f"{case.name} at {node}: {calls}"
                f" sum {sum(counts.calls.values()):.1f}"
                f" system {sum(counts.system_calls.values()):.1f}"
                f" steps {counts.steps:.2f}",
                flush=True,
            )
            if is_verbose:
                for name, number in sorted(counts.system_calls.items()):
                    print(f"  {name} {number:.2f}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
