"""Commands for callers' keys."""

from typing import TypeVar

import result

from sassafras_cli import client as clients
from sassafras_cli import exit_codes
from sassafras_cli import registry
from sassafras_cli import tables
from sassafras_cli.commands import configuration
from sassafras_cli.commands import requests
from sassafras_wire.administration import models

A = TypeVar("A", bound=models.Answer)


@registry.command(
    "keys-grant",
    "ORGANISATION LABEL",
    flags=("note",),
    example="sassafras keys-grant aegean-commercial-bank 2026-autumn"
    " --node=10.0.0.7:7404 --credential_file=credential",
)
async def grant(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Makes a new key and shows it, this one time."""
    made = await _change(invocation, "/keys/grant", models.GrantedKey)
    if isinstance(made, result.Err):
        return invocation.fail(made.err_value)
    granted = made.ok_value
    return invocation.show(
        granted,
        f"written as revision {granted.revision}\n"
        f"key {granted.organisation}/{granted.label}: {granted.key}\n"
        "The key is not shown again; pass it on over a safe channel.",
    )


@registry.command(
    "keys-withdraw",
    "ORGANISATION LABEL",
    flags=("note",),
    example="sassafras keys-withdraw aegean-commercial-bank 2026-spring"
    " --node=10.0.0.7:7404 --credential_file=credential",
)
async def withdraw(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Takes a key out of force, on open connections too."""
    made = await _change(invocation, "/keys/withdraw", models.Change)
    return configuration.show_change(invocation, made)


@registry.command(
    "keys-list",
    example="sassafras keys-list --node=10.0.0.7:7404"
    " --credential_file=credential",
)
async def list_keys(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Lists the keys in force by label; the keys themselves are not kept."""
    got = await invocation.node.get("/keys", models.Keys)
    if isinstance(got, result.Err):
        return invocation.fail(got.err_value)
    table = tables.render(
        ("ORGANISATION", "LABEL", "DIGEST"),
        [(k.organisation, k.label, k.digest[:16]) for k in got.ok_value.keys],
    )
    return invocation.show(got.ok_value, table)


async def _change(
    invocation: registry.Invocation, path: str, response_model: type[A]
) -> result.Result[A, clients.Failure]:
    organisation, label = invocation.arguments
    return await requests.change(
        invocation,
        path,
        models.KeyRequest,
        response_model,
        organisation=organisation,
        label=label,
    )
