"""Runs soak tests with random or given seeds on this machine.

Exits with 1 if an invariant was violated; the logs of that seed are kept.
"""

import pathlib
import random
import sys
import tempfile

from absl import app
from absl import flags
import trio

from sassafras_standins.soak import runner

_SEEDS = flags.DEFINE_integer("seeds", 5, "Runs, each with a fresh seed.", 1)
_SEED = flags.DEFINE_integer("seed", None, "Runs only this seed.")
_MACHINES = flags.DEFINE_integer("machines", 6, "Machines.", 2, 60)
_SECONDS = flags.DEFINE_float(
    "seconds", 12.0, "Seconds during which faults start.", 1
)
_SETTINGS = flags.DEFINE_string(
    "settings", "deploy/node.ini", "The nodes' INI file."
)
_LOGS = flags.DEFINE_string(
    "logs", "out/soak", "Folder for the logs of failed seeds."
)


def _run_seed(seed: int) -> bool:
    """Runs one seed; returns whether all invariants held."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        result = trio.run(
            lambda: runner.run(
                seed,
                machines=_MACHINES.value,
                seconds=_SECONDS.value,
                settings=_SETTINGS.value,
                folder=folder,
            )
        )
        counts = ", ".join(
            f"{status or 'no answer'}: {count}"
            for status, count in sorted(result.statuses.items())
        )
        print(f"seed {seed}: {len(result.faults)} faults; {counts}")
        for line in result.violations:
            print(f"  BROKEN: {line}")
        if result.violations:
            log_folder = pathlib.Path(_LOGS.value) / str(seed)
            log_folder.mkdir(parents=True, exist_ok=True)
            for log in folder.glob("*.log"):
                (log_folder / log.name).write_bytes(log.read_bytes())
            (log_folder / "faults.txt").write_text(
                "\n".join(result.faults) + "\n"
            )
            print(f"  logs: {log_folder}")
    sys.stdout.flush()
    return not result.violations


def _main(argv: list[str]) -> int:
    del argv
    if _SEED.value is not None:
        seeds = [_SEED.value]
    else:
        seeds = [random.randrange(2**31) for _ in range(_SEEDS.value)]
    passed = [_run_seed(seed) for seed in seeds]
    print(f"{sum(passed)} of {len(passed)} seeds kept every promise")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    app.run(_main)
