"""Numbers of a configuration that an operator may choose at any size."""

import dataclasses
import tracemalloc

import pytest

from common import mesh_fleet
from sassafras_standins.platform import documents

pytestmark = pytest.mark.loopback

# The first configuration and its requests need less than a tenth of it.
_MAX_GROWTH_BYTES = 8 * 1024 * 1024
_REQUESTS = 30

_NEW = documents.RouteRow("new", mesh_fleet.HOST, "/new/", "front")
_ROUTES = (mesh_fleet.SAFE, mesh_fleet.UNSAFE, mesh_fleet.OPEN)


def _version(
    priority=0, tenant_priority=None, count=1, cold_rate_per_s=0.0, weight=1
):
    """Returns the options of a configuration with a new route, or several."""
    new = [
        dataclasses.replace(
            _NEW,
            name=f"new-{number}",
            prefix=f"/new/{number}/" if number else "/new/",
            priority=priority * (number + 1),
            weights=(("front", weight),),
        )
        for number in range(count)
    ]
    return {
        "routes": (*_ROUTES, *new),
        "tenants": (
            dataclasses.replace(mesh_fleet.TENANT, priority=tenant_priority),
        ),
        "services": (
            documents.ServiceRow("front", cold_rate_per_s=cold_rate_per_s),
        ),
    }


@pytest.mark.parametrize(
    "version",
    [
        _version(priority=30_000),
        _version(priority=2_000_000_000),
        _version(priority=10**400),
        _version(priority=70, count=400),
        _version(tenant_priority=30_000),
        _version(cold_rate_per_s=1e7),
        _version(cold_rate_per_s=1e18),
        _version(weight=10**9),
    ],
    ids=[
        "priority",
        "huge priority",
        "priority of hundreds of digits",
        "many priorities with gaps",
        "priority of an organisation",
        "rate of cold targets",
        "huge rate of cold targets",
        "weight",
    ],
)
async def test_a_large_number_costs_no_memory(tmp_path, version):
    """Guards against nodes that run out of memory on a new version.

    With a route of priority 30,000, each node of 200 MB passed its limit within
    seconds, and again after each restart (Fault).
    """
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one")
        await fleet.wait_until_version(1)
        await fleet.wait_until_settled()
        assert (await fleet.send_request("one")).status == 200
        tracemalloc.start()
        try:
            fleet.configure(2, **version)
            await fleet.wait_until_version(2)
            before = tracemalloc.get_traced_memory()[0]
            tracemalloc.reset_peak()
            for number in range(_REQUESTS):
                path = "/new/1" if number % 2 else "/read/1"
                response = await fleet.send_request("one", path)
                assert response.status == 200
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert before < _MAX_GROWTH_BYTES
        assert peak - before < _MAX_GROWTH_BYTES
