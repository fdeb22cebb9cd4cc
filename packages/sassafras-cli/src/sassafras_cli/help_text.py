"""Builds the help texts."""

from sassafras_cli import exit_codes
from sassafras_cli import options
from sassafras_cli import registry


def overview() -> str:
    """Returns the general help: commands and exit codes."""
    entries = [entry for _, entry in registry.commands.items()]
    width = max(len(entry.usage) for entry in entries)
    lines = ["usage: sassafras COMMAND [ARGUMENTS] [FLAGS]", "", "commands:"]
    lines += [f"  {e.usage.ljust(width)}  {e.summary}" for e in entries]
    lines += ["", "exit codes:"]
    lines += [
        f"  {int(code)}  {meaning}"
        for code, meaning in exit_codes.MEANINGS.items()
    ]
    lines += ["", "`sassafras help COMMAND` shows flags and an example."]
    return "\n".join(lines)


def command_help(command: registry.Command) -> str:
    """Returns the help of one command: usage, flags and an example."""
    found = options.describe(command.all_flags)
    width = max(len(name) for name, _ in found)
    lines = [f"usage: {command.usage} [FLAGS]", "", command.summary]
    lines += ["", "flags:"]
    lines += [f"  {name.ljust(width)}  {meaning}" for name, meaning in found]
    lines += ["", "example:", f"  {command.example}"]
    return "\n".join(lines)
