"""Carries an operator's change of the configuration out, from end to end."""

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

# A change that names no revision, such as a new key, is made again from the
# newer revision when another one was first.
_ATTEMPTS = 3

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
    """A change that an operator asks for.

    Attributes:
      operator: Who asks.
      step: Names the request in errors.
      action: What is done, for the audit record.
      subject: To what, for the audit record.
      note: What the operator says about it.
      edit: Makes the new content from the stored one, or refuses.
      expected_revision: Revision that the operator saw; None when the change
        is the same whatever else has changed.
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
    """Makes a change and records it, or says why not.

    It is finished even when the operator disconnects: half a change would
    leave an audit record without its outcome.
    """
    made: result.Result[models.Change, replies.Refusal] | None = None
    attempts = 1 if proposal.expected_revision is not None else _ATTEMPTS
    with trio.CancelScope(shield=True):
        while attempts:
            attempts -= 1
            made = await _attempt(runtime, proposal)
            if (
                isinstance(made, result.Ok)
                or made.err_value.status != replies.CONFLICT
            ):
                break
    assert made is not None
    return made


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
    changed = differences.compare(stored, edited.ok_value)
    if stored is not None and not changed:
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
    written = await writer.write(runtime, new, revision)
    made = _report(proposal, written, changed, revision)
    outcome, reached = _outcome(made, revision + 1)
    await audit.finish(runtime, record, outcome, reached)
    operator_change(
        proposal.operator,
        proposal.action,
        proposal.subject,
        str(outcome),
        reached,
    )
    return made


def _report(
    proposal: Proposal,
    written: configuration_writer.WriteResult,
    changed: tuple[differences.Difference, ...],
    revision: int,
) -> result.Result[models.Change, replies.Refusal]:
    """Returns what the operator is told about a write."""
    step = proposal.step
    if isinstance(written, result.Ok):
        return result.Ok(
            models.Change(
                outcome=models.WriteOutcome.WRITTEN,
                revision=written.ok_value.revision,
                differences=replies.to_models(changed),
            )
        )
    match written.err_value:
        case configuration_writer.Conflict(document=newer):
            return result.Err(_conflict(proposal, newer))
        case configuration_writer.Invalid(faults=faults):
            return replies.invalid(
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
            return result.Err(replies.unknown(step, revision + 1, problem))


def _conflict(
    proposal: Proposal, newer: documents.Document | None
) -> replies.Refusal:
    """Returns the refusal with what the change would alter in the newer one."""
    edited = proposal.edit(newer)
    found: tuple[differences.Difference, ...] = ()
    if isinstance(edited, result.Ok):
        found = differences.compare(newer, edited.ok_value)
    revision = newer.revision if newer else 0
    return replies.conflict(proposal.step, revision, found)


def _outcome(
    made: result.Result[models.Change, replies.Refusal], revision: int
) -> tuple[models.WriteOutcome, int]:
    """Returns what the audit record says, and the revision reached."""
    if isinstance(made, result.Ok):
        return made.ok_value.outcome, made.ok_value.revision
    outcome = made.err_value.problem.outcome or models.WriteOutcome.REFUSED
    if outcome is models.WriteOutcome.UNKNOWN:
        return outcome, revision
    return outcome, 0
