"""Validates, stores and audits operators' changes of the configuration."""

from collections.abc import Callable
import dataclasses

import result
import trio

from sassafras_base import events
from sassafras_node import runtime as runtimes
from sassafras_node.admin import replies
from sassafras_node.store import audit
from sassafras_node.store import history
from sassafras_node.store import writer
from sassafras_policy.configuration import differences
from sassafras_policy.configuration import document as documents
from sassafras_wire.administration import models
from sassafras_wire.store import client as store_client
from sassafras_wire.store import configuration_writer

# A change without an expected revision, such as a new key, is retried on the
# newer revision when another change was stored first.
_MAX_ATTEMPTS = 3

_STORE_ERRORS = (
    store_client.StoreUnavailableError,
    store_client.StoreRefusedError,
)

Edit = Callable[
    [documents.Document | None],
    result.Result[documents.Document, replies.Refusal],
]


@events.declare(600, "INFO")
def operator_change(
    operator: str, action: str, subject: str, outcome: str, revision: int
) -> str:
    """An operator changed the configuration or the roster, or tried to."""
    return (
        f"operator {operator}: {action} {subject}: {outcome},"
        f" revision {revision}"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A change requested by an operator.

    Attributes:
      operator: Name of the operator.
      step: Name of the request in errors.
      action: Action in the audit record, such as `keys-grant`.
      subject: What the action applies to, in the audit record.
      note: Comment of the operator.
      edit: Derives the new document from the stored one, or refuses.
      expected_revision: Stored revision that the change requires; None if it
        applies to any.
    """

    operator: str
    step: str
    action: str
    subject: str
    note: str
    edit: Edit
    expected_revision: int | None = None


async def commit(
    runtime: runtimes.Runtime, proposal: Proposal
) -> result.Result[models.Change, replies.Refusal]:
    """Stores a change and its audit record, or returns a refusal.

    Shielded from cancellation when the operator disconnects: an interrupted
    change would leave an audit record without an outcome.
    """
    reply: result.Result[models.Change, replies.Refusal] | None = None
    attempts = 1 if proposal.expected_revision is not None else _MAX_ATTEMPTS
    with trio.CancelScope(shield=True):
        while attempts:
            attempts -= 1
            reply = await _attempt(runtime, proposal)
            if (
                isinstance(reply, result.Ok)
                or reply.err_value.status != replies.CONFLICT
            ):
                break
    assert reply is not None
    return reply


async def _attempt(
    runtime: runtimes.Runtime, proposal: Proposal
) -> result.Result[models.Change, replies.Refusal]:
    step = proposal.step
    try:
        stored = await history.read_newest(runtime)
    except history.READ_ERRORS as error:
        return result.Err(replies.not_stored(step, str(error)))
    revision = stored.revision if stored else 0
    edited = proposal.edit(stored)
    if isinstance(edited, result.Err):
        return edited
    diff = differences.compare(stored, edited.ok_value)
    if stored is not None and not diff:
        return result.Ok(
            models.Change(
                outcome=models.WriteOutcome.UNCHANGED, revision=revision
            )
        )
    if proposal.expected_revision not in (None, revision):
        return result.Err(_conflict(proposal, stored))
    new = dataclasses.replace(
        edited.ok_value, author=proposal.operator, note=proposal.note
    )
    try:
        if stored is not None:
            await history.archive(runtime, stored)
        record = await audit.begin(
            runtime,
            proposal.operator,
            proposal.action,
            proposal.subject,
            proposal.note,
            revision + 1,
        )
    except _STORE_ERRORS as error:
        return result.Err(replies.not_stored(step, str(error)))
    write_result = await writer.write(runtime, new, revision)
    reply = _to_reply(proposal, write_result, diff, revision)
    outcome, audited_revision = _audit_outcome(reply, revision + 1)
    await audit.finish(runtime, record, outcome, audited_revision)
    operator_change(
        proposal.operator,
        proposal.action,
        proposal.subject,
        str(outcome),
        audited_revision,
    )
    return reply


def _to_reply(
    proposal: Proposal,
    write_result: configuration_writer.WriteResult,
    diff: tuple[differences.Difference, ...],
    revision: int,
) -> result.Result[models.Change, replies.Refusal]:
    """Returns the reply to the operator after a write."""
    step = proposal.step
    if isinstance(write_result, result.Ok):
        return result.Ok(
            models.Change(
                outcome=models.WriteOutcome.WRITTEN,
                revision=write_result.ok_value.revision,
                differences=replies.to_difference_models(diff),
            )
        )
    match write_result.err_value:
        case configuration_writer.Conflict(document=newer):
            return result.Err(_conflict(proposal, newer))
        case configuration_writer.Invalid(faults=faults):
            return replies.invalid_input(
                step,
                "local",
                tuple(
                    models.FaultModel(section="document", allowed=fault)
                    for fault in faults
                ),
            )
        case configuration_writer.NotStored(problem=problem):
            return result.Err(replies.not_stored(step, problem))
        case configuration_writer.Unknown(problem=problem):
            return result.Err(
                replies.outcome_unknown(step, revision + 1, problem)
            )


def _conflict(
    proposal: Proposal, newer: documents.Document | None
) -> replies.Refusal:
    """Returns a refusal with the change's differences to the newer document."""
    edited = proposal.edit(newer)
    diff: tuple[differences.Difference, ...] = ()
    if isinstance(edited, result.Ok):
        diff = differences.compare(newer, edited.ok_value)
    revision = newer.revision if newer else 0
    return replies.conflict(proposal.step, revision, diff)


def _audit_outcome(
    reply: result.Result[models.Change, replies.Refusal], revision: int
) -> tuple[models.WriteOutcome, int]:
    """Returns outcome and revision for the audit record; 0 for no revision."""
    if isinstance(reply, result.Ok):
        return reply.ok_value.outcome, reply.ok_value.revision
    outcome = reply.err_value.problem.outcome or models.WriteOutcome.REFUSED
    if outcome is models.WriteOutcome.UNKNOWN:
        return outcome, revision
    return outcome, 0
