"""The command that checks a file before it is sent."""

from collections.abc import Mapping
import dataclasses

import result

from sassafras_cli import client as clients
from sassafras_cli import exit_codes
from sassafras_cli import options
from sassafras_cli import registry
from sassafras_cli import tables
from sassafras_cli.commands import content_files
from sassafras_cli.commands import requests
from sassafras_policy.configuration.checks import registry as checks
from sassafras_policy.configuration.checks import suite
from sassafras_policy.membership import records
from sassafras_wire.administration import models


class FindingModel(models.Answer):
    """A valid entry that probably is a mistake; see checks.Finding.

    Attributes:
      line: Line number in a questionnaire; 0 if there is none.
    """

    check: str
    level: checks.Level
    section: str
    key: str = ""
    line: int = 0
    given: str = ""
    problem: str
    advice: str


class CheckAnswer(models.Answer):
    """Result of the check of a valid file.

    Attributes:
      revision: The revision in force at the node; None if none was asked.
      differences: What applying the file would change; None without a
        comparison.
    """

    file: str
    summary: str
    findings: tuple[FindingModel, ...] = ()
    revision: int | None = None
    differences: tuple[models.DifferenceModel, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Deployment:
    """What a file is compared with, as far as it is known.

    Attributes:
      revision: The revision in force at the node.
      differences: What applying the file would change.
      slots: Slots of the targets in use, by service.
    """

    revision: int | None = None
    differences: tuple[models.DifferenceModel, ...] | None = None
    slots: Mapping[str, int] | None = None


@registry.command(
    "check",
    "FILE",
    flags=("compare", "earlier", *options.NODE_FLAGS),
    example="sassafras check examples/athens.ini --compare"
    " --node=10.0.0.7:7404 --credential_file=credential",
    uses_node=False,
)
async def check(invocation: registry.Invocation) -> exit_codes.ExitCode:
    """Checks a file and shows every fault and finding; changes nothing."""
    (path,) = invocation.arguments
    loaded = content_files.load(path)
    if isinstance(loaded, result.Err):
        return invocation.fail(loaded.err_value)
    content = loaded.ok_value
    compared = await _compare(invocation, content)
    if isinstance(compared, result.Err):
        return invocation.fail(compared.err_value)
    deployment = compared.ok_value
    found = suite.find(
        checks.Subject(
            content=content.content,
            slots=content.slots,
            announced_slots=deployment.slots,
        )
    )
    answer = CheckAnswer(
        file=path,
        summary=content.summary,
        findings=tuple(_to_model(content, finding) for finding in found),
        revision=deployment.revision,
        differences=deployment.differences,
    )
    invocation.show(answer, _describe(answer))
    if any(finding.level is checks.Level.FINDING for finding in found):
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.DONE


async def _compare(
    invocation: registry.Invocation, content: content_files.FileContent
) -> result.Result[_Deployment, clients.Failure]:
    """Compares a file as the flags say."""
    given = invocation.options
    if given.compare and given.earlier:
        return result.Err(
            requests.usage_failure("give either --compare or --earlier")
        )
    if given.compare:
        return await _ask(invocation.node, content)
    if not given.earlier:
        return result.Ok(_Deployment())
    loaded = content_files.load(given.earlier)
    if isinstance(loaded, result.Err):
        return loaded
    compared = content_files.compare(loaded.ok_value, content)
    if isinstance(compared, result.Err):
        return compared
    return result.Ok(
        _Deployment(
            differences=tuple(
                models.DifferenceModel(**dataclasses.asdict(difference))
                for difference in compared.ok_value
            )
        )
    )


async def _ask(
    node: clients.AdminClient, content: content_files.FileContent
) -> result.Result[_Deployment, clients.Failure]:
    """Asks a node with requests that change nothing."""
    request = content_files.to_request(content)
    if isinstance(request, result.Err):
        return request
    planned = await node.post(
        "/configuration/plan", request.ok_value, models.Plan
    )
    if isinstance(planned, result.Err):
        return planned
    listed = await node.get("/targets", models.Targets)
    if isinstance(listed, result.Err):
        return listed
    slots: dict[str, int] = {}
    for target in listed.ok_value.targets:
        if target.state == records.TargetState.SERVING and not target.stopped:
            slots[target.service] = slots.get(target.service, 0) + target.slots
    return result.Ok(
        _Deployment(
            planned.ok_value.revision, planned.ok_value.differences, slots
        )
    )


def _to_model(
    content: content_files.FileContent, finding: checks.Finding
) -> FindingModel:
    location = content.locate(finding)
    return FindingModel(
        check=finding.check,
        level=finding.level,
        section=location.section,
        key=location.key,
        line=location.line,
        given=finding.given,
        problem=finding.problem,
        advice=finding.advice,
    )


def _describe(answer: CheckAnswer) -> str:
    head = "no faults"
    for level in checks.Level:
        count = sum(item.level is level for item in answer.findings)
        if count:
            head += f", {count} {level}(s)"
    lines = [f"{answer.file}: {head}; {answer.summary}"]
    lines += [_describe_finding(answer.file, item) for item in answer.findings]
    if answer.differences is not None:
        if answer.revision is not None:
            lines.append(f"revision {answer.revision} is in force")
        lines.append(tables.differences(answer.differences))
    return "\n".join(lines)


def _describe_finding(path: str, finding: FindingModel) -> str:
    place = f"{path}:{finding.line}" if finding.line else path
    where = f"[{finding.section}] {finding.key}".rstrip()
    if finding.given:
        where += f" = {finding.given}"
    return (
        f"{place}: {finding.level}: {where}: {finding.problem};"
        f" {finding.advice} ({finding.check})"
    )
