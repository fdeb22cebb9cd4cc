"""Exit codes of the programs that run a node."""

from collections.abc import Callable
import sys

from sassafras_base import errors
from sassafras_base import supervision

_EXIT_USAGE = 2
_EXIT_FAILED = 1


def run(argv: list[str], serve: Callable[[], None]) -> int:
    """Runs a node and returns the exit code of the program.

    Args:
      argv: The program's name, and arguments that are not flags; none are
        allowed.
      serve: Loads the settings and runs the node until its planned stop.
    """
    if len(argv) > 1:
        print(f"unexpected arguments: {argv[1:]}", file=sys.stderr)
        return _EXIT_USAGE
    try:
        serve()
    except errors.InvalidInputError as error:
        print(error, file=sys.stderr)
        return _EXIT_USAGE
    except (supervision.GaveUpError, OSError) as error:
        print(error, file=sys.stderr)
        return _EXIT_FAILED
    return 0
