"""Validated models of the questionnaire's sections.

A field's description states the allowed values; the faults of other values
quote it.
"""

from collections.abc import Mapping
import dataclasses
import re
from typing import Annotated
from typing import Any

import pydantic

from sassafras_policy.configuration import document as documents

WILDCARD = "*"

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
NAME_ALLOWED = "1 to 63 of a-z, 0-9 and '-', not beginning with '-'"
_METHODS = (
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
    "OPTIONS",
    WILDCARD,
)
# Clients and proxies may repeat these methods, so an at-most-once route cannot
# use them. `*` includes them.
_REPEATABLE_METHODS = ("GET", "HEAD", "OPTIONS", WILDCARD)


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredNames:
    """Names declared in the file, for checking references.

    Attributes:
      services: Names of all service sections.
      organisations: Names of all organisation sections.
      classes: The classes, the most important first.
    """

    services: tuple[str, ...] = ()
    organisations: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()


def split_list(value: str) -> list[str]:
    """Returns the non-empty parts between commas."""
    return [part.strip() for part in value.split(",") if part.strip()]


def is_name(value: str) -> bool:
    """Returns whether a value is a valid name."""
    return _NAME.fullmatch(value) is not None


def _check_name(value: str) -> str:
    if not is_name(value):
        raise ValueError(NAME_ALLOWED)
    return value


def _check_distinct(value: tuple[str, ...]) -> tuple[str, ...]:
    if len(set(value)) != len(value):
        raise ValueError("each name once")
    return value


def _names(info: pydantic.ValidationInfo) -> DeclaredNames:
    assert isinstance(info.context, DeclaredNames)
    return info.context


def _check_one_of(value: str, known: tuple[str, ...], kind: str) -> str:
    if value not in known:
        raise ValueError(f"a {kind} of this file: {', '.join(known) or 'none'}")
    return value


def _check_service(value: str, info: pydantic.ValidationInfo) -> str:
    return _check_one_of(value, _names(info).services, "service")


def _check_class(value: str, info: pydantic.ValidationInfo) -> str:
    return _check_one_of(value, _names(info).classes, "class")


def _check_organisation(value: str, info: pydantic.ValidationInfo) -> str:
    if value == WILDCARD:
        return value
    return _check_one_of(value, _names(info).organisations, "organisation")


Name = Annotated[str, pydantic.AfterValidator(_check_name)]
NameList = Annotated[
    tuple[Name, ...],
    pydantic.BeforeValidator(split_list),
    pydantic.AfterValidator(_check_distinct),
]
ServiceName = Annotated[str, pydantic.AfterValidator(_check_service)]


class Section(pydantic.BaseModel):
    """Base of the sections; rejects unknown keys and infinities."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )


class DeploymentSection(Section):
    """Section `[deployment]`."""

    name: Name = pydantic.Field(description=NAME_ALLOWED)
    availability_zones: NameList = pydantic.Field(
        min_length=1, description="one name or more, separated by commas"
    )
    retry_limit: int = pydantic.Field(
        default=documents.DEFAULT_RETRY_LIMIT,
        ge=0,
        le=10,
        description="a whole number from 0 to 10",
    )


class ClassesSection(Section):
    """Section `[classes]`."""

    order: NameList = pydantic.Field(
        min_length=1,
        description="one name or more, separated by commas, the most important"
        " first",
    )


class ServiceSection(Section):
    """Section `[service NAME]`; the sizes are informational."""

    calls: Annotated[
        tuple[ServiceName, ...],
        pydantic.BeforeValidator(split_list),
        pydantic.AfterValidator(_check_distinct),
    ] = pydantic.Field(
        default=(), description="services of this file, separated by commas"
    )
    targets: int = pydantic.Field(
        gt=0, description="a whole number from 1 upwards"
    )
    slots: int = pydantic.Field(
        gt=0, description="a whole number from 1 upwards"
    )
    connections: int = pydantic.Field(
        gt=0, description="a whole number from 1 upwards"
    )


class OrganisationSection(Section):
    """Section `[organisation NAME]`."""

    rate_per_s: float = pydantic.Field(gt=0, description="a number above 0")
    burst: float = pydantic.Field(ge=1, description="a number from 1 upwards")


class RouteSection(Section):
    """Section `[route NAME]`.

    The field order matters: `path` is validated against `service`, and
    `at_most_once` against `method`.
    """

    service: ServiceName = pydantic.Field(description="a service of this file")
    method: str = pydantic.Field(description=f"one of {', '.join(_METHODS)}")
    path: str = pydantic.Field(description="a path that begins with '/'")
    call_class: Annotated[str, pydantic.AfterValidator(_check_class)] = (
        pydantic.Field(alias="class", description="a class of this file")
    )
    at_most_once: bool = pydantic.Field(description="yes or no")
    open: bool = pydantic.Field(default=False, description="yes or no")
    deadline_ms: int = pydantic.Field(
        gt=0, le=600_000, description="a whole number from 1 to 600000"
    )

    @pydantic.field_validator("method")
    @classmethod
    def _check_method(cls, value: str) -> str:
        if value not in _METHODS:
            raise ValueError(f"one of {', '.join(_METHODS)}")
        return value

    @pydantic.field_validator("path")
    @classmethod
    def _check_path(cls, value: str, info: pydantic.ValidationInfo) -> str:
        segments = value.split("/")
        if len(segments) < 2 or segments[0] or "?" in value:
            raise ValueError("a path that begins with '/', without '?'")
        service = info.data.get("service")
        if service is not None and segments[1] != service:
            raise ValueError(
                f"a path within its service, that is /{service} or /{service}/"
                "..."
            )
        if "**" in segments[:-1] or any(
            "*" in segment and segment not in ("*", "**")
            for segment in segments
        ):
            raise ValueError(
                "'*' for one whole segment and '**' for the rest, at the end"
                " only"
            )
        return value

    @pydantic.field_validator("at_most_once")
    @classmethod
    def _check_at_most_once(
        cls, value: bool, info: pydantic.ValidationInfo
    ) -> bool:
        method = info.data.get("method")
        if value and method in _REPEATABLE_METHODS:
            raise ValueError(
                f"no, because clients may repeat {method}; or set method to"
                " POST, PUT, PATCH or DELETE"
            )
        return value


class ObjectiveSection(Section):
    """Section `[objective NAME]`."""

    service: ServiceName = pydantic.Field(description="a service of this file")
    organisation: Annotated[
        str, pydantic.AfterValidator(_check_organisation)
    ] = pydantic.Field(
        default=WILDCARD, description="an organisation of this file, or *"
    )
    success_ratio: float = pydantic.Field(
        gt=0, lt=1, description="a number above 0 and below 1, such as 0.999"
    )
    latency_ms: int = pydantic.Field(
        default=0, ge=0, description="a whole number; 0 for no limit"
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Questionnaire:
    """A valid questionnaire; mappings keep the order of the file."""

    deployment: DeploymentSection
    classes: ClassesSection
    services: Mapping[str, ServiceSection]
    organisations: Mapping[str, OrganisationSection]
    routes: Mapping[str, RouteSection]
    objectives: Mapping[str, ObjectiveSection]


SINGLE_SECTIONS: Mapping[str, type[Section]] = {
    "deployment": DeploymentSection,
    "classes": ClassesSection,
}
NAMED_SECTIONS: Mapping[str, type[Section]] = {
    "service": ServiceSection,
    "organisation": OrganisationSection,
    "route": RouteSection,
    "objective": ObjectiveSection,
}


def allowed(model: type[Section], key: str) -> str:
    """Returns the values allowed for a key of a section."""
    for name, field in model.model_fields.items():
        if key in (name, field.alias):
            return field.description or ""
    return f"one of the keys {', '.join(keys(model))}"


def keys(model: type[Section]) -> list[str]:
    """Returns the keys of a section as spelt in the file."""
    return [field.alias or name for name, field in model.model_fields.items()]


def describe_allowed(model: type[Section], fault: Mapping[str, Any]) -> str:
    """Returns what is allowed instead of the value in a fault."""
    if fault["type"] == "extra_forbidden":
        return f"not a known key; known are {', '.join(keys(model))}"
    if fault["type"] == "value_error":
        return str(fault["ctx"]["error"])
    return allowed(model, str(fault["loc"][0]))
