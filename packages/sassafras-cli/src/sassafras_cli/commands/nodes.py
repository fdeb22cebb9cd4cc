"""Commands for nodes."""

import result

from sassafras_cli import exit_codes
from sassafras_cli import registry
from sassafras_cli import tables
from sassafras_cli.commands import requests
from sassafras_wire.administration import models


@registry.command(
    "nodes",
    example="sassafras nodes --node=10.0.0.7:7404 --credential_file=credential",
)
async def list_nodes(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Lists the nodes with incarnation, status and revision in force."""
    got = await invocation.node.get("/nodes", models.Nodes)
    if isinstance(got, result.Err):
        return invocation.fail(got.err_value)
    response = got.ok_value
    table = tables.render(
        (
            "NODE",
            "AVAILABILITY_ZONE",
            "STATUS",
            "INCARNATION",
            "REVISION",
            "EPOCH",
            "ROSTER",
            "SERVICE",
            "TARGET",
        ),
        [
            (
                node.node_id,
                node.availability_zone,
                node.status,
                node.incarnation,
                node.revision,
                node.roster_epoch,
                node.in_roster,
                node.service,
                node.target_state,
            )
            for node in response.nodes
        ],
    )
    return invocation.show(
        response,
        f"revision {response.revision}, roster epoch {response.roster_epoch}\n"
        + table,
    )


@registry.command(
    "nodes-forget",
    "NODE",
    flags=("note",),
    example="sassafras nodes-forget 10.0.0.9:7401 --node=10.0.0.7:7404"
    " --credential_file=credential",
)
async def forget(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Removes a lost node from the roster; its host must be gone for good."""
    (node_id,) = invocation.arguments
    made = await requests.change(
        invocation,
        "/nodes/forget",
        models.ForgetRequest,
        models.Change,
        node_id=node_id,
    )
    if isinstance(made, result.Err):
        return invocation.fail(made.err_value)
    change = made.ok_value
    text = f"forgotten in roster epoch {change.revision}"
    if change.outcome is models.WriteOutcome.UNCHANGED:
        text = f"was forgotten already; roster epoch {change.revision}"
    return invocation.show(change, text)
