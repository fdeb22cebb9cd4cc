"""Runs all checks."""

import dataclasses

from sassafras_policy.configuration.checks import hosts
from sassafras_policy.configuration.checks import limits
from sassafras_policy.configuration.checks import references
from sassafras_policy.configuration.checks import registry
from sassafras_policy.configuration.checks import routes

# Importing these modules registers their checks.
CHECK_MODULES = (hosts, limits, references, routes)


def find(subject: registry.Subject) -> list[registry.Finding]:
    """Returns the findings of all checks, by check in alphabetical order.

    The configuration must be valid: `validation.find_faults` comes first.
    """
    return [
        dataclasses.replace(finding, check=name, level=check.level)
        for name, check in registry.checks.items()
        if isinstance(subject.content, check.contents)
        for finding in check.run(subject)
    ]
