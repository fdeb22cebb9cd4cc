"""Counts retries and executions of requests while processes crash under load.

A small fleet serves a call chain of depth three and at-most-once entries. The
baseline without control uses retry policy `always`, and its callers repeat
every request without an idempotency key until it succeeds.
"""

import collections
import dataclasses
import itertools
import pathlib
import random
import signal
import tempfile

import trio

from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller
from sassafras_standins.load import pacing
from sassafras_standins.measure import figures

_SEED = 20_240
_CHAIN_RATE_PER_S = 10
_CHAIN_REQUESTS = 40
_SUB_CALL_RETRIES = 2
_MAX_RETRIES = 3
_ENTRY_RATE_PER_S = 50
_ENTRY_REQUESTS = 600
_CALLER_ATTEMPTS = 4
_START_TIMEOUT_S = 20.0
_LEDGERS = ("ledger-1", "ledger-2", "ledger-3")


@dataclasses.dataclass(slots=True)
class _Entry:
    """An at-most-once request and the outcomes that its caller received.

    Attributes:
      outcomes: Outcome of each attempt; empty if the connection was lost.
    """

    outcomes: list[str]

    @property
    def is_not_run(self) -> bool:
        """Whether every attempt got outcome "not run"."""
        return all(item.startswith("not-run") for item in self.outcomes)


class _Experiment:
    """Measures one fleet, with or without control of retries."""

    def __init__(self, folder: pathlib.Path, controlled: bool) -> None:
        self._controlled = controlled
        self._folder = folder
        self._random = random.Random(_SEED)
        self._entries: dict[str, _Entry] = {}
        self.hosts = [
            self._make_host("desk", "desk", ["/accounts/7"]),
            self._make_host("accounts", "accounts", ["/ledger/7"]),
            *(self._make_host(name, "ledger", []) for name in _LEDGERS),
        ]
        policy = "budgeted" if controlled else "always"
        self.fleet = launcher.Fleet(
            self.hosts, f"[policy]\nretries = {policy}\n"
        )
        self._caller = caller.Caller(
            [host.caller_address for host in self.hosts],
            samples.NATIONAL_KEY,
        )

    def _make_host(
        self, name: str, service: str, sub_calls: list[str]
    ) -> launcher.Host:
        return launcher.make_host(
            name,
            "zone-a",
            service=service,
            sub_calls=sub_calls,
            sub_call_retries=_SUB_CALL_RETRIES,
            slots=50,
            service_ms=20.0,
            journal=str(self._folder / name),
        )

    async def run(self) -> list[figures.Figure]:
        """Runs both phases and returns the figures."""
        try:
            await self.fleet.start(samples.document())
            await self._wait_ready()
            retries = await self._count_retries()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._inject_faults)
                await pacing.at_rate(
                    _ENTRY_RATE_PER_S, _ENTRY_REQUESTS, self._send_entry
                )
        finally:
            await self._caller.close()
            await self.fleet.close()
        executions = self._count_executions()
        not_run_but_ran = sum(
            1
            for request_id, entry in self._entries.items()
            if entry.is_not_run and executions[request_id]
        )
        ran_twice = sum(
            1 for request_id in self._entries if executions[request_id] > 1
        )
        entries_by_outcome = collections.Counter(
            entry.outcomes[-1].split(";")[0] or "lost"
            for entry in self._entries.values()
        )
        suffix = "" if self._controlled else "_no_control"
        sense = (
            figures.Sense.AT_MOST if self._controlled else (figures.Sense.NONE)
        )
        return [
            figures.Figure(
                f"retries_max{suffix}", retries, "retries", sense, _MAX_RETRIES
            ),
            figures.Figure(
                f"not_run_but_ran{suffix}", not_run_but_ran, "requests", sense
            ),
            figures.Figure(f"ran_twice{suffix}", ran_twice, "requests", sense),
            *(
                figures.Figure(
                    f"entries_told_{outcome.replace('-', '_')}{suffix}",
                    count,
                    "requests",
                )
                for outcome, count in sorted(entries_by_outcome.items())
            ),
        ]

    async def _wait_ready(self) -> None:
        """Waits until all nodes serve the chain and reach all home nodes."""
        with trio.fail_after(_START_TIMEOUT_S):
            succeeded = 0
            while succeeded < 4 * len(self.hosts):
                chain = await self._caller.request("GET", "/desk/ready")
                entry = await self._caller.request(
                    "POST",
                    "/ledger/ready",
                    headers=(("idempotency-key", f"ready-{succeeded}"),),
                )
                ready = chain.status == 200 and entry.status == 200
                succeeded = succeeded + 1 if ready else 0
                if not ready:
                    await trio.sleep(0.1)

    async def _count_retries(self) -> int:
        """Returns the maximum retries of one request while all ledgers fail."""
        ledgers = [h for h in self.hosts if h.target.service == "ledger"]
        await self._set_behaviour(ledgers, {"fail": True})

        async def request(number: int) -> None:
            await self._caller.request(
                "GET", f"/desk/{number}", request_id=f"chain-{number}"
            )

        await pacing.at_rate(_CHAIN_RATE_PER_S, _CHAIN_REQUESTS, request)
        arrivals: dict[str, collections.Counter[str]] = {}
        for host in self.hosts:
            counters = await self.fleet.control(
                host.target.address, "/standin/counters"
            )
            counted = counters["arrivals"]
            assert isinstance(counted, dict)
            arrivals.setdefault(
                host.target.service, collections.Counter()
            ).update(counted)
        await self._set_behaviour(ledgers, {})
        return max(
            _retries(
                [
                    arrivals[service][f"chain-{number}"]
                    for service in ("desk", "accounts", "ledger")
                ]
            )
            for number in range(_CHAIN_REQUESTS)
        )

    async def _set_behaviour(
        self, hosts: list[launcher.Host], behaviour: dict[str, object]
    ) -> None:
        for host in hosts:
            await self.fleet.control(
                host.target.address, "/standin/behaviour", behaviour
            )

    async def _send_entry(self, number: int) -> None:
        """Sends an entry as its caller does; with control, half have a key."""
        request_id = f"entry-{number}"
        entry = _Entry([])
        self._entries[request_id] = entry
        has_key = self._controlled and number % 2 == 0
        headers = (("idempotency-key", request_id),) if has_key else ()
        for _ in range(_CALLER_ATTEMPTS):
            result = await self._caller.request(
                "POST", "/ledger/entry", b"entry", headers, request_id
            )
            entry.outcomes.append(result.outcome)
            if result.status == 200:
                return
            is_safe = has_key or result.outcome.startswith("not-run")
            if self._controlled and not is_safe:
                return
            await trio.sleep(0.1)

    async def _inject_faults(self) -> None:
        """Kills, restarts, suspends and resumes processes of the ledgers."""
        by_name = {host.name: host for host in self.hosts}
        names = list(_LEDGERS)
        self._random.shuffle(names)
        killed, suspended, node = (by_name[name] for name in names)
        for _ in range(2):
            await trio.sleep(0.8)
            await self.fleet.kill(f"target-{killed.name}")
            await trio.sleep(0.5)
            self.fleet.start_target(killed)
            await trio.sleep(0.8)
            self.fleet.signal(f"target-{suspended.name}", signal.SIGSTOP)
            await trio.sleep(1.2)
            self.fleet.signal(f"target-{suspended.name}", signal.SIGCONT)
            await trio.sleep(0.5)
            await self.fleet.kill(f"node-{node.name}")
            await trio.sleep(0.5)
            self.fleet.start_node(node)

    def _count_executions(self) -> collections.Counter[str]:
        executions: collections.Counter[str] = collections.Counter()
        for host in self.hosts:
            path = pathlib.Path(host.target.journal)
            if path.exists():
                executions.update(path.read_text(encoding="utf-8").split())
        return executions


def _retries(arrivals: list[int]) -> int:
    """Returns the number of retries from the arrivals at each depth of a chain.

    Every execution makes one first attempt at the next service, so arrivals
    beyond the number of upstream executions are retries.
    """
    total = max(0, arrivals[0] - 1)
    for upstream, downstream in itertools.pairwise(arrivals):
        total += max(0, downstream - upstream)
    return total


@figures.measurements.register("execution")
async def measure() -> list[figures.Figure]:
    """Measures a fleet with control of retries, and a baseline without."""
    results: list[figures.Figure] = []
    for controlled in (True, False):
        with tempfile.TemporaryDirectory(prefix="sassafras-") as folder:
            experiment = _Experiment(pathlib.Path(folder), controlled)
            results += await experiment.run()
    return results
