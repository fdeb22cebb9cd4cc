"""Differences between versions of a configuration by host and prefix."""

import dataclasses

from sassafras_policy.configuration import differences
from sassafras_policy.mesh import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class _Organisation:
    """An organisation without its keys."""

    name: str
    rate_per_s: float
    burst: float
    priority: int | None


def compare(
    before: configuration.Configuration, after: configuration.Configuration
) -> tuple[differences.Difference, ...]:
    """Returns the differences between two configurations.

    Versions are not compared, and neither is the order of entries: the order
    counts for routes of one host and prefix only, which is a finding of its
    own.
    """
    found: list[differences.Difference] = []
    differences.compare_items(
        found, "service", before.services, after.services, lambda s: s.name
    )
    differences.compare_items(
        found,
        "organisation",
        _organisations(before),
        _organisations(after),
        lambda o: o.name,
    )
    differences.compare_items(found, "key", _keys(before), _keys(after), str)
    differences.compare_items(
        found, "route", before.routes, after.routes, lambda r: r.name
    )
    for field in dataclasses.fields(configuration.CallerLimits):
        differences.compare_value(
            found,
            "limits",
            field.name,
            getattr(before.limits, field.name),
            getattr(after.limits, field.name),
        )
    return tuple(found)


def _organisations(
    source: configuration.Configuration,
) -> list[_Organisation]:
    return [
        _Organisation(
            item.account.name,
            item.account.rate_per_s,
            item.account.burst,
            item.priority,
        )
        for item in source.organisations
    ]


def _keys(source: configuration.Configuration) -> list[str]:
    """Returns the keys by organisation and short digest.

    Their labels are positions, which change with each key that is removed.
    """
    return [
        f"{item.account.name}/{key.digest[:8]}"
        for item in source.organisations
        for key in item.account.keys
    ]
