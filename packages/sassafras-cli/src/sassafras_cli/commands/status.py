"""Commands that show a node's state and the audit records."""

import result

from sassafras_cli import exit_codes
from sassafras_cli import registry
from sassafras_cli import tables
from sassafras_wire.administration import models


@registry.command(
    "status",
    example="sassafras status --node=10.0.0.7:7404"
    " --credential_file=credential",
)
async def status(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Shows the state of the node: calls, levels, limits, refusals."""
    got = await invocation.node.get("/status", models.Status)
    if isinstance(got, result.Err):
        return invocation.fail(got.err_value)
    found = got.ok_value
    target = found.target
    rows: list[tuple[str, object]] = [
        ("node", found.node_id),
        ("availability zone", found.availability_zone),
        ("incarnation", found.incarnation),
        ("revision in force", found.revision),
        ("roster epoch", found.roster_epoch),
        ("draining", found.draining),
        ("peers alive", found.peers),
        ("calls in flight", found.calls_in_flight),
        ("target", target.address if target else None),
        ("target state", target.state if target else None),
        ("target calls in flight", found.target_calls_in_flight),
        ("target load", found.target_load),
        ("target limit", found.target_limit),
        ("calls to the store", found.store_calls),
        *(
            (f"level of {service}", f"{level} of {found.open_level}")
            for service, level in sorted(found.levels.items())
        ),
        *(
            (f"refused: {reason}", count)
            for reason, count in sorted((found.refusals or {}).items())
        ),
    ]
    parts = [tables.render(("WHAT", "VALUE"), rows)]
    if found.limits:
        parts.append(
            tables.render(
                (
                    "ORGANISATION",
                    "RATE_PER_S",
                    "BURST",
                    "RATE_HERE",
                    "TOKENS_HERE",
                ),
                [
                    (
                        limit.organisation,
                        limit.rate_per_s,
                        limit.burst,
                        f"{limit.node_rate_per_s:.1f}",
                        f"{limit.node_tokens:.1f}",
                    )
                    for limit in found.limits
                ],
            )
        )
    return invocation.show(found, "\n\n".join(parts))


@registry.command(
    "audit",
    flags=("limit",),
    example="sassafras audit --limit=50 --node=10.0.0.7:7404"
    " --credential_file=credential",
)
async def audit(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Lists the newest changes: who, what, when and what became of them."""
    got = await invocation.node.get(
        "/audit", models.Audit, {"limit": str(invocation.options.limit)}
    )
    if isinstance(got, result.Err):
        return invocation.fail(got.err_value)
    table = tables.render(
        (
            "NUMBER",
            "TIME",
            "OPERATOR",
            "ACTION",
            "SUBJECT",
            "OUTCOME",
            "REVISION",
            "NOTE",
        ),
        [
            (
                record.number,
                tables.format_time(record.wall_time_s),
                record.operator,
                record.action,
                record.subject,
                str(record.outcome),
                record.revision,
                record.note,
            )
            for record in got.ok_value.records
        ],
    )
    return invocation.show(got.ok_value, table)
