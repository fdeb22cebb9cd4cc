"""Finds the place in a questionnaire that a finding is about."""

from sassafras_policy.configuration import differences
from sassafras_policy.configuration.checks import registry
from sassafras_wire.configuration import formats
from sassafras_wire.questionnaire import models
from sassafras_wire.questionnaire import parsing


class Locator:
    """Finds places in the text of one valid questionnaire."""

    def __init__(self, text: str, content: models.Questionnaire) -> None:
        self._lines = parsing.find_lines(text)
        # Generated documents keep the order of the sections.
        self._names = {
            "service": list(content.services),
            "organisation": list(content.organisations),
            "route": list(content.routes),
            "objective": list(content.objectives),
        }

    def locate(self, finding: registry.Finding) -> formats.Location:
        """Returns the place of a finding."""
        section = self._section(finding)
        key = differences.FIELD_NAMES.get(finding.field, finding.field)
        line = self._lines.get((section, key))
        if line is None:
            line = self._lines.get((section, ""), 0)
        return formats.Location(section, key, line)

    def _section(self, finding: registry.Finding) -> str:
        if finding.kind == "class":
            return "classes"
        names = self._names.get(finding.kind, [])
        if 0 <= finding.position < len(names):
            return f"{finding.kind} {names[finding.position]}"
        return finding.subject
