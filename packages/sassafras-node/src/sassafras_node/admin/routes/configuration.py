"""The configuration: read, plan, apply, history, roll forward."""

import dataclasses

import result

from sassafras_node.admin import changes
from sassafras_node.admin import replies
from sassafras_node.admin import routing
from sassafras_node.store import history
from sassafras_policy.configuration import differences
from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import edits
from sassafras_policy.configuration import validation
from sassafras_wire.administration import models
from sassafras_wire.configuration import models as configuration_models
from sassafras_wire.questionnaire import generation
from sassafras_wire.questionnaire import models as questionnaire_models
from sassafras_wire.questionnaire import parsing
from sassafras_wire.settings import operators


@dataclasses.dataclass(frozen=True, slots=True)
class _Posted:
    """A new content that is valid in itself."""

    questionnaire: questionnaire_models.Questionnaire | None
    document: documents.Document | None


@routing.route("GET", "/configuration", operators.Role.READ)
async def get_configuration(call: routing.Call) -> replies.Reply:
    """Answers with the document in force at this node."""
    index = call.runtime.configuration.index
    if index is None:
        return result.Ok(models.Configuration(revision=0))
    return result.Ok(
        models.Configuration(
            revision=index.document.revision,
            document=dataclasses.asdict(index.document),
        )
    )


@routing.route(
    "POST", "/configuration/plan", operators.Role.READ, models.ContentRequest
)
async def plan(call: routing.Call) -> replies.Reply:
    """Answers with what a new content would change; changes nothing."""
    assert isinstance(call.input, models.ContentRequest)
    posted = _check(call.step, call.input)
    if isinstance(posted, result.Err):
        return posted
    index = call.runtime.configuration.index
    in_force = index.document if index else None
    generated = _generate(call.step, posted.ok_value, in_force)
    if isinstance(generated, result.Err):
        return generated
    found = differences.compare(in_force, generated.ok_value)
    return result.Ok(
        models.Plan(
            revision=in_force.revision if in_force else 0,
            differences=replies.to_models(found),
        )
    )


@routing.route(
    "POST", "/configuration/apply", operators.Role.CHANGE, models.ApplyRequest
)
async def apply(call: routing.Call) -> replies.Reply:
    """Stores a new content if the expected revision is still the newest."""
    assert isinstance(call.input, models.ApplyRequest)
    posted = _check(call.step, call.input)
    if isinstance(posted, result.Err):
        return posted
    content = posted.ok_value

    def edit(
        stored: documents.Document | None,
    ) -> result.Result[documents.Document, replies.Refusal]:
        return _generate(call.step, content, stored)

    return await changes.commit(
        call.runtime,
        changes.Proposal(
            operator=call.operator,
            step=call.step,
            action="apply",
            subject="configuration",
            note=call.input.note,
            edit=edit,
            expected_revision=call.input.expected_revision,
        ),
    )


@routing.route(
    "GET", "/configuration/history", operators.Role.READ, models.HistoryQuery
)
async def get_history(call: routing.Call) -> replies.Reply:
    """Answers with the list of contents in the store, or with one of them."""
    assert isinstance(call.input, models.HistoryQuery)
    revision = call.input.revision
    try:
        if revision is not None:
            found = await history.read(call.runtime, revision)
            if found is None:
                return _no_revision(call.step, revision)
            content = _content(found, dataclasses.asdict(found))
            return result.Ok(models.History(contents=(content,)))
        contents = await history.read_all(call.runtime)
    except history.READ_ERRORS as error:
        return _store_failed(call.step, str(error))
    return result.Ok(
        models.History(contents=tuple(_content(item) for item in contents))
    )


@routing.route(
    "POST",
    "/configuration/rollforward",
    operators.Role.CHANGE,
    models.RollForwardRequest,
)
async def roll_forward(call: routing.Call) -> replies.Reply:
    """Stores an earlier content as a new revision.

    Keys and stopped targets stay as they are now.
    """
    assert isinstance(call.input, models.RollForwardRequest)
    wanted = call.input.revision
    try:
        earlier = await history.read(call.runtime, wanted)
    except history.READ_ERRORS as error:
        return result.Err(replies.not_stored(call.step, str(error)))
    if earlier is None:
        return _no_revision(call.step, wanted)

    def edit(
        stored: documents.Document | None,
    ) -> result.Result[documents.Document, replies.Refusal]:
        return result.Ok(edits.replace_contents(stored, earlier))

    return await changes.commit(
        call.runtime,
        changes.Proposal(
            operator=call.operator,
            step=call.step,
            action="rollforward",
            subject=f"revision {wanted}",
            note=call.input.note,
            edit=edit,
            expected_revision=call.input.expected_revision,
        ),
    )


def _check(
    step: str, request: models.ContentRequest
) -> result.Result[_Posted, replies.Refusal]:
    """Returns the posted content, or every fault that it has in itself."""
    if request.questionnaire is not None:
        read = parsing.check(request.questionnaire)
        if isinstance(read, result.Err):
            return replies.invalid(
                step,
                "questionnaire",
                tuple(
                    models.FaultModel(**dataclasses.asdict(fault))
                    for fault in read.err_value
                ),
            )
        return result.Ok(_Posted(read.ok_value, None))
    posted = configuration_models.check_posted(request.document or {})
    if isinstance(posted, result.Err):
        return _invalid_document(step, posted.err_value)
    return result.Ok(_Posted(None, posted.ok_value))


def _generate(
    step: str, posted: _Posted, stored: documents.Document | None
) -> result.Result[documents.Document, replies.Refusal]:
    """Returns the content as the revision after the stored one."""
    if posted.questionnaire is not None:
        return result.Ok(generation.generate(posted.questionnaire, stored))
    assert posted.document is not None
    faults = validation.find_change_faults(posted.document, stored)
    if faults:
        return _invalid_document(step, faults)
    return result.Ok(edits.replace_contents(stored, posted.document))


def _invalid_document(
    step: str, faults: list[validation.DocumentFault]
) -> result.Err[replies.Refusal]:
    return replies.invalid(
        step,
        "document",
        tuple(
            models.FaultModel(
                section=fault.subject,
                key=fault.field,
                given=fault.given,
                allowed=fault.allowed,
            )
            for fault in faults
        ),
    )


def _content(
    document: documents.Document, content: dict[str, object] | None = None
) -> models.Content:
    return models.Content(
        revision=document.revision,
        author=document.author,
        note=document.note,
        document=content,
    )


def _no_revision(step: str, revision: int) -> result.Err[replies.Refusal]:
    return replies.refuse(
        replies.NOT_FOUND,
        step,
        "store",
        f"the store has no content of revision {revision}",
        f"list the history; it has the last {history.MAX_CONTENTS} contents",
    )


def _store_failed(step: str, problem: str) -> result.Err[replies.Refusal]:
    return replies.refuse(
        replies.NOT_STORED,
        step,
        "store",
        f"the store did not answer: {problem}",
        "try again when it does",
    )
