"""Checks and differences of configurations by host and path prefix."""

import dataclasses
import json

import pytest

from common import command_line
from sassafras_base import errors
from sassafras_platform import configuration as configuration_format
from sassafras_platform import configuration_file
from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration.checks import registry
from sassafras_policy.configuration.checks import suite
from sassafras_policy.mesh import configuration
from sassafras_policy.mesh import differences
from sassafras_policy.mesh import routing

SECRET = "key-of-the-bank"


def route(name, prefix="/", *shares, **changes):
    shares = shares or (configuration.Share("front", 1.0),)
    values = {
        "is_idempotent": True,
        "timeout_s": 2.0,
        "priority": 0,
        "max_targets": 2,
        "is_open": False,
        "target_latency_s": 1.0,
        **changes,
    }
    return configuration.Route(
        name, "a.example", prefix, shares=shares, **values
    )


def organisation(name, digest="a" * 64, rate_per_s=10.0, burst=10.0):
    keys = (documents.Key("key-1", digest),) if digest else ()
    return configuration.Organisation(
        documents.Organisation(name, rate_per_s, burst, keys), None
    )


BASE = configuration.Configuration(
    version=1,
    routes=(route("all"), route("docs", "/docs/")),
    organisations=(organisation("bank"),),
    limits=configuration.CallerLimits(16384, 1048576, 3.0, 15.0),
    services=(configuration.Service("front", 8, 5.0, 2.0),),
)


def changed(**changes):
    return dataclasses.replace(BASE, **changes)


def found(content):
    return [
        (finding.check, finding.subject, finding.position, finding.field)
        for finding in suite.find(registry.Subject(content))
    ]


def test_a_configuration_without_mistakes_has_no_findings():
    """Guards against a broader prefix that is taken for an obstacle."""
    assert found(BASE) == []


# Each row: a configuration with one mistake, and the finding.
MISTAKES = [
    (
        changed(routes=(route("old"), route("new"))),
        ("unreachable-prefix", "route old", 0, "prefix"),
    ),
    (
        changed(routes=(route("all"), route("docs", "/docs"))),
        ("unreachable-prefix", "route docs", 1, "prefix"),
    ),
    (
        changed(routes=(route("all"), route("all", "/docs/"))),
        ("repeated-name", "route all", 1, "name"),
    ),
    (
        changed(organisations=(organisation("a"), organisation("a", "b" * 64))),
        ("repeated-name", "organisation a", 1, "name"),
    ),
    (
        changed(organisations=(organisation("a"), organisation("b"))),
        ("repeated-key", "organisation b", 1, "keys"),
    ),
    (
        changed(organisations=(organisation("a", ""),)),
        ("organisation-without-key", "organisation a", 0, "keys"),
    ),
    (
        changed(organisations=(organisation("a", burst=9.0),)),
        ("burst-below-rate", "organisation a", 0, "burst"),
    ),
    (
        changed(
            routes=(*BASE.routes, route("x", "/x/", configuration.Share("", 1)))
        ),
        ("route-without-service", "route x", 2, "shares"),
    ),
    (
        changed(
            routes=(
                route(
                    "all",
                    "/",
                    configuration.Share("front", 1.0),
                    configuration.Share("front", 2.0),
                ),
            )
        ),
        ("repeated-share", "route all", 0, "shares"),
    ),
    (
        changed(routes=(route("all", target_latency_s=2.5),)),
        ("target-latency-above-timeout", "route all", 0, "target_latency_s"),
    ),
    (
        changed(services=(*BASE.services, configuration.Service("spare"))),
        ("unused-service-statement", "service spare", 1, "name"),
    ),
    (
        changed(services=(configuration.Service("front", 8, 5.0),)),
        ("half-cold-limit", "service front", 0, "cold_start_s"),
    ),
    (
        changed(services=(configuration.Service("front", 8, 0.0, 2.0),)),
        ("half-cold-limit", "service front", 0, "cold_rate_per_s"),
    ),
]


@pytest.mark.parametrize(("content", "finding"), MISTAKES)
def test_each_mistake_has_one_finding(content, finding):
    """Guards against mistakes that pass, or that hide in other findings."""
    assert found(content) == [finding]


@pytest.mark.parametrize(
    "content",
    [
        # No time-out, and no rate.
        changed(routes=(route("all", timeout_s=0.0, target_latency_s=9.0),)),
        changed(organisations=(organisation("a", rate_per_s=0.0, burst=0.0),)),
        # Stated without limits of cold targets.
        changed(services=(configuration.Service("front", 8),)),
    ],
)
def test_a_limit_that_is_not_stated_contradicts_nothing(content):
    """Guards against findings about limits that are off."""
    assert found(content) == []


def test_every_check_has_a_test_that_it_fires():
    """Guards against a check that never finds anything."""
    assert suite.CHECK_MODULES
    assert {finding[0] for _, finding in MISTAKES} == {
        name
        for name, check in registry.checks.items()
        if configuration.Configuration in check.contents
    }


def test_the_routing_table_skips_the_routes_that_have_a_finding():
    """Guards against an order of match that differs from the node's."""
    routes = (route("old"), route("docs", "/docs"), route("new"))
    table = routing.RoutingTable(changed(routes=routes))
    reached = {table.find("a.example", path).name for path in ("/", "/docs/a")}
    unreachable = {
        routes[position].name
        for check, _, position, _ in found(changed(routes=routes))
        if check == "unreachable-prefix"
    }
    assert reached == {"new"}
    assert unreachable == {"old", "docs"}


def test_each_change_is_a_difference():
    """Guards against a change that the comparison hides."""
    after = changed(
        version=9,
        routes=(
            route(
                "all",
                "/",
                configuration.Share("front", 1.0),
                configuration.Share("next", 9.0),
            ),
        ),
        organisations=(organisation("bank", "b" * 64, 20.0, 20.0),),
        limits=dataclasses.replace(BASE.limits, body_bytes=1),
        services=(),
    )
    assert [str(d) for d in differences.compare(BASE, after)] == [
        "service front: removed",
        "organisation bank: rate_per_s 10 -> 20",
        "organisation bank: burst 10 -> 20",
        "key bank/aaaaaaaa: removed",
        "key bank/bbbbbbbb: added",
        "route all: shares front x 1 -> front x 1, next x 9",
        "route docs: removed",
        "limits: body_bytes 1048576 -> 1",
    ]
    assert differences.compare(BASE, changed(version=2)) == ()


def content(**changes):
    """Returns the operator's configuration in the form of the store."""
    return {
        "Version": "r4",
        "Routes": {
            "Columns": ["Name", "Host", "Prefix", "RouteType", "Service"],
            "Rows": [["all", "a.example", "/", "safe", "front"]],
        },
        "Tenants": {
            "Columns": ["Name", "ApiKeys", "RatePerS", "Burst"],
            "Rows": [["bank", [SECRET], 10, 10]],
        },
        **changes,
    }


def write(folder, value, name="config.json"):
    path = folder / name
    path.write_text(json.dumps(value))
    return path


@pytest.mark.parametrize(
    "table",
    [
        {"Columns": 1, "Rows": [1]},
        {"Columns": ["Name"], "Rows": [1]},
        {"Columns": ["Name"], "Rows": 1},
        {"Columns": [["Name"]], "Rows": [["x"]]},
    ],
)
def test_a_damaged_table_is_invalid_input(table):
    """Guards against a TypeError, which ended the task of the reader."""
    value = json.dumps(content(Routes=table)).encode()
    with pytest.raises(errors.InvalidInputError):
        configuration_format.decode(value)
    (fault,) = configuration_format.check(value).err_value
    assert fault.field == "Routes"


def test_check_accepts_what_the_node_accepts():
    """Guards against two copies of the validation."""
    value = json.dumps(content()).encode()
    decoded = configuration_format.decode(value)
    assert configuration_format.check(value).ok_value == decoded
    assert configuration_file.FORMAT.recognises(content())


async def test_the_command_checks_a_configuration_of_the_platform(tmp_path):
    """Guards against a form that is installed and not found."""
    clean = await command_line.run("check", write(tmp_path, content()))
    assert clean.code == 0, clean.text
    assert "0 services, 1 organisations, 1 routes" in clean.out
    tenants = {
        "Columns": ["Name", "ApiKeys", "RatePerS", "Burst"],
        "Rows": [["bank", [SECRET], 10, 5], ["other", [SECRET], 1, 1]],
    }
    path = write(tmp_path, content(Tenants=tenants))
    outcome = await command_line.run("check", path, "--json")
    assert outcome.code == 1
    assert [
        (f["check"], f["section"], f["key"]) for f in outcome.json["findings"]
    ] == [
        ("burst-below-rate", "Tenants 0 bank", "Burst"),
        ("repeated-key", "Tenants 1 other", "ApiKeys"),
    ]
    assert SECRET not in outcome.text


async def test_a_fault_names_its_place_and_no_key(tmp_path):
    """Guards against keys in the output of a check."""
    tenants = [{"Name": "bank", "ApiKeys": SECRET, "Burst": "many"}]
    path = write(tmp_path, content(Tenants=tenants))
    outcome = await command_line.run("check", path, "--json")
    assert outcome.code == 2
    assert [(f["section"], f["key"]) for f in outcome.json["faults"]] == [
        ("Tenants 0", "ApiKeys"),
        ("Tenants 0", "Burst"),
    ]
    assert SECRET not in outcome.text


async def test_earlier_shows_what_differs_between_two_files(tmp_path):
    """Guards against a difference that only a node can show."""
    earlier = write(tmp_path, content(), "earlier.json")
    path = write(tmp_path, content(Limits={"MaxBodyBytes": 10}))
    outcome = await command_line.run("check", path, f"--earlier={earlier}")
    assert outcome.code == 0, outcome.text
    assert "body_bytes" in outcome.out
    assert "1048576" in outcome.out
    same = await command_line.run("check", path, f"--earlier={path}", "--json")
    assert same.json["differences"] == []
    assert "revision" not in same.json


async def test_a_node_takes_no_configuration_of_the_platform(tmp_path):
    """Guards against a request that every node refuses."""
    path = write(tmp_path, content())
    credential = tmp_path / "credential"
    credential.write_text("any")
    flags = ["--node=127.0.0.1:1", f"--credential_file={credential}"]
    for argv in (["plan", path], ["apply", path], ["check", path, "--compare"]):
        outcome = await command_line.run(*argv, *flags)
        assert outcome.code == 2
        assert "is neither a questionnaire nor a document" in outcome.error_out
