"""Runs nodes as processes on an emulated platform, under load.

Prints the number of responses by status, latency percentiles, and the CPU time,
memory and store calls of the nodes. Experiments compare two versions of the
code by running each with the same seed.
"""

import collections
import pathlib
import random
import resource
import tempfile

from absl import app
from absl import flags
from hdrh import histogram
import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_standins.fleet import launcher
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint
from sassafras_standins.platform import machines
from sassafras_standins.platform import processes
from sassafras_standins.platform import store as store_standin
from sassafras_wire.http import client

_MACHINES = flags.DEFINE_integer("machines", 4, "Machines.", 1, 40)
_RATE = flags.DEFINE_float("rate_per_s", 100.0, "Requests a second.", 1, 2000)
_SECONDS = flags.DEFINE_float("seconds", 10.0, "Length of the load.", 1, 600)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the load.")
_WORK_MS = flags.DEFINE_float("work_ms", 20.0, "Work of a request.", 0, 5000)
_FAULT = flags.DEFINE_enum(
    "fault",
    "none",
    [
        "none",
        "store-silent",
        "store-slow",
        "endpoint-slow",
        "endpoint-cold",
        "node-kill",
        "zone-evacuated",
    ],
    "Fault that is active in the middle third of the load.",
)
_ORGANISATION_RATE = flags.DEFINE_float(
    "organisation_rate_per_s", 0.0, "Rate of the organisation; 0 for no limit."
)
_COLD_RATE = flags.DEFINE_float(
    "cold_rate_per_s", 0.0, "Rate that a cold endpoint bears; 0 for no bound."
)
_SETTINGS = flags.DEFINE_string(
    "settings", "deploy/node.ini", "The nodes' INI file."
)
_PROFILE = flags.DEFINE_string(
    "profile", "", "File for a profile of the first node."
)

_HOST = "emulator.example"
_KEY = "emulator-key"
_ROUTES = (
    documents.RouteRow("read", _HOST, "/read/", "front"),
    documents.RouteRow("write", _HOST, "/write/", "back", route_type="unsafe"),
    documents.RouteRow("inner", _HOST, "/inner/", "back", is_public=True),
)
_PATHS = (("GET", "/read/1"), ("POST", "/write/1"))
_SETTLE_S = 2.0
_BODY_LIMIT = 1024 * 1024
_SLOW_FACTOR = 8.0
_COLD_START_S = 3.0
_ZONES = ("zone-0", "zone-1")
_SERVICES = ("front", "back")
_BOUNDS = ("EvacMs=5000", "ColdOver=1.5", "ColdSlack=8")


class _Results:
    """Counts of responses by status, and the latency of successful ones."""

    def __init__(self) -> None:
        self.statuses: dict[str, int] = {}
        self.latency_us = histogram.HdrHistogram(1, 60_000_000, 2)

    def add(self, status: str, latency_s: float) -> None:
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == "200":
            self.latency_us.record_value(max(1, int(latency_s * 1e6)))


async def _send_request(
    machine: machines.Machine,
    number: int,
    rng: random.Random,
    results: _Results,
) -> None:
    method, path = rng.choice(_PATHS)
    headers = (
        ("host", _HOST),
        ("request-id", f"e{number}"),
        ("deadline-ms", "3000"),
        ("authorization", f"Bearer {_KEY}"),
    )
    started = trio.current_time()
    try:
        connection = await client.ClientConnection.connect(
            machine.address("Outbound"), "emulator.ask", _BODY_LIMIT, 1.0
        )
        try:
            with trio.fail_after(4.0):
                response = await connection.exchange(
                    messages.Request(method, path, headers, b"")
                )
            status = str(response.status)
        finally:
            await connection.close()
    except (errors.SassafrasError, trio.TooSlowError) as error:
        status = type(error).__name__
    results.add(status, trio.current_time() - started)


async def _generate_load(
    fleet: list[machines.Machine], results: _Results
) -> None:
    rng = random.Random(_SEED.value)
    ends_at = trio.current_time() + _SECONDS.value
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends_at:
            number += 1
            nursery.start_soon(
                _send_request, rng.choice(fleet), number, rng, results
            )
            await trio.sleep(rng.expovariate(_RATE.value))


async def _inject_fault(
    store: store_standin.MetadataStore,
    endpoints: list[endpoint.Endpoint],
    nodes: list[processes.NodeProcess],
) -> None:
    await trio.sleep(_SECONDS.value / 3)
    if _FAULT.value == "store-silent":
        store.mode = store_standin.Mode.SILENT
    elif _FAULT.value == "store-slow":
        store.mode = store_standin.Mode.SLOW
    elif _FAULT.value == "endpoint-slow":
        endpoints[0].behaviour.slow = _SLOW_FACTOR
    elif _FAULT.value == "node-kill":
        await nodes[-1].kill()
    elif _FAULT.value == "endpoint-cold":
        endpoints[0].become_cold(_SECONDS.value / 3)
    elif _FAULT.value == "zone-evacuated":
        store.put(f"op/evacuate/{_ZONES[0]}", b"{}")
    await trio.sleep(_SECONDS.value / 3)
    store.mode = store_standin.Mode.NORMAL
    endpoints[0].behaviour.slow = 1.0
    if _FAULT.value == "zone-evacuated":
        # As on the platform, the endpoints of the zone come back cold.
        for server in endpoints:
            if server.settings.zone == _ZONES[0]:
                server.become_cold(_COLD_START_S)
        store.remove(f"op/evacuate/{_ZONES[0]}")


async def _main_async() -> None:
    fleet = [
        machines.make_machine(
            f"machine-{number}",
            _ZONES[number // 2 % 2],
            _SERVICES[number % 2],
            _ZONES,
            _BOUNDS,
        )
        for number in range(_MACHINES.value)
    ]
    store = store_standin.MetadataStore()
    store_address = launcher.free_address()
    store.put(
        "op/config",
        documents.configuration(
            1,
            _ROUTES,
            (
                documents.TenantRow(
                    "emulator",
                    (_KEY,),
                    rate_per_s=_ORGANISATION_RATE.value,
                    burst=_ORGANISATION_RATE.value,
                ),
            ),
            tuple(
                documents.ServiceRow(name, _COLD_START_S, _COLD_RATE.value)
                for name in _SERVICES
            ),
        ),
    )
    results = _Results()
    nodes: list[processes.NodeProcess] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(store.run, store_address)
                for machine in fleet:
                    node = processes.NodeProcess(
                        machine,
                        pathlib.Path(folder),
                        store_address,
                        _SETTINGS.value,
                        "" if nodes else _PROFILE.value,
                    )
                    node.start()
                    nodes.append(node)
                endpoints = [
                    endpoint.Endpoint(
                        machine.endpoint_settings(work_s=_WORK_MS.value / 1000)
                    )
                    for machine in fleet
                ]
                for server in endpoints:
                    await nursery.start(server.run)
                for node in nodes:
                    await node.wait_until_ready()
                # Endpoints announce themselves, and nodes learn of each other.
                await trio.sleep(_SETTLE_S)
                async with trio.open_nursery() as load:
                    load.start_soon(_generate_load, fleet, results)
                    load.start_soon(_inject_fault, store, endpoints, nodes)
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                async with trio.open_nursery() as stopping:
                    for node in nodes:
                        stopping.start_soon(node.stop)
    _print_summary(results, store, endpoints)


def _print_summary(
    results: _Results,
    store: store_standin.MetadataStore,
    endpoints: list[endpoint.Endpoint],
) -> None:
    for status, count in sorted(results.statuses.items()):
        print(f"ended {status}: {count}")
    for quantile in (50.0, 90.0, 99.0):
        value = results.latency_us.get_value_at_percentile(quantile)
        print(f"latency p{quantile:g}: {value / 1000:.1f} ms")
    most = max(server.max_cold_arrivals() for server in endpoints)
    print(f"requests of a cold endpoint in one second, at most: {most}")
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    cpu_s = usage.ru_utime + usage.ru_stime
    total = sum(results.statuses.values())
    print(f"node CPU: {cpu_s * 1000 / max(1, total):.2f} ms a request")
    print(f"node memory, largest: {usage.ru_maxrss / 1024:.1f} MB")
    print(f"store calls: {sum(store.calls.values())}")
    by_kind: collections.Counter[str] = collections.Counter()
    for call, count in store.calls.items():
        # Method and name; leases have their id behind it.
        by_kind["/".join(call.split("/")[:3])] += count
    for kind, count in by_kind.most_common():
        print(f"  {kind}: {count}")


def _main(argv: list[str]) -> None:
    del argv
    trio.run(_main_async)


if __name__ == "__main__":
    app.run(_main)
