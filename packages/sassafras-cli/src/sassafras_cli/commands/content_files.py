"""Loads and checks files with a questionnaire or a document."""

import dataclasses
import json
import pathlib

import result

from sassafras_cli import client as clients
from sassafras_cli import exit_codes
from sassafras_policy.configuration import document as documents
from sassafras_wire.administration import models
from sassafras_wire.configuration import models as configuration_models
from sassafras_wire.questionnaire import models as questionnaire_models
from sassafras_wire.questionnaire import parsing

_DOCUMENT_SUFFIX = ".json"
_STEP = "cli.read"


@dataclasses.dataclass(frozen=True, slots=True)
class FileContent:
    """Valid configuration content from a file.

    Attributes:
      request: The content as a request to a node.
      summary: Numbers of services, organisations, routes and objectives.
    """

    request: models.ContentRequest
    summary: str


def load(path: str) -> result.Result[FileContent, clients.Failure]:
    """Returns the content of a file; the suffix .json means a document."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return _invalid(path, f"cannot be read: {error}", ())
    if path.endswith(_DOCUMENT_SUFFIX):
        return _load_document(path, text)
    checked = parsing.check(text)
    if isinstance(checked, result.Err):
        faults = tuple(
            models.FaultModel(**dataclasses.asdict(fault))
            for fault in checked.err_value
        )
        return _invalid(path, f"{len(faults)} fault(s)", faults)
    return result.Ok(
        FileContent(
            models.ContentRequest(questionnaire=text),
            _summary(checked.ok_value),
        )
    )


def _load_document(
    path: str, text: str
) -> result.Result[FileContent, clients.Failure]:
    try:
        content = json.loads(text)
    except ValueError as error:
        return _invalid(path, f"is not JSON: {error}", ())
    if not isinstance(content, dict):
        return _invalid(path, "is not a JSON object", ())
    checked = configuration_models.check_posted(content)
    if isinstance(checked, result.Err):
        faults = tuple(
            models.FaultModel(
                section=fault.subject,
                key=fault.field,
                given=fault.given,
                allowed=fault.allowed,
            )
            for fault in checked.err_value
        )
        return _invalid(path, f"{len(faults)} fault(s)", faults)
    return result.Ok(
        FileContent(
            models.ContentRequest(document=content), _summary(checked.ok_value)
        )
    )


def _summary(
    found: questionnaire_models.Questionnaire | documents.Document,
) -> str:
    return (
        f"{len(found.services)} services, {len(found.organisations)}"
        f" organisations, {len(found.routes)} routes,"
        f" {len(found.objectives)} objectives"
    )


def _invalid(
    path: str, problem: str, faults: tuple[models.FaultModel, ...]
) -> result.Err[clients.Failure]:
    return result.Err(
        clients.Failure(
            exit_codes.ExitCode.USAGE,
            models.Problem(
                step=_STEP,
                peer=path,
                problem=problem,
                advice="correct the file; nothing was sent",
                faults=faults,
            ),
        )
    )
