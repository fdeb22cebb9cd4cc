"""Plays seeds of randomized faults against real nodes on this machine.

Exits with 1 if a promise was broken; the logs of such a seed are kept.
"""

import pathlib
import random
import sys
import tempfile

from absl import app
from absl import flags
import trio

from sassafras_standins.soak import runs

_SEEDS = flags.DEFINE_integer("seeds", 5, "Runs, each with a fresh seed.", 1)
_SEED = flags.DEFINE_integer("seed", None, "Plays this seed only.")
_MACHINES = flags.DEFINE_integer("machines", 6, "Machines.", 2, 60)
_SECONDS = flags.DEFINE_float("seconds", 12.0, "How long faults begin.", 1)
_SETTINGS = flags.DEFINE_string(
    "settings", "deploy/node.ini", "The nodes' INI file."
)
_LOGS = flags.DEFINE_string("logs", "out/soak", "Where logs are kept.")


def _play(seed: int) -> bool:
    """Plays one seed; returns whether all promises were kept."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        result = trio.run(
            lambda: runs.run(
                seed,
                machines=_MACHINES.value,
                seconds=_SECONDS.value,
                settings=_SETTINGS.value,
                folder=folder,
            )
        )
        ended = ", ".join(
            f"{status or 'no answer'}: {count}"
            for status, count in sorted(result.statuses.items())
        )
        print(f"seed {seed}: {len(result.faults)} faults; {ended}")
        for line in result.broken:
            print(f"  BROKEN: {line}")
        if result.broken:
            kept = pathlib.Path(_LOGS.value) / str(seed)
            kept.mkdir(parents=True, exist_ok=True)
            for log in folder.glob("*.log"):
                (kept / log.name).write_bytes(log.read_bytes())
            (kept / "faults.txt").write_text("\n".join(result.faults) + "\n")
            print(f"  logs: {kept}")
    sys.stdout.flush()
    return not result.broken


def _main(argv: list[str]) -> int:
    del argv
    if _SEED.value is not None:
        seeds = [_SEED.value]
    else:
        seeds = [random.randrange(2**31) for _ in range(_SEEDS.value)]
    kept = [_play(seed) for seed in seeds]
    print(f"{sum(kept)} of {len(kept)} seeds kept every promise")
    return 0 if all(kept) else 1


if __name__ == "__main__":
    app.run(_main)
