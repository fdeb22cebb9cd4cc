"""Validated models of the configuration document and its JSON form."""

from collections.abc import Mapping
import dataclasses
from typing import Any

import pydantic
import result

from sassafras_base import errors
from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import validation

_STEP = "configuration.decode"
_DIGEST = r"^[0-9a-f]{64}$"


class _Model(pydantic.BaseModel):
    # An older node must be able to read a document of a newer version.
    # JSON has no infinities, so a document with one could not be read back.
    model_config = pydantic.ConfigDict(
        extra="ignore",
        frozen=True,
        allow_inf_nan=False,
        defer_build=True,
    )


class KeyModel(_Model):
    """See documents.Key."""

    label: str
    digest: str = pydantic.Field(pattern=_DIGEST)


class OrganisationModel(_Model):
    """See documents.Organisation."""

    name: str = pydantic.Field(min_length=1)
    rate_per_s: float = pydantic.Field(gt=0)
    burst: float = pydantic.Field(ge=1)
    keys: tuple[KeyModel, ...] = ()


class RouteModel(_Model):
    """See documents.Route."""

    service: str
    method: str
    pattern: str = pydantic.Field(pattern="^/")
    call_class: str
    at_most_once: bool = False
    is_open: bool = False
    deadline_ms: int = pydantic.Field(default=5000, gt=0)


class ServiceModel(_Model):
    """See documents.Service."""

    name: str
    calls: tuple[str, ...] = ()


class ObjectiveModel(_Model):
    """See documents.Objective."""

    service: str
    organisation: str = "*"
    success_ratio: float = pydantic.Field(gt=0, lt=1)
    latency_ms: int = pydantic.Field(default=0, ge=0)


class DocumentModel(_Model):
    """See documents.Document."""

    revision: int = pydantic.Field(gt=0)
    write_id: str = ""
    author: str = ""
    note: str = ""
    classes: tuple[str, ...] = ()
    services: tuple[ServiceModel, ...] = ()
    routes: tuple[RouteModel, ...] = ()
    organisations: tuple[OrganisationModel, ...] = ()
    objectives: tuple[ObjectiveModel, ...] = ()
    stopped_targets: tuple[str, ...] = ()
    retry_limit: int = pydantic.Field(
        default=documents.DEFAULT_RETRY_LIMIT, ge=0
    )

    @pydantic.model_validator(mode="after")
    def _check_references(self) -> "DocumentModel":
        services = {service.name for service in self.services}
        for route in self.routes:
            if route.call_class not in self.classes:
                raise ValueError(
                    f"route {route.pattern}: class {route.call_class!r} is not"
                    " among the classes"
                )
            if route.service not in services:
                raise ValueError(
                    f"route {route.pattern}: service {route.service!r} is not"
                    " among the services"
                )
        return self


def encode(document: documents.Document) -> bytes:
    """Returns a document as JSON."""
    content = dataclasses.asdict(document)
    return DocumentModel.model_validate(content).model_dump_json().encode()


def decode(data: bytes, source: str) -> documents.Document:
    """Returns the document in JSON data.

    Raises:
      InvalidInputError: The document is not valid; the caller keeps its
        current one.
    """
    try:
        model = DocumentModel.model_validate_json(data)
    except pydantic.ValidationError as error:
        faults = [
            ".".join(str(part) for part in fault["loc"]) + ": " + fault["msg"]
            for fault in error.errors(include_input=False)
        ]
        raise errors.InvalidInputError(_STEP, source, faults) from None
    return _to_document(model)


def check_posted(
    content: Mapping[str, Any],
) -> result.Result[documents.Document, list[validation.DocumentFault]]:
    """Returns the document that an operator posted, or all its faults.

    Unlike in a document from a peer or the store, unknown fields are faults:
    they are more likely misspelt than new. The revision is ignored, as the node
    sets it.
    """
    try:
        model = DocumentModel.model_validate(
            {**content, "revision": 1}, extra="forbid"
        )
    except pydantic.ValidationError as error:
        return result.Err([_to_fault(fault) for fault in error.errors()])
    document = _to_document(model)
    faults = validation.find_faults(document)
    return result.Err(faults) if faults else result.Ok(document)


def _to_fault(fault: Mapping[str, Any]) -> validation.DocumentFault:
    location = [str(part) for part in fault["loc"]] or ["document"]
    given = fault["input"]
    return validation.DocumentFault(
        subject=".".join(location[:-1]) or "document",
        field=location[-1],
        given=str(given) if isinstance(given, str | int | float) else "",
        allowed=fault["msg"],
    )


def _to_document(model: DocumentModel) -> documents.Document:
    return documents.Document(
        revision=model.revision,
        write_id=model.write_id,
        author=model.author,
        note=model.note,
        classes=model.classes,
        services=tuple(
            documents.Service(**dict(item)) for item in model.services
        ),
        routes=tuple(documents.Route(**dict(item)) for item in model.routes),
        organisations=tuple(
            documents.Organisation(
                name=item.name,
                rate_per_s=item.rate_per_s,
                burst=item.burst,
                keys=tuple(documents.Key(**dict(key)) for key in item.keys),
            )
            for item in model.organisations
        ),
        objectives=tuple(
            documents.Objective(**dict(item)) for item in model.objectives
        ),
        stopped_targets=model.stopped_targets,
        retry_limit=model.retry_limit,
    )
