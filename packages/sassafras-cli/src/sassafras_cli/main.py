"""Entry point of `sassafras`."""

from collections.abc import Sequence
import pathlib
import sys
from typing import TextIO

import result
import trio

from sassafras_cli import client as clients
from sassafras_cli import exit_codes
from sassafras_cli import help_text
from sassafras_cli import options
from sassafras_cli import registry
from sassafras_cli.commands import checking
from sassafras_cli.commands import configuration
from sassafras_cli.commands import explain
from sassafras_cli.commands import keys
from sassafras_cli.commands import nodes
from sassafras_cli.commands import report
from sassafras_cli.commands import status
from sassafras_cli.commands import targets

# Importing these modules registers their commands.
COMMAND_MODULES = (
    checking,
    configuration,
    explain,
    keys,
    nodes,
    report,
    status,
    targets,
)

_HELP = "help"


def run() -> None:
    """Runs the command line of the process and exits."""
    try:
        code = trio.run(execute, sys.argv[1:], sys.stdout, sys.stderr)
    except KeyboardInterrupt:
        print(
            "interrupted; a change that was sent may have been made",
            file=sys.stderr,
        )
        code = exit_codes.ExitCode.UNKNOWN
    sys.exit(int(code))


async def execute(
    argv: Sequence[str], out: TextIO, error_out: TextIO
) -> exit_codes.ExitCode:
    """Runs a command line given without the program's name."""
    parsed = options.parse(argv)
    if isinstance(parsed, result.Err):
        return _usage_error(parsed.err_value, error_out)
    line = parsed.ok_value
    name, *arguments = line.arguments or (_HELP,)
    if name == _HELP:
        if not arguments:
            print(help_text.overview(), file=out)
            return exit_codes.ExitCode.DONE
        name = arguments[0]
    if name not in registry.commands:
        return _usage_error(f"there is no command {name!r}", error_out)
    command = registry.commands.get(name)
    if line.arguments[0] == _HELP or line.options.help:
        print(help_text.command_help(command), file=out)
        return exit_codes.ExitCode.DONE
    fault = _find_fault(command, line)
    if fault:
        return _usage_error(f"{fault}; usage: {command.usage}", error_out)
    client: clients.AdminClient | None = None
    if command.uses_node or line.options.compare:
        made = _make_client(line.options)
        if isinstance(made, result.Err):
            return _usage_error(made.err_value, error_out)
        client = made.ok_value
    return await command.run(
        registry.Invocation(
            options=line.options,
            arguments=tuple(arguments),
            out=out,
            error_out=error_out,
            client=client,
        )
    )


def _find_fault(command: registry.Command, line: options.CommandLine) -> str:
    # Scripts may pass the node flags to every command.
    surplus = sorted(line.given - {*command.all_flags, *options.NODE_FLAGS})
    if surplus:
        return f"{command.name} does not take --{surplus[0]}"
    if not command.accepts(line.arguments[1:]):
        return f"{command.name} got {len(line.arguments) - 1} argument(s)"
    return ""


def _make_client(
    given: options.Options,
) -> result.Result[clients.AdminClient, str]:
    if not given.node:
        return result.Err("--node is missing; give a node's admin address")
    host, _, port = given.node.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        return result.Err(f"--node={given.node} is not host:port")
    if not given.credential_file:
        return result.Err("--credential_file is missing")
    try:
        text = pathlib.Path(given.credential_file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f"--credential_file cannot be read: {error}")
    credential = text.strip()
    if not credential or not credential.isascii() or " " in credential:
        return result.Err(
            "--credential_file must hold one credential in ASCII, without"
            " spaces"
        )
    return result.Ok(
        clients.AdminClient(given.node, credential, given.timeout_s)
    )


def _usage_error(problem: str, error_out: TextIO) -> exit_codes.ExitCode:
    print(f"sassafras: {problem}", file=error_out)
    print("`sassafras help` lists the commands.", file=error_out)
    return exit_codes.ExitCode.USAGE
