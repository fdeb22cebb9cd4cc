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
      revision: The revision in force; None without a comparison.
      differences: What applying the file would change in that revision; None
        without a comparison.
    """

    file: str
    summary: str
    findings: tuple[FindingModel, ...] = ()
    revision: int | None = None
    differences: tuple[models.DifferenceModel, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Deployment:
    """What a node knows.

    Attributes:
      plan: What the file would change.
      slots: Slots of the targets in use, by service.
    """

    plan: models.Plan
    slots: Mapping[str, int]


@registry.command(
    "check",
    "FILE",
    flags=("compare", *options.NODE_FLAGS),
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
    deployment: _Deployment | None = None
    if invocation.options.compare:
        asked = await _ask(invocation.node, content)
        if isinstance(asked, result.Err):
            return invocation.fail(asked.err_value)
        deployment = asked.ok_value
    found = suite.find(
        checks.Subject(
            content=content.document,
            slots=content.slots,
            announced_slots=deployment.slots if deployment else None,
        )
    )
    answer = CheckAnswer(
        file=path,
        summary=content.summary,
        findings=tuple(_to_model(content, finding) for finding in found),
        revision=deployment.plan.revision if deployment else None,
        differences=deployment.plan.differences if deployment else None,
    )
    invocation.show(answer, _describe(answer))
    if any(finding.level is checks.Level.FINDING for finding in found):
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.DONE


async def _ask(
    node: clients.AdminClient, content: content_files.FileContent
) -> result.Result[_Deployment, clients.Failure]:
    """Asks a node with requests that change nothing."""
    planned = await node.post(
        "/configuration/plan", content.request, models.Plan
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
    return result.Ok(_Deployment(planned.ok_value, slots))


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
        lines += [
            f"revision {answer.revision} is in force",
            tables.differences(answer.differences),
        ]
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
