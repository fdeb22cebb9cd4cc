"""Commands for the configuration."""

import json

import result

from sassafras_cli import client as clients
from sassafras_cli import exit_codes
from sassafras_cli import registry
from sassafras_cli import tables
from sassafras_cli.commands import content_files
from sassafras_cli.commands import requests
from sassafras_wire.administration import models


@registry.command(
    "show",
    example="sassafras show --json --node=10.0.0.7:7404"
    " --credential_file=credential > document.json",
)
async def show(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Shows the document in force; with --json in the form apply takes."""
    got = await invocation.node.get("/configuration", models.Configuration)
    if isinstance(got, result.Err):
        return invocation.fail(got.err_value)
    document = got.ok_value.document or {}
    text = json.dumps(document, indent=2)
    if not invocation.options.json:
        text = f"revision {got.ok_value.revision}\n{text}"
    print(text, file=invocation.out)
    return exit_codes.ExitCode.DONE


@registry.command(
    "plan",
    "FILE",
    example="sassafras plan examples/athens.ini --node=10.0.0.7:7404"
    " --credential_file=credential",
)
async def plan(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Shows what a file would change in the configuration in force."""
    (path,) = invocation.arguments
    loaded = content_files.load_request(path)
    if isinstance(loaded, result.Err):
        return invocation.fail(loaded.err_value)
    planned = await invocation.node.post(
        "/configuration/plan", loaded.ok_value, models.Plan
    )
    if isinstance(planned, result.Err):
        return invocation.fail(planned.err_value)
    response = planned.ok_value
    lines = [
        f"revision {response.revision} is in force",
        tables.differences(response.differences),
    ]
    if response.differences:
        lines.append(
            f"to apply: sassafras apply {path}"
            f" --expected_revision={response.revision}"
        )
    return invocation.show(response, "\n".join(lines))


@registry.command(
    "apply",
    "FILE",
    flags=("expected_revision", "note"),
    example="sassafras apply examples/athens.ini --expected_revision=7"
    ' --note="higher rate for the Aegean bank" --node=10.0.0.7:7404'
    " --credential_file=credential",
)
async def apply(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Puts a file into force, if the expected revision is still the newest."""
    (path,) = invocation.arguments
    loaded = content_files.load_request(path)
    if isinstance(loaded, result.Err):
        return invocation.fail(loaded.err_value)
    request = requests.build(
        models.ApplyRequest,
        **dict(loaded.ok_value),
        # Without the flag there must be no configuration yet.
        expected_revision=invocation.options.expected_revision or 0,
        note=invocation.options.note,
    )
    if isinstance(request, result.Err):
        return invocation.fail(request.err_value)
    made = await invocation.node.change(
        "/configuration/apply", request.ok_value, models.Change
    )
    return show_change(invocation, made)


@registry.command(
    "history",
    "[REVISION]",
    example="sassafras history --node=10.0.0.7:7404"
    " --credential_file=credential",
)
async def history(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Lists the last contents, or shows the one of a revision."""
    query = {}
    if invocation.arguments:
        query["revision"] = invocation.arguments[0]
    got = await invocation.node.get(
        "/configuration/history", models.History, query
    )
    if isinstance(got, result.Err):
        return invocation.fail(got.err_value)
    found = got.ok_value.contents
    text = tables.render(
        ("REVISION", "AUTHOR", "NOTE"),
        [(item.revision, item.author, item.note) for item in found],
    )
    if invocation.arguments:
        text += "\n" + json.dumps(found[0].document, indent=2)
    return invocation.show(got.ok_value, text)


@registry.command(
    "rollforward",
    "REVISION",
    flags=("expected_revision", "note"),
    example="sassafras rollforward 5 --expected_revision=7"
    " --node=10.0.0.7:7404 --credential_file=credential",
)
async def roll_forward(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Puts an earlier content into force again, as a new revision."""
    (revision,) = invocation.arguments
    expected = invocation.options.expected_revision
    if expected is None:
        return invocation.fail(
            requests.usage_failure(
                "--expected_revision is missing; `sassafras history` shows the"
                " newest one"
            )
        )
    request = requests.build(
        models.RollForwardRequest,
        revision=revision,
        expected_revision=expected,
        note=invocation.options.note,
    )
    if isinstance(request, result.Err):
        return invocation.fail(request.err_value)
    made = await invocation.node.change(
        "/configuration/rollforward", request.ok_value, models.Change
    )
    return show_change(invocation, made)


def show_change(
    invocation: registry.Invocation,
    made: result.Result[models.Change, clients.Failure],
) -> exit_codes.ExitCode:
    """Prints the result of a change."""
    if isinstance(made, result.Err):
        return invocation.fail(made.err_value)
    change = made.ok_value
    if change.outcome is models.WriteOutcome.UNCHANGED:
        return invocation.show(
            change, f"already as asked in revision {change.revision}"
        )
    lines = [f"written as revision {change.revision}"]
    if change.differences:
        lines.append(tables.differences(change.differences))
    return invocation.show(change, "\n".join(lines))
