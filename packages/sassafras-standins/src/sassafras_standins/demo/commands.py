"""Runs the command-line tool of operators against a fleet."""

import dataclasses
import pathlib
import subprocess
import sys

import trio

from sassafras_standins.fleet import launcher


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit code and output (standard output and error) of a command."""

    exit_code: int
    output: str


async def sassafras(
    fleet: launcher.Fleet, node: launcher.Host, *arguments: str
) -> CommandResult:
    """Runs the `sassafras` command with the administration API of a node."""
    binary = pathlib.Path(sys.executable).with_name("sassafras")
    finished = await trio.run_process(
        [
            str(binary),
            *arguments,
            f"--node={node.admin_address}",
            f"--credential_file={fleet.credential_file}",
        ],
        capture_stdout=True,
        stderr=subprocess.STDOUT,
        check=False,
    )
    return CommandResult(finished.returncode, finished.stdout.decode())
