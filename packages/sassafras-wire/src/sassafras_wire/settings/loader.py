"""Loads INI files into pydantic models and reports every fault at once."""

import configparser
import pathlib
from typing import TypeVar

import pydantic

from sassafras_base import errors

M = TypeVar("M", bound=pydantic.BaseModel)

_STEP = "settings.load"


def load(path: pathlib.Path, model: type[M]) -> M:
    """Returns the settings in a file.

    Raises:
      InvalidInputError: The file cannot be read or has faults; each is listed
        with its section, key, given value and what is allowed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidInputError(
            _STEP, str(path), [f"cannot be read: {error}"]
        ) from None
    return parse(text, str(path), model)


def parse(text: str, source: str, model: type[M]) -> M:
    """Returns the settings in INI text; see `load`."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        raise errors.InvalidInputError(
            _STEP, source, [str(error).replace("\n", " ")]
        ) from None
    content = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return model.model_validate(content)
    except pydantic.ValidationError as error:
        raise errors.InvalidInputError(
            _STEP, source, [_describe(fault) for fault in error.errors()]
        ) from None


def _describe(fault: object) -> str:
    assert isinstance(fault, dict)
    location = [str(part) for part in fault["loc"]]
    section = location[0] if location else "?"
    key = ".".join(location[1:])
    where = f"[{section}] {key}".rstrip()
    if fault["type"] == "missing":
        return f"{where}: missing"
    if fault["type"] == "extra_forbidden":
        return f"{where}: not known; remove it or correct its spelling"
    return f"{where} = {fault['input']!r}: {fault['msg']}"
