"""Edits of the configuration that need no new questionnaire.

Starting or stopping a target returns the document itself when it already has
the requested state, so that operators may repeat a request whose outcome was
unknown. Any other edit returns the next revision.
"""

import dataclasses

import result

from sassafras_policy.configuration import document as documents


@dataclasses.dataclass(frozen=True, slots=True)
class EditError:
    """The reason why a document cannot be changed as requested.

    Attributes:
      problem: What is wrong.
      advice: What the operator can do.
      is_missing: Whether the change names something that does not exist.
    """

    problem: str
    advice: str
    is_missing: bool = False


EditResult = result.Result[documents.Document, EditError]


def grant_key(
    document: documents.Document, organisation: str, label: str, digest: str
) -> EditResult:
    """Adds a key to an organisation."""
    lookup = _find_organisation(document, organisation)
    if isinstance(lookup, result.Err):
        return lookup
    current = lookup.ok_value
    if any(key.label == label for key in current.keys):
        return result.Err(
            EditError(
                f"organisation {organisation} already has a key called"
                f" {label!r}",
                "choose another label or withdraw that key first",
            )
        )
    key = documents.Key(label, digest)
    return result.Ok(_with_keys(document, organisation, (*current.keys, key)))


def withdraw_key(
    document: documents.Document, organisation: str, label: str
) -> EditResult:
    """Removes a key from an organisation."""
    lookup = _find_organisation(document, organisation)
    if isinstance(lookup, result.Err):
        return lookup
    current = lookup.ok_value
    kept = tuple(key for key in current.keys if key.label != label)
    if kept == current.keys:
        return result.Err(
            EditError(
                f"organisation {organisation} has no key called {label!r}",
                "list the keys; a key that is not listed is not in force",
                is_missing=True,
            )
        )
    return result.Ok(_with_keys(document, organisation, kept))


def stop_target(document: documents.Document, address: str) -> EditResult:
    """Stops new calls to a target."""
    if address in document.stopped_targets:
        return result.Ok(document)
    return result.Ok(
        _next(document, stopped_targets=(*document.stopped_targets, address))
    )


def start_target(document: documents.Document, address: str) -> EditResult:
    """Allows new calls to a stopped target again."""
    if address not in document.stopped_targets:
        return result.Ok(document)
    return result.Ok(
        _next(
            document,
            stopped_targets=tuple(
                stopped
                for stopped in document.stopped_targets
                if stopped != address
            ),
        )
    )


def replace_contents(
    document: documents.Document | None, contents: documents.Document
) -> documents.Document:
    """Returns the contents as the revision after a document.

    Keys and stopped targets of the document are kept: contents of an earlier
    revision must not restore a key that has been withdrawn since.

    Args:
      document: The newest revision; None when there is none yet.
      contents: The new contents, such as an earlier revision.
    """
    if document is None:
        return dataclasses.replace(contents, revision=1)
    keys = {o.name: o.keys for o in document.organisations}
    return dataclasses.replace(
        contents,
        revision=document.revision + 1,
        organisations=tuple(
            dataclasses.replace(o, keys=keys.get(o.name, ()))
            for o in contents.organisations
        ),
        stopped_targets=document.stopped_targets,
    )


def _find_organisation(
    document: documents.Document, name: str
) -> result.Result[documents.Organisation, EditError]:
    for organisation in document.organisations:
        if organisation.name == name:
            return result.Ok(organisation)
    names = ", ".join(o.name for o in document.organisations) or "none"
    return result.Err(
        EditError(
            f"there is no organisation called {name!r}",
            f"the organisations are: {names}",
            is_missing=True,
        )
    )


def _with_keys(
    document: documents.Document, name: str, keys: tuple[documents.Key, ...]
) -> documents.Document:
    return _next(
        document,
        organisations=tuple(
            dataclasses.replace(o, keys=keys) if o.name == name else o
            for o in document.organisations
        ),
    )


def _next(
    document: documents.Document, **changes: object
) -> documents.Document:
    return dataclasses.replace(
        document,
        revision=document.revision + 1,
        **changes,  # type: ignore[arg-type]
    )
