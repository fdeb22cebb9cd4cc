"""Commands for targets."""

import result
import trio

from sassafras_cli import exit_codes
from sassafras_cli import registry
from sassafras_cli import tables
from sassafras_cli.commands import configuration
from sassafras_cli.commands import requests
from sassafras_wire.administration import models

_POLL_INTERVAL_S = 0.5


class StopAnswer(models.Answer):
    """Result of stopping a target, with the progress of its drain."""

    change: models.Change
    drain: models.Drain | None = None


@registry.command(
    "targets-list",
    example="sassafras targets-list --node=10.0.0.7:7404"
    " --credential_file=credential",
)
async def list_targets(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Lists the targets that have announced themselves."""
    got = await invocation.node.get("/targets", models.Targets)
    if isinstance(got, result.Err):
        return invocation.fail(got.err_value)
    table = tables.render(
        (
            "SERVICE",
            "TARGET",
            "STATE",
            "STOPPED",
            "SLOTS",
            "AVAILABILITY_ZONE",
            "NODE",
        ),
        [
            (
                target.service,
                target.address,
                target.state,
                target.stopped,
                target.slots,
                target.availability_zone,
                target.node_id,
            )
            for target in got.ok_value.targets
        ],
    )
    return invocation.show(got.ok_value, table)


@registry.command(
    "targets-start",
    "TARGET",
    flags=("note",),
    example="sassafras targets-start 10.0.0.7:8000 --node=10.0.0.7:7404"
    " --credential_file=credential",
)
async def start(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Gives a stopped target new work again."""
    (address,) = invocation.arguments
    made = await requests.change(
        invocation,
        "/targets/start",
        models.TargetRequest,
        models.Change,
        address=address,
    )
    return configuration.show_change(invocation, made)


@registry.command(
    "targets-stop",
    "TARGET",
    flags=("note", "wait_s"),
    example="sassafras targets-stop 10.0.0.7:8000 --wait_s=120"
    " --node=10.0.0.7:7404 --credential_file=credential",
)
async def stop(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Gives a target no more new work and waits until it has drained."""
    (address,) = invocation.arguments
    made = await requests.change(
        invocation,
        "/targets/stop",
        models.TargetRequest,
        models.Change,
        address=address,
    )
    if isinstance(made, result.Err):
        return invocation.fail(made.err_value)
    if not invocation.options.json:
        configuration.show_change(invocation, made)
    drain = await _wait_until_drained(invocation, address)
    is_drained = drain is not None and drain.drained
    if invocation.options.json:
        invocation.show(StopAnswer(change=made.ok_value, drain=drain), "")
    elif not is_drained:
        print(
            f"{address} has not drained after {invocation.options.wait_s:g} s;"
            " it stays stopped, and its calls go on. Run the command again to"
            " wait longer.",
            file=invocation.error_out,
        )
    if is_drained:
        return exit_codes.ExitCode.DONE
    return exit_codes.ExitCode.FAILED


async def _wait_until_drained(
    invocation: registry.Invocation, address: str
) -> models.Drain | None:
    """Shows progress until the target has drained or the wait times out."""
    drain: models.Drain | None = None
    shown = ""
    with trio.move_on_after(invocation.options.wait_s):
        while True:
            got = await invocation.node.get(
                "/targets/drain", models.Drain, {"address": address}
            )
            if isinstance(got, result.Ok):
                drain = got.ok_value
                line = _describe(drain)
            else:
                line = f"{address}: {got.err_value.problem.problem}"
            if line != shown and not invocation.options.json:
                print(line, file=invocation.out, flush=True)
            shown = line
            if drain is not None and drain.drained:
                break
            await trio.sleep(_POLL_INTERVAL_S)
    return drain


def _describe(drain: models.Drain) -> str:
    if drain.drained:
        return f"{drain.address}: {drain.state}, drained"
    if drain.calls_in_flight is None:
        return f"{drain.address}: {drain.state}, calls in flight not known"
    return (
        f"{drain.address}: {drain.state}, {drain.calls_in_flight} calls in"
        " flight"
    )
