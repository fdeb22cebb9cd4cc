"""The command that prints the burn report."""

import result

from sassafras_cli import exit_codes
from sassafras_cli import registry
from sassafras_wire.administration import models


@registry.command(
    "report",
    flags=("format",),
    example="sassafras report --format=html --node=10.0.0.7:7404"
    " --credential_file=credential > report.html",
)
async def report(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Prints the service-level burn report of the whole fleet."""
    form = "json" if invocation.options.json else invocation.options.format
    got = await invocation.node.get(
        "/report", models.RawResponse, {"format": form}
    )
    if isinstance(got, result.Err):
        return invocation.fail(got.err_value)
    print(got.ok_value.content, file=invocation.out)
    return exit_codes.ExitCode.DONE
