"""The operators' pages match the routes, commands, flags and sections."""

import pathlib
import re

from sassafras_cli import exit_codes
from sassafras_cli import main
from sassafras_cli import options
from sassafras_cli import registry
from sassafras_node.admin import routing
from sassafras_node.admin import supervisor as admin_supervisor
from sassafras_policy.configuration.checks import registry as checks
from sassafras_policy.configuration.checks import suite
from sassafras_wire.questionnaire import models

PAGES = pathlib.Path(__file__).parents[2] / "docs" / "operators"


def page(name):
    return (PAGES / name).read_text()


def test_the_api_page_lists_every_route_with_its_role():
    """Guards against undocumented routes."""
    assert admin_supervisor.ROUTE_MODULES
    listed = dict(
        re.findall(
            r"^\| `(\w+ /[^`]*)` \| (\w+) ", page("administration-api.md"), re.M
        )
    )
    assert listed == {
        name: str(route.role or "none")
        for name, route in routing.routes.items()
    }


def test_the_command_line_page_lists_every_command_flag_and_exit_code():
    """Guards against undocumented commands, flags and exit codes."""
    assert main.COMMAND_MODULES
    text = page("command-line.md")
    listed = set(re.findall(r"^\| `(sassafras [^`]*)` \|", text, re.M))
    assert listed == {entry.usage for _, entry in registry.commands.items()}
    flags = {
        flag
        for _, entry in registry.commands.items()
        for flag in entry.all_flags
        if flag != "help"
    }
    assert set(re.findall(r"^\| `--(\w+)` \|", text, re.M)) == flags
    for code, meaning in exit_codes.MEANINGS.items():
        assert f"| {int(code)} | {meaning} |" in text


def test_the_pages_name_only_commands_and_flags_that_exist():
    """Guards against instructions that fail with a usage error."""
    known_flags = {name for name, _ in options.describe(_all_flags())}
    for path in PAGES.glob("*.md"):
        text = path.read_text()
        for name in re.findall(r"(?:^    |`)sassafras ([a-z-]+)", text, re.M):
            assert name == "help" or name in registry.commands, (path, name)
        for flag in re.findall(r"(--[a-z_]+)", text):
            assert flag in known_flags | {"--settings"}, (path, flag)


def test_the_first_steps_list_every_section_of_the_questionnaire():
    """Guards against sections that the first steps do not mention."""
    text = page("getting-started.md")
    for kind in models.SINGLE_SECTIONS:
        assert f"| `[{kind}]` |" in text
    for kind in models.NAMED_SECTIONS:
        assert f"| `[{kind} NAME]` |" in text


def test_the_check_page_lists_every_check_with_its_level():
    """Guards against findings that the operators cannot look up."""
    assert suite.CHECK_MODULES
    listed = dict(
        re.findall(r"^\| `([a-z-]+)` \| (\w+) \|", page("check.md"), re.M)
    )
    assert listed == {
        name: str(check.level) for name, check in checks.checks.items()
    }


def _all_flags():
    return sorted(
        {f for _, entry in registry.commands.items() for f in entry.all_flags}
    )
