"""Loads and checks files with a questionnaire or a document."""

from collections.abc import Mapping
import dataclasses
import json
import pathlib

import result

from sassafras_cli import client as clients
from sassafras_cli import exit_codes
from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration.checks import registry as checks
from sassafras_wire.administration import models
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
      request: The content as a request to a node.
      summary: Numbers of services, organisations, routes and objectives.
      document: The content as a document.
      slots: Calls that all targets of a service run at once, by service; empty
        if the file does not state them.
      locator: Finds places in a questionnaire; None for a document.
    """

    request: models.ContentRequest
    summary: str
    document: documents.Document
    slots: Mapping[str, int] = dataclasses.field(default_factory=dict)
    locator: locations.Locator | None = None

    def locate(self, finding: checks.Finding) -> locations.Location:
        """Returns the place in the file that a finding is about."""
        if self.locator is not None:
            return self.locator.locate(finding)
        return locations.Location(finding.subject, finding.field)


def load(path: str) -> result.Result[FileContent, clients.Failure]:
    """Returns the content of a file; the suffix .json means a document."""
    read = _read(path)
    if isinstance(read, result.Err):
        return read
    text = read.ok_value
    if path.endswith(_DOCUMENT_SUFFIX):
        return _load_document(path, text)
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
            request=models.ContentRequest(questionnaire=text),
            summary=_summary(found),
            document=generation.generate(found),
            slots={
                name: section.targets * section.slots
                for name, section in found.services.items()
            },
            locator=locations.Locator(text, found),
        )
    )


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


def _load_document(
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
            request=models.ContentRequest(document=content),
            summary=_summary(checked.ok_value),
            document=checked.ok_value,
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
