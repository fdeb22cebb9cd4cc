"""Exit codes of the command line, for scripts."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4


MEANINGS = {
    ExitCode.DONE: "done, or already as asked",
    ExitCode.FAILED: "refused or failed; nothing was changed, except that a"
    " target that has not drained in time stays stopped; or `check` has"
    " findings",
    ExitCode.USAGE: "usage or invalid input; nothing was changed",
    ExitCode.CONFLICT: "another change was first; nothing was changed",
    ExitCode.UNKNOWN: "outcome unknown; the change may have been made",
}
