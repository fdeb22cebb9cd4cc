"""Differences between configuration revisions, in operators' terms."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
from typing import Any
from typing import TypeVar

from sassafras_policy.configuration import document as documents

T = TypeVar("T")

# Keys of the questionnaire for fields that have other names in the code.
FIELD_NAMES = {"call_class": "class", "is_open": "open", "pattern": "path"}


class Action(enum.StrEnum):
    """The kind of a difference."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One difference between two documents.

    Attributes:
      subject: What differs, such as `organisation north-bank`.
      action: Whether it is added, removed or changed.
      field: The questionnaire's key that changes; empty for a whole subject.
      before: The value before; empty when there was none.
      after: The value after; empty when there is none.
    """

    subject: str
    action: Action
    field: str = ""
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        if self.action is Action.CHANGED:
            return f"{self.subject}: {self.field} {self.before} -> {self.after}"
        detail = f" ({self.after or self.before})"
        has_detail = self.after or self.before
        return f"{self.subject}: {self.action}{detail if has_detail else ''}"


def compare(
    before: documents.Document | None, after: documents.Document
) -> tuple[Difference, ...]:
    """Returns the differences between two documents.

    Revision, write id, author and note are not compared.

    Args:
      before: The earlier document; None when there was none.
      after: The later document.
    """
    if before is None:
        before = documents.Document(revision=0)
    found: list[Difference] = []
    compare_value(
        found,
        "deployment",
        "retry_limit",
        before.retry_limit,
        after.retry_limit,
    )
    compare_value(found, "classes", "order", before.classes, after.classes)
    compare_items(
        found, "service", before.services, after.services, lambda s: s.name
    )
    compare_items(
        found,
        "organisation",
        before.organisations,
        after.organisations,
        lambda o: o.name,
        skipped=("keys",),
    )
    compare_items(found, "key", _keys(before), _keys(after), _key_name)
    compare_items(found, "route", before.routes, after.routes, _route_name)
    _compare_order(found, before.routes, after.routes)
    compare_items(
        found,
        "objective",
        before.objectives,
        after.objectives,
        lambda o: f"{o.service} {o.organisation}",
    )
    compare_items(
        found,
        "stopped target",
        before.stopped_targets,
        after.stopped_targets,
        str,
    )
    return tuple(found)


def _keys(
    document: documents.Document,
) -> list[tuple[str, documents.Key]]:
    return [
        (organisation.name, key)
        for organisation in document.organisations
        for key in organisation.keys
    ]


def _key_name(pair: tuple[str, documents.Key]) -> str:
    return f"{pair[0]}/{pair[1].label}"


def _route_name(route: documents.Route) -> str:
    return f"{route.method} {route.pattern}"


def compare_items(
    found: list[Difference],
    kind: str,
    before: Iterable[T],
    after: Iterable[T],
    name_of: Callable[[T], str],
    skipped: tuple[str, ...] = (),
) -> None:
    """Adds the differences between two lists of entries.

    Args:
      found: Receives the differences.
      kind: Singular noun for an entry.
      before: The earlier entries.
      after: The later entries.
      name_of: Returns the name by which entries are matched.
      skipped: Fields that are not compared.
    """
    old = {name_of(item): item for item in before}
    new = {name_of(item): item for item in after}
    for name, item in old.items():
        if name not in new:
            found.append(Difference(f"{kind} {name}", Action.REMOVED))
        elif item != new[name]:
            _compare_fields(found, f"{kind} {name}", item, new[name], skipped)
    found.extend(
        Difference(
            f"{kind} {name}", Action.ADDED, after=_describe(item, skipped)
        )
        for name, item in new.items()
        if name not in old
    )


def _compare_fields(
    found: list[Difference],
    subject: str,
    before: Any,
    after: Any,
    skipped: tuple[str, ...],
) -> None:
    old = _fields(before, skipped)
    for field, value in _fields(after, skipped).items():
        compare_value(found, subject, field, old[field], value)


def compare_value(
    found: list[Difference], subject: str, field: str, before: Any, after: Any
) -> None:
    """Adds the difference between two values, if they differ."""
    if before != after:
        found.append(
            Difference(
                subject, Action.CHANGED, field, _show(before), _show(after)
            )
        )


def _compare_order(
    found: list[Difference],
    before: tuple[documents.Route, ...],
    after: tuple[documents.Route, ...],
) -> None:
    """Compares the order of routes, as the first match applies."""
    new = [_route_name(route) for route in after]
    old = [_route_name(route) for route in before]
    kept_old = [name for name in old if name in set(new)]
    kept_new = [name for name in new if name in set(old)]
    if kept_old != kept_new:
        found.append(
            Difference(
                "routes",
                Action.CHANGED,
                "order",
                ", ".join(kept_old),
                ", ".join(kept_new),
            )
        )


def _fields(item: Any, skipped: tuple[str, ...]) -> Mapping[str, Any]:
    if isinstance(item, tuple):
        # A key with its organisation. A short digest is enough, as it only
        # shows operators that the key is a different one.
        return {"digest": item[1].digest[:8]}
    if not dataclasses.is_dataclass(item):
        return {}
    return {
        FIELD_NAMES.get(field.name, field.name): getattr(item, field.name)
        for field in dataclasses.fields(item)
        if field.name not in skipped
    }


def _describe(item: Any, skipped: tuple[str, ...]) -> str:
    if not dataclasses.is_dataclass(item):
        return ""
    identity = ("name", "method", "path", "service", "organisation")
    return ", ".join(
        f"{field} {_show(value)}"
        for field, value in _fields(item, skipped).items()
        if field not in identity
    )


def _show(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(str(part) for part in value) or "none"
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
