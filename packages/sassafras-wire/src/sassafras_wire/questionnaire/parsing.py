"""Parses a questionnaire and reports all its faults at once."""

from collections.abc import Iterator
import configparser
import dataclasses
import io
import pathlib
import re

import pydantic
import result

from sassafras_base import errors
from sassafras_wire.questionnaire import models

STEP = "questionnaire.check"

_ADVICE = "correct the questionnaire; nothing was changed"
_HEADER = re.compile(r"\[(?P<header>.+)\]")
_KEY = re.compile(r"(?P<key>[^\s=:#;\[][^=:]*?)\s*[=:]")
_NO_SECTION = ""

Sections = dict[str, dict[str, models.Section]]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault in a questionnaire.

    Attributes:
      section: The section, without brackets.
      key: The key; empty when the fault concerns the whole section.
      given: The given value; empty when there is none.
      allowed: What is allowed instead.
      line: Line number of the key or section; 0 if there is none.
    """

    section: str
    key: str
    given: str
    allowed: str
    line: int = 0

    def __str__(self) -> str:
        where = f"[{self.section}] {self.key}".rstrip()
        if self.given:
            where += f" = {self.given!r}"
        return f"{where}: {self.allowed}"


class QuestionnaireError(errors.InvalidInputError):
    """A questionnaire has faults.

    Attributes:
      details: The faults, one entry each.
    """

    def __init__(self, source: str, details: list[Fault]) -> None:
        self.details = details
        super().__init__(STEP, source, [str(fault) for fault in details])
        self.advice = _ADVICE


def read(path: pathlib.Path) -> models.Questionnaire:
    """Returns the questionnaire in a file.

    Raises:
      QuestionnaireError: It has faults.
      InvalidInputError: The file cannot be read.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidInputError(
            STEP, str(path), [f"cannot be read: {error}"]
        ) from None
    return parse(text, str(path))


def parse(text: str, source: str) -> models.Questionnaire:
    """Returns the questionnaire in INI text.

    Raises:
      QuestionnaireError: It has faults.
    """
    checked = check(text)
    if isinstance(checked, result.Err):
        raise QuestionnaireError(source, checked.err_value)
    return checked.ok_value


def check(text: str) -> result.Result[models.Questionnaire, list[Fault]]:
    """Returns the questionnaire in INI text, or all its faults."""
    # `_find_duplicates` looks for duplicates: a strict parser would stop at the
    # first one and hide the faults after it.
    parser = configparser.ConfigParser(
        interpolation=None, strict=False, default_section=_NO_SECTION
    )
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as error:
        return result.Err(
            [
                Fault(
                    "",
                    "",
                    error.line.strip(),
                    f"line {error.lineno}: a section such as [deployment] must"
                    " come first",
                    error.lineno,
                )
            ]
        )
    except configparser.ParsingError as error:
        return result.Err(
            [
                Fault(
                    "",
                    "",
                    line,
                    f"line {number}: a line 'key = value', '[section]' or"
                    " '# comment'",
                    number,
                )
                for number, line in error.errors
            ]
        )
    faults = _find_duplicates(text)
    names = _collect_names(parser, faults)
    sections: Sections = {kind: {} for kind in models.NAMED_SECTIONS}
    singles: dict[str, models.Section] = {}
    for header in parser.sections():
        kind, name = _split_header(header)
        content = dict(parser[header])
        if kind in models.SINGLE_SECTIONS and not name:
            model = models.SINGLE_SECTIONS[kind]
            section = _check_section(header, model, content, names, faults)
            if section is not None:
                singles[kind] = section
        elif kind in models.NAMED_SECTIONS and name:
            model = models.NAMED_SECTIONS[kind]
            section = _check_section(header, model, content, names, faults)
            if section is not None:
                sections[kind][name] = section
    _check_required_sections(parser, faults)
    _check_distinct_routes(sections["route"], faults)
    if faults:
        return result.Err(_add_lines(text, faults))
    return result.Ok(_assemble(singles, sections))


def find_lines(text: str) -> dict[tuple[str, str], int]:
    """Returns the line of the first occurrence of each section and key.

    Kind and name of a section are separated by one space. The key of a
    section's own line is empty.
    """
    lines: dict[tuple[str, str], int] = {}
    for entry in _scan(text):
        section = " ".join(_split_header(entry.section)).rstrip()
        lines.setdefault((section, entry.key), entry.line)
    return lines


def _add_lines(text: str, faults: list[Fault]) -> list[Fault]:
    lines = find_lines(text)
    located = []
    for fault in faults:
        section = " ".join(_split_header(fault.section)).rstrip()
        # A missing key is reported at its section.
        line = lines.get((section, fault.key)) or lines.get((section, ""), 0)
        located.append(dataclasses.replace(fault, line=fault.line or line))
    return located


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A line with a section or key; the key of a section's line is empty."""

    line: int
    section: str
    key: str
    text: str


def _scan(text: str) -> Iterator[_Entry]:
    section = ""
    # Unlike str.splitlines, the parser ends lines at newlines only.
    for number, line in enumerate(io.StringIO(text), start=1):
        header = _HEADER.match(line.strip())
        key = _KEY.match(line)
        if header:
            section = header["header"].strip()
            yield _Entry(number, section, "", line.strip())
        elif key:
            yield _Entry(number, section, key["key"].lower(), line.strip())


def _split_header(header: str) -> tuple[str, str]:
    kind, _, name = header.strip().partition(" ")
    return kind, name.strip()


def _find_duplicates(text: str) -> list[Fault]:
    """Returns a fault for each repeated section or key."""
    faults = []
    headers: set[tuple[str, str]] = set()
    keys: set[str] = set()
    for entry in _scan(text):
        if not entry.key:
            keys = set()
            split = _split_header(entry.section)
            if split in headers:
                faults.append(
                    Fault(
                        entry.section, "", "", "each section once", entry.line
                    )
                )
            headers.add(split)
        else:
            if entry.key in keys:
                faults.append(
                    Fault(
                        entry.section,
                        entry.key,
                        entry.text,
                        "each key once",
                        entry.line,
                    )
                )
            keys.add(entry.key)
    return faults


def _collect_names(
    parser: configparser.ConfigParser, faults: list[Fault]
) -> models.DeclaredNames:
    """Returns the names of all sections, including those with faults."""
    named: dict[str, list[str]] = {kind: [] for kind in models.NAMED_SECTIONS}
    forms = [f"[{kind}]" for kind in models.SINGLE_SECTIONS] + [
        f"[{kind} NAME]" for kind in models.NAMED_SECTIONS
    ]
    for header in parser.sections():
        kind, name = _split_header(header)
        if kind in named and name:
            named[kind].append(name)
            if not models.is_name(name):
                faults.append(Fault(header, "", name, models.NAME_ALLOWED))
        elif kind not in models.SINGLE_SECTIONS or name:
            faults.append(Fault(header, "", "", f"one of {', '.join(forms)}"))
    classes = parser.get("classes", "order", fallback="")
    return models.DeclaredNames(
        services=tuple(named["service"]),
        organisations=tuple(named["organisation"]),
        classes=tuple(models.split_list(classes)),
    )


def _check_section(
    header: str,
    model: type[models.Section],
    content: dict[str, str],
    names: models.DeclaredNames,
    faults: list[Fault],
) -> models.Section | None:
    try:
        return model.model_validate(content, context=names)
    except pydantic.ValidationError as error:
        for fault in error.errors():
            key = str(fault["loc"][0])
            allowed = models.describe_allowed(model, fault)
            if fault["type"] == "missing":
                found = Fault(header, key, "", f"missing; {allowed}")
            else:
                # In a list, the input is the single invalid entry.
                given = fault["input"]
                shown = given if isinstance(given, str) else content[key]
                found = Fault(header, key, shown, allowed)
            if found not in faults:
                faults.append(found)
    return None


def _check_required_sections(
    parser: configparser.ConfigParser, faults: list[Fault]
) -> None:
    kinds = {_split_header(header)[0] for header in parser.sections()}
    faults.extend(
        Fault(kind, "", "", "missing; this section is needed")
        for kind in models.SINGLE_SECTIONS
        if kind not in kinds
    )
    faults.extend(
        Fault(f"{kind} NAME", "", "", "missing; at least one is needed")
        for kind in ("service", "organisation", "route")
        if kind not in kinds
    )


def _check_distinct_routes(
    routes: dict[str, models.Section], faults: list[Fault]
) -> None:
    """Finds routes that never match because an earlier one is equal."""
    seen: dict[tuple[str, str], str] = {}
    for name, route in routes.items():
        assert isinstance(route, models.RouteSection)
        first = seen.setdefault((route.method, route.path), name)
        if first != name:
            faults.append(
                Fault(
                    f"route {name}",
                    "path",
                    route.path,
                    f"each method and path once; [route {first}] has them too",
                )
            )


def _assemble(
    singles: dict[str, models.Section], sections: Sections
) -> models.Questionnaire:
    return models.Questionnaire(
        **singles,  # type: ignore[arg-type]
        services=sections["service"],  # type: ignore[arg-type]
        organisations=sections["organisation"],  # type: ignore[arg-type]
        routes=sections["route"],  # type: ignore[arg-type]
        objectives=sections["objective"],  # type: ignore[arg-type]
    )
