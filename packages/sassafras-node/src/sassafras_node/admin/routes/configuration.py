"""Routes of the configuration: read, plan, apply, history, roll forward."""

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
    """Posted content that passed the checks without a stored document."""

    questionnaire: questionnaire_models.Questionnaire | None
    document: documents.Document | None


@routing.route("GET", "/configuration", operators.Role.READ)
async def get_configuration(request: routing.OperatorRequest) -> replies.Reply:
    """Returns the active document of this node."""
    index = request.runtime.configuration.index
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
async def plan(request: routing.OperatorRequest) -> replies.Reply:
    """Returns what the posted content would change; stores nothing."""
    assert isinstance(request.input, models.ContentRequest)
    posted = _check_posted(request.step, request.input)
    if isinstance(posted, result.Err):
        return posted
    index = request.runtime.configuration.index
    active = index.document if index else None
    generated = _generate(request.step, posted.ok_value, active)
    if isinstance(generated, result.Err):
        return generated
    found = differences.compare(active, generated.ok_value)
    return result.Ok(
        models.Plan(
            revision=active.revision if active else 0,
            differences=replies.to_difference_models(found),
        )
    )


@routing.route(
    "POST", "/configuration/apply", operators.Role.CHANGE, models.ApplyRequest
)
async def apply(request: routing.OperatorRequest) -> replies.Reply:
    """Stores posted content if the expected revision is still the newest."""
    assert isinstance(request.input, models.ApplyRequest)
    posted = _check_posted(request.step, request.input)
    if isinstance(posted, result.Err):
        return posted
    content = posted.ok_value

    def edit(
        stored: documents.Document | None,
    ) -> result.Result[documents.Document, replies.Refusal]:
        return _generate(request.step, content, stored)

    return await changes.commit(
        request.runtime,
        changes.Proposal(
            operator=request.operator,
            step=request.step,
            action="apply",
            subject="configuration",
            note=request.input.note,
            edit=edit,
            expected_revision=request.input.expected_revision,
        ),
    )


@routing.route(
    "GET", "/configuration/history", operators.Role.READ, models.HistoryQuery
)
async def get_history(request: routing.OperatorRequest) -> replies.Reply:
    """Lists the stored contents, or returns the one of a given revision."""
    assert isinstance(request.input, models.HistoryQuery)
    revision = request.input.revision
    try:
        if revision is not None:
            found = await history.read(request.runtime, revision)
            if found is None:
                return _revision_not_found(request.step, revision)
            content = _to_content_model(found, dataclasses.asdict(found))
            return result.Ok(models.History(contents=(content,)))
        contents = await history.read_all(request.runtime)
    except history.READ_ERRORS as error:
        return _store_failed(request.step, str(error))
    return result.Ok(
        models.History(
            contents=tuple(_to_content_model(item) for item in contents)
        )
    )


@routing.route(
    "POST",
    "/configuration/rollforward",
    operators.Role.CHANGE,
    models.RollForwardRequest,
)
async def roll_forward(request: routing.OperatorRequest) -> replies.Reply:
    """Stores an earlier content as a new revision.

    Keys and stopped targets keep their current state.
    """
    assert isinstance(request.input, models.RollForwardRequest)
    earlier_revision = request.input.revision
    try:
        earlier = await history.read(request.runtime, earlier_revision)
    except history.READ_ERRORS as error:
        return result.Err(replies.not_stored(request.step, str(error)))
    if earlier is None:
        return _revision_not_found(request.step, earlier_revision)

    def edit(
        stored: documents.Document | None,
    ) -> result.Result[documents.Document, replies.Refusal]:
        return result.Ok(edits.replace_contents(stored, earlier))

    return await changes.commit(
        request.runtime,
        changes.Proposal(
            operator=request.operator,
            step=request.step,
            action="rollforward",
            subject=f"revision {earlier_revision}",
            note=request.input.note,
            edit=edit,
            expected_revision=request.input.expected_revision,
        ),
    )


def _check_posted(
    step: str, body: models.ContentRequest
) -> result.Result[_Posted, replies.Refusal]:
    """Returns posted content, or all faults that need no stored document."""
    if body.questionnaire is not None:
        read = parsing.check(body.questionnaire)
        if isinstance(read, result.Err):
            return replies.invalid_input(
                step,
                "questionnaire",
                tuple(
                    models.FaultModel(**dataclasses.asdict(fault))
                    for fault in read.err_value
                ),
            )
        return result.Ok(_Posted(read.ok_value, None))
    posted = configuration_models.check_posted(body.document or {})
    if isinstance(posted, result.Err):
        return _invalid_document(step, posted.err_value)
    return result.Ok(_Posted(None, posted.ok_value))


def _generate(
    step: str, posted: _Posted, stored: documents.Document | None
) -> result.Result[documents.Document, replies.Refusal]:
    """Returns the document that would follow the stored one."""
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
    return replies.invalid_input(
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


def _to_content_model(
    document: documents.Document, content: dict[str, object] | None = None
) -> models.Content:
    return models.Content(
        revision=document.revision,
        author=document.author,
        note=document.note,
        document=content,
    )


def _revision_not_found(
    step: str, revision: int
) -> result.Err[replies.Refusal]:
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
