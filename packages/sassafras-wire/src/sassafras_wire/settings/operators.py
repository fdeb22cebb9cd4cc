"""Operators' credentials, kept in a separate file from the settings."""

import enum
import pathlib
import re

import pydantic

from sassafras_base import errors
from sassafras_wire.settings import loader
from sassafras_wire.settings import node as node_settings

_DIGEST = re.compile("[0-9a-f]{64}")


class Role(enum.StrEnum):
    """What an operator may do; `change` includes `read`."""

    READ = "read"
    CHANGE = "change"

    def permits(self, needed: "Role") -> bool:
        """Returns whether this role includes the needed one."""
        return self is Role.CHANGE or needed is Role.READ


class OperatorSection(node_settings.Section):
    """An operator; the section's name is the operator's name.

    Attributes:
      role: `read` or `change`.
      digest: SHA-256 of the credential in hexadecimal.
    """

    role: Role
    digest: str


class Operators(pydantic.RootModel[dict[str, OperatorSection]]):
    """All operators, one section each."""

    def find(self, digest: str) -> tuple[str, Role] | None:
        """Returns the name and role of the operator with a digest."""
        for name, operator in self.root.items():
            if operator.digest == digest:
                return name, operator.role
        return None


def load(path: str) -> Operators:
    """Returns the operators in a file; none when the path is empty.

    Raises:
      InvalidInputError: The file cannot be read or has faults.
    """
    if not path:
        return Operators({})
    operators = loader.load(pathlib.Path(path), Operators)
    faults = _digest_faults(operators)
    if faults:
        raise errors.InvalidInputError("settings.load", path, faults)
    return operators


def _digest_faults(operators: Operators) -> list[str]:
    """Returns the faults of the digests.

    The model does not check them, because its faults show the given value: a
    credential entered there by mistake must not reach a log.
    """
    faults = []
    owners: dict[str, str] = {}
    for name, operator in operators.root.items():
        if not _DIGEST.fullmatch(operator.digest):
            faults.append(
                f"[{name}] digest: must be the SHA-256 of the credential, 64"
                " of 0-9 and a-f"
            )
            continue
        other = owners.setdefault(operator.digest, name)
        if other != name:
            faults.append(
                f"[{name}] digest: is that of {other} too; the audit could not"
                " tell them apart"
            )
    return faults
