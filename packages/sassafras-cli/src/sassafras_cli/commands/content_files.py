"""Loads and checks files with a questionnaire or a document."""

from collections.abc import Callable
import dataclasses
import json
import pathlib
from typing import Any

import result

from sassafras_cli import client as clients
from sassafras_cli import exit_codes
from sassafras_policy.configuration import differences
from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import edits
from sassafras_policy.configuration import validation
from sassafras_policy.configuration.checks import registry as checks
from sassafras_policy.mesh import differences as mesh_differences
from sassafras_wire.administration import models
from sassafras_wire.configuration import formats
from sassafras_wire.configuration import models as configuration_models
from sassafras_wire.questionnaire import generation
from sassafras_wire.questionnaire import locations
from sassafras_wire.questionnaire import models as questionnaire_models
from sassafras_wire.questionnaire import parsing

_DOCUMENT_SUFFIX = ".json"
_STEP = "cli.read"
# A node accepts no larger body of a request.
_MAX_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class FileContent:
    """Valid configuration content from a file.

    Attributes:
      path: The file.
      summary: Numbers of services, organisations, routes and objectives.
      content: A `documents.Document`, or the configuration of an installed
        form of files.
      locate: Returns the place in the file that a finding is about.
      request: The content as a request to a node; None if nodes take no
        requests in this form.
      questionnaire: The questionnaire that the document is generated from; None
        for another form.
    """

    path: str
    summary: str
    content: Any
    locate: Callable[[checks.Finding], formats.Location]
    request: models.ContentRequest | None = None
    questionnaire: questionnaire_models.Questionnaire | None = None

    @property
    def slots(self) -> dict[str, int]:
        """Slots of all targets by service, as far as the file states them."""
        if self.questionnaire is None:
            return {}
        return {
            name: section.targets * section.slots
            for name, section in self.questionnaire.services.items()
        }


def load(path: str) -> result.Result[FileContent, clients.Failure]:
    """Returns the content of a file; all but questionnaires end in .json."""
    read = _read(path)
    if isinstance(read, result.Err):
        return read
    text = read.ok_value
    if path.endswith(_DOCUMENT_SUFFIX):
        return _load_json(path, text)
    checked = parsing.check(text)
    if isinstance(checked, result.Err):
        faults = tuple(
            models.FaultModel(**dataclasses.asdict(fault))
            for fault in checked.err_value
        )
        return _invalid(path, f"{len(faults)} fault(s)", faults)
    found = checked.ok_value
    return result.Ok(
        FileContent(
            path=path,
            summary=_summary(found),
            content=generation.generate(found),
            locate=locations.Locator(text, found).locate,
            request=models.ContentRequest(questionnaire=text),
            questionnaire=found,
        )
    )


def load_request(
    path: str,
) -> result.Result[models.ContentRequest, clients.Failure]:
    """Returns the content of a file as a request to a node."""
    loaded = load(path)
    if isinstance(loaded, result.Err):
        return loaded
    return to_request(loaded.ok_value)


def to_request(
    content: FileContent,
) -> result.Result[models.ContentRequest, clients.Failure]:
    """Returns content as a request to a node, if nodes take its form."""
    if content.request is None:
        return _invalid(
            content.path,
            "is neither a questionnaire nor a document; nodes take no requests"
            " in its form",
            (),
        )
    return result.Ok(content.request)


def compare(
    earlier: FileContent, later: FileContent
) -> result.Result[tuple[differences.Difference, ...], clients.Failure]:
    """Returns what the later content would change in the earlier one."""
    before, after = earlier.content, later.content
    if type(before) is not type(after):
        return _invalid(earlier.path, f"has another form than {later.path}", ())
    if not isinstance(after, documents.Document):
        return result.Ok(mesh_differences.compare(before, after))
    if later.questionnaire is not None:
        after = generation.generate(later.questionnaire, before)
    else:
        after = edits.replace_contents(before, after)
    return result.Ok(differences.compare(before, after))


def _read(path: str) -> result.Result[str, clients.Failure]:
    try:
        with pathlib.Path(path).open("rb") as file:
            data = file.read(_MAX_BYTES + 1)
    except (OSError, ValueError) as error:
        return _invalid(path, f"cannot be read: {error}", ())
    if len(data) > _MAX_BYTES:
        return _invalid(path, f"is larger than {_MAX_BYTES} bytes", ())
    try:
        # Some editors put a byte order mark in front.
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        return _invalid(
            path,
            f"cannot be read: byte {error.start} is not UTF-8; save the file in"
            " UTF-8",
            (),
        )
    if not text.strip():
        return _invalid(path, "is empty", ())
    return result.Ok(text)


def _load_json(
    path: str, text: str
) -> result.Result[FileContent, clients.Failure]:
    try:
        content = json.loads(text)
        # An escape may stand for half of a character, which has no encoding.
        json.dumps(content, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        return _invalid(path, f"is not JSON: {error}", ())
    if not isinstance(content, dict):
        return _invalid(path, "is not a JSON object", ())
    form = formats.find(content)
    if form is not None:
        return _load_form(path, text, form)
    checked = configuration_models.check_posted(content)
    if isinstance(checked, result.Err):
        return _invalid_content(path, checked.err_value)
    return result.Ok(
        FileContent(
            path=path,
            summary=_summary(checked.ok_value),
            content=checked.ok_value,
            locate=lambda finding: formats.Location(
                finding.subject, finding.field
            ),
            request=models.ContentRequest(document=content),
        )
    )


def _load_form(
    path: str, text: str, form: formats.Format
) -> result.Result[FileContent, clients.Failure]:
    checked = form.check(text.encode())
    if isinstance(checked, result.Err):
        return _invalid_content(path, checked.err_value)
    found = checked.ok_value
    return result.Ok(
        FileContent(
            path=path,
            summary=f"{len(found.services)} services,"
            f" {len(found.organisations)} organisations, {len(found.routes)}"
            " routes",
            content=found,
            locate=form.locate,
        )
    )


def _invalid_content(
    path: str, found: list[validation.DocumentFault]
) -> result.Err[clients.Failure]:
    faults = tuple(
        models.FaultModel(
            section=fault.subject,
            key=fault.field,
            given=fault.given,
            allowed=fault.allowed,
        )
        for fault in found
    )
    return _invalid(path, f"{len(faults)} fault(s)", faults)


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
