"""The registry of commands, filled by decorators."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import TextIO

from sassafras_base import registry
from sassafras_cli import client as clients
from sassafras_cli import exit_codes
from sassafras_cli import options
from sassafras_cli import tables
from sassafras_wire.administration import models


@dataclasses.dataclass(frozen=True, slots=True)
class Invocation:
    """A parsed command line and the streams of its command.

    Attributes:
      options: The values of the flags.
      arguments: The command's arguments.
      out: Stream for results.
      error_out: Stream for problems.
      client: Client of the node; None for commands that use none.
    """

    options: options.Options
    arguments: tuple[str, ...]
    out: TextIO
    error_out: TextIO
    client: clients.AdminClient | None

    @property
    def node(self) -> clients.AdminClient:
        """The client of a command that uses a node."""
        assert self.client is not None
        return self.client

    def show(self, response: models.Answer, text: str) -> exit_codes.ExitCode:
        """Prints a result as JSON or as text."""
        if self.options.json:
            text = response.model_dump_json(indent=2, exclude_none=True)
        print(text, file=self.out)
        return exit_codes.ExitCode.DONE

    def fail(self, failure: clients.Failure) -> exit_codes.ExitCode:
        """Prints a problem; as JSON it goes to the stream for results."""
        problem = failure.problem
        if self.options.json:
            text = problem.model_dump_json(indent=2, exclude_none=True)
            print(text, file=self.out)
            return failure.exit_code
        lines = [f"{problem.step} [{problem.peer}]: {problem.problem}"]
        if problem.faults:
            lines.append(tables.faults(problem.faults))
        if problem.differences:
            lines.append(tables.differences(problem.differences))
        if problem.advice:
            lines.append(f"advice: {problem.advice}")
        print("\n".join(lines), file=self.error_out)
        return failure.exit_code


CommandFunction = Callable[[Invocation], Awaitable[exit_codes.ExitCode]]


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A command of the command line.

    Attributes:
      name: Name on the command line.
      arguments: Names of its arguments; those in brackets are optional.
      flags: Names of its flags, without the common ones.
      summary: One-line description.
      example: Example of a command line.
      uses_node: Whether it sends requests to a node.
      run: Function that implements it.
    """

    name: str
    arguments: tuple[str, ...]
    flags: tuple[str, ...]
    summary: str
    example: str
    uses_node: bool
    run: CommandFunction

    @property
    def all_flags(self) -> tuple[str, ...]:
        """Every flag that the command takes."""
        node = options.NODE_FLAGS if self.uses_node else ()
        return (*node, *self.flags, *options.COMMON_FLAGS)

    @property
    def usage(self) -> str:
        """The command line with the names of the arguments."""
        return " ".join(["sassafras", self.name, *self.arguments])

    def accepts(self, arguments: tuple[str, ...]) -> bool:
        """Returns whether the number of arguments is valid."""
        needed = [a for a in self.arguments if not a.startswith("[")]
        return len(needed) <= len(arguments) <= len(self.arguments)


commands: registry.Registry[Command] = registry.Registry("command")


def command(
    name: str,
    arguments: str = "",
    *,
    flags: tuple[str, ...] = (),
    example: str,
    uses_node: bool = True,
) -> Callable[[CommandFunction], CommandFunction]:
    """Registers the decorated function; its docstring is the summary."""

    def decorate(run: CommandFunction) -> CommandFunction:
        entry = Command(
            name=name,
            arguments=tuple(arguments.split()),
            flags=flags,
            summary=" ".join((run.__doc__ or "").split("\n\n")[0].split()),
            example=example,
            uses_node=uses_node,
            run=run,
        )
        commands.register(name)(entry)
        return run

    return decorate
