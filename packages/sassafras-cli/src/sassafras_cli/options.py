"""The flags of the command line."""

from collections.abc import Sequence
import dataclasses
from typing import Any

from absl import flags
import result

# Flags that every command takes.
COMMON_FLAGS = ("help", "json")
# Flags of the commands that use a node.
NODE_FLAGS = ("node", "credential_file", "timeout_s")

_DEFAULT_TIMEOUT_S = 60.0
_DEFAULT_WAIT_S = 600.0
_DEFAULT_LIMIT = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """The values of the flags.

    Attributes:
      help: Whether to show help instead of running the command.
      json: Whether the output is JSON instead of tables.
      node: Administration address of any node.
      credential_file: File with the operator's credential.
      timeout_s: Timeout of a request. When the store's response to a write is
        lost, a node takes up to 20 s to find out the result.
      expected_revision: Revision on which a change is based.
      note: The operator's comment on a change.
      limit: Number of audit records to show.
      wait_s: Timeout for a target to drain.
      format: Output format of the burn report.
      compare: Whether to compare a file with the deployment of the node.
      earlier: File to compare a file with.
    """

    help: bool = False
    json: bool = False
    node: str | None = None
    credential_file: str | None = None
    timeout_s: float = _DEFAULT_TIMEOUT_S
    expected_revision: int | None = None
    note: str = ""
    limit: int = _DEFAULT_LIMIT
    wait_s: float = _DEFAULT_WAIT_S
    format: str = "text"
    compare: bool = False
    earlier: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CommandLine:
    """A parsed command line.

    Attributes:
      options: The values of the flags.
      given: Names of the flags that are present.
      arguments: The positional arguments, with the command first.
    """

    options: Options
    given: frozenset[str]
    arguments: tuple[str, ...]


def parse(argv: Sequence[str]) -> result.Result[CommandLine, str]:
    """Parses arguments without the program's name; returns a fault if any."""
    values = _define()
    try:
        _, *arguments = values(["sassafras", *argv])
    except flags.Error as error:
        return result.Err(str(error))
    names = [field.name for field in dataclasses.fields(Options)]
    content: dict[str, Any] = {name: values[name].value for name in names}
    return result.Ok(
        CommandLine(
            options=Options(**content),
            given=frozenset(name for name in names if values[name].present),
            arguments=tuple(arguments),
        )
    )


def describe(names: Sequence[str]) -> list[tuple[str, str]]:
    """Returns flags with their help texts."""
    values = _define()
    return [(f"--{name}", values[name].help) for name in names]


def _define() -> flags.FlagValues:
    # The library's global flags would prevent a second run in one process.
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    flags.DEFINE_boolean(
        "help", False, "Show help and do nothing.", flag_values=values
    )
    flags.DEFINE_boolean(
        "json", False, "Print JSON instead of tables.", flag_values=values
    )
    flags.DEFINE_string(
        "node",
        None,
        "Administration address of any node, host:port.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "credential_file",
        None,
        "File with your operator's credential.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout_s",
        _DEFAULT_TIMEOUT_S,
        "Seconds to wait for an answer.",
        lower_bound=0.1,
        flag_values=values,
    )
    flags.DEFINE_integer(
        "expected_revision",
        None,
        "Revision that the change is made from, as plan shows it; needed"
        " unless there is no configuration yet.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "note", "", "What to record about the change.", flag_values=values
    )
    flags.DEFINE_integer(
        "limit",
        _DEFAULT_LIMIT,
        "How many of the newest audit records to show.",
        lower_bound=1,
        upper_bound=1000,
        flag_values=values,
    )
    flags.DEFINE_float(
        "wait_s",
        _DEFAULT_WAIT_S,
        "Seconds to wait until the target has drained.",
        lower_bound=0.0,
        flag_values=values,
    )
    flags.DEFINE_enum(
        "format",
        "text",
        ["text", "html"],
        "Form of the burn report; --json gives JSON.",
        flag_values=values,
    )
    flags.DEFINE_boolean(
        "compare",
        False,
        "Also compare with the configuration in force and the announced"
        " targets; needs --node and --credential_file.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "earlier",
        "",
        "File to compare with, such as a copy of the configuration in force.",
        flag_values=values,
    )
    return values
