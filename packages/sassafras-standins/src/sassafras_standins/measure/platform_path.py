"""Processor time of a call on the users' platform, and of a node's start.

With `SASSAFRAS_BASELINE` set to another checkout of the project, both versions
run alternately, so that a change of the machine's speed affects both.
"""

from collections.abc import Iterator
import functools
import itertools
import os
import pathlib
import statistics
import tempfile

import trio

from sassafras_policy.calls import messages
from sassafras_standins.fleet import launcher
from sassafras_standins.load import pacing
from sassafras_standins.measure import figures
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint
from sassafras_standins.platform import machines
from sassafras_standins.platform import processes
from sassafras_standins.platform import store as store_standin
from sassafras_wire.http import client
from sassafras_wire.http import pool

_BASELINE = "SASSAFRAS_BASELINE"
_HOST = "measure.example"
_KEY = "measure-key"
_SERVICES = ("near", "far")
_ROUTES = tuple(
    documents.RouteRow(service, _HOST, f"/{service}/", service)
    for service in _SERVICES
)
# One node handles the calls of its own target's service, two all others.
_HOPS = {"near": "one_node", "far": "two_nodes"}
_PAIRS = 3
_RATE_PER_S = 350
_CALLS = 1050
_SETTLE_S = 1.5
_WORK_S = 0.002
_CALL_TIMEOUT_S = 5.0
_BODY_LIMIT = 1024 * 1024
_CONNECTIONS = 64
# Aims of the target size for a call of one node and of two.
_MAX_CPU_MS = {"near": 0.9, "far": 1.8}
_MAX_START_S = 0.6


@figures.measurements.register("platform-path")
async def measure() -> list[figures.Figure]:
    """Measures calls of one and of two nodes on new and kept connections."""
    baseline = os.environ.get(_BASELINE)
    sources: dict[str, pathlib.Path | None] = {"": None}
    if baseline:
        sources["_baseline"] = pathlib.Path(baseline)
    values: dict[str, list[float]] = {}
    for _ in range(_PAIRS if baseline else 1):
        for suffix, source in sources.items():
            for name, value in (await _measure_version(source)).items():
                values.setdefault(name + suffix, []).append(value)
    return [
        _figure(name, statistics.median(samples))
        for name, samples in values.items()
    ]


def _figure(name: str, value: float) -> figures.Figure:
    bounds = {
        f"path_cpu_ms_{_HOPS[service]}_kept": limit
        for service, limit in _MAX_CPU_MS.items()
    }
    bounds["start_cpu_s"] = _MAX_START_S
    unit = "s" if name.startswith("start") else "ms"
    if name not in bounds:
        return figures.Figure(name, value, unit)
    return figures.Figure(
        name, value, unit, figures.Sense.AT_MOST, bounds[name]
    )


async def _measure_version(source: pathlib.Path | None) -> dict[str, float]:
    fleet = [
        machines.make_machine(f"machine-{service}", "zone-a", service)
        for service in _SERVICES
    ]
    store = store_standin.MetadataStore()
    store_address = launcher.free_address()
    store.put(
        "op/config",
        documents.configuration(
            1, _ROUTES, (documents.TenantRow("measure", (_KEY,)),)
        ),
    )
    nodes: list[processes.NodeProcess] = []
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            try:
                await nursery.start(store.run, store_address)
                for machine in fleet:
                    node = processes.NodeProcess(
                        machine,
                        pathlib.Path(folder),
                        store_address,
                        "deploy/node.ini",
                        source=source,
                    )
                    node.start()
                    nodes.append(node)
                for machine in fleet:
                    server = endpoint.Endpoint(
                        machine.endpoint_settings(work_s=_WORK_S)
                    )
                    await nursery.start(server.run)
                for node in nodes:
                    await node.wait_until_ready()
                start_s = statistics.median(
                    pacing.cpu_seconds(node.pid) for node in nodes
                )
                await trio.sleep(_SETTLE_S)
                results = await _measure_calls(fleet[0], nodes)
            finally:
                with trio.CancelScope(shield=True):
                    for node in nodes:
                        await node.kill()
            nursery.cancel_scope.cancel()
    return {"start_cpu_s": start_s, **results}


async def _measure_calls(
    machine: machines.Machine, nodes: list[processes.NodeProcess]
) -> dict[str, float]:
    address = machine.address("Outbound")
    kept = pool.ConnectionPool(
        address,
        "measure.call",
        size=_CONNECTIONS,
        body_limit=_BODY_LIMIT,
        connect_timeout_s=_CALL_TIMEOUT_S,
    )
    numbers = itertools.count(1)
    results: dict[str, float] = {}
    for service in _SERVICES:
        for kind in ("warm", "kept", "new"):
            statuses: list[int] = []
            send = functools.partial(
                _send,
                None if kind == "new" else kept,
                address,
                service,
                numbers,
                statuses,
            )
            before = sum(pacing.cpu_seconds(node.pid) for node in nodes)
            await pacing.at_rate(_RATE_PER_S, _CALLS, send)
            used_s = (
                sum(pacing.cpu_seconds(node.pid) for node in nodes) - before
            )
            if kind == "warm":
                continue
            if statuses.count(200) < 0.99 * _CALLS:
                raise RuntimeError(
                    f"only {statuses.count(200)} of {_CALLS} calls succeeded"
                )
            name = f"path_cpu_ms_{_HOPS[service]}_{kind}"
            results[name] = used_s * 1000 / _CALLS
    await kept.close()
    return results


async def _send(
    kept: pool.ConnectionPool | None,
    address: str,
    service: str,
    numbers: Iterator[int],
    statuses: list[int],
    number: int,
) -> None:
    del number
    request = messages.Request(
        "GET",
        f"/{service}/1",
        (
            ("host", _HOST),
            ("request-id", f"m{next(numbers)}"),
            ("deadline-ms", "3000"),
            ("authorization", f"Bearer {_KEY}"),
        ),
        b"",
    )
    with trio.fail_after(_CALL_TIMEOUT_S):
        if kept is not None:
            response = await kept.exchange(request)
        else:
            connection = await client.ClientConnection.connect(
                address, "measure.call", _BODY_LIMIT, _CALL_TIMEOUT_S
            )
            try:
                response = await connection.exchange(request)
            finally:
                await connection.close()
    statuses.append(response.status)
