"""Goodput and recovery of a call chain whose deepest service is overloaded.

A fleet of two desks, two accounts and two ledgers serves a chain of depth 3.
Each request needs two calls to the ledger, so a request that fails after the
first wastes ledger time. The ledger is the bottleneck by far, and its service
time is long compared with the CPU time of a call, so the measurement shows
overload control and not CPU. At half speed the ledgers serve 40 whole
requests/s; the figures use this as the capacity.

`SASSAFRAS_MEASURE_ADMISSION` selects another admission policy for comparison.
"""

from collections.abc import Callable
import dataclasses
import os
import random

import trio

from sassafras_policy.calls import messages
from sassafras_policy.configuration import document as documents
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller
from sassafras_standins.measure import figures

_SEED = 20
_CAPACITY_PER_S = 40.0
_LEDGER_SLOTS = 8
_LEDGER_SERVICE_MS = 100.0
_SLOW_FACTOR = 2
_DEADLINE_MS = 1500

_STEADY_PER_S = 30.0
_LODGEMENTS_PER_S = 10.0
_BEFORE_S = 5.0
_SURGE_S = 20.0
_AFTER_S = 10.0
_WINDOW_S = 1.0
_STEP_S = 0.25
_RECOVERED_RATIO = 0.95

# Callers wait for responses, which limits the requests in flight.
_MAX_OUTSTANDING = 400

_STATUS_CHECK = messages.Request("GET", "/desk/1", (), b"")
_LODGEMENT = messages.Request("POST", "/desk/1", (), b"cheque")


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One request, as its caller sees it.

    Attributes:
      kind: HTTP method, which determines the class.
      sent: Time of sending, in seconds since the start of the run.
      ended: Time of the response, in seconds since the start of the run.
      success: Whether it got a response with status 200.
    """

    kind: str
    sent: float
    ended: float
    success: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """All requests of a run, and the start and end time of its surge."""

    samples: list[Sample]
    surge_from: float
    surge_to: float

    @property
    def goodput(self) -> float:
        """Requests that succeeded in the surge, in percent of the capacity."""
        completed = sum(
            sample.success and self.surge_from <= sample.ended < self.surge_to
            for sample in self.samples
        )
        span_s = self.surge_to - self.surge_from
        return 100.0 * completed / span_s / _CAPACITY_PER_S

    @property
    def recovery_s(self) -> float:
        """Time from the end of the surge until all windows have recovered.

        A window has recovered if its ratio of successes is at least
        `_RECOVERED_RATIO` times the ratio before the surge. It counts the
        requests that were sent in it.
        """
        before = self._success_ratio(1.0, self.surge_from - _WINDOW_S)
        recovered = 0.0
        start = self.surge_to
        while start + _WINDOW_S <= self.surge_to + _AFTER_S:
            ratio = self._success_ratio(start, start + _WINDOW_S)
            if ratio < _RECOVERED_RATIO * before:
                recovered = start + _STEP_S - self.surge_to
            start += _STEP_S
        return recovered

    def success_percent(self, kind: str) -> float:
        """Returns the success rate of requests of a kind in the surge."""
        successes = [
            sample.success
            for sample in self.samples
            if sample.kind == kind
            and self.surge_from <= sample.sent < self.surge_to
        ]
        return 100.0 * sum(successes) / max(1, len(successes))

    def _success_ratio(self, start: float, end: float) -> float:
        successes = [s.success for s in self.samples if start <= s.sent < end]
        return sum(successes) / max(1, len(successes))


class Load:
    """Open-loop load: sends requests without waiting for earlier responses."""

    def __init__(self, bank: caller.Caller, retries: int) -> None:
        self.samples: list[Sample] = []
        self._bank = bank
        self._retries = retries
        self._started_at = trio.current_time()
        self._outstanding = 0

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return trio.current_time() - self._started_at

    async def offer(
        self, request: messages.Request, rate_per_s: float, span_s: float
    ) -> None:
        """Sends requests at random times, then waits for the last responses."""
        rng = random.Random(f"{_SEED} {request.method} {rate_per_s}")
        end = self.now + span_s
        at = self.now
        async with trio.open_nursery() as nursery:
            while True:
                at += rng.expovariate(rate_per_s)
                if at >= end:
                    break
                await trio.sleep(max(0.0, at - self.now))
                nursery.start_soon(self._send, request)
            await trio.sleep(max(0.0, end - self.now))

    async def _send(self, request: messages.Request) -> None:
        sent = self.now
        success = False
        if self._outstanding < _MAX_OUTSTANDING:
            self._outstanding += 1
            try:
                for _ in range(self._retries + 1):
                    result = await self._bank.request(
                        request.method, request.path, request.body
                    )
                    success = result.status == 200
                    if success:
                        break
            finally:
                self._outstanding -= 1
        self.samples.append(Sample(request.method, sent, self.now, success))


def _document() -> documents.Document:
    base = samples.document(rate_per_s=10_000.0, burst=10_000.0)
    return dataclasses.replace(
        base,
        routes=tuple(
            dataclasses.replace(route, deadline_ms=_DEADLINE_MS)
            for route in base.routes
        ),
    )


def _hosts() -> list[launcher.Host]:
    hosts = []
    for number, zone in enumerate(("zone-a", "zone-b"), 1):
        hosts += [
            launcher.make_host(
                f"desk-{number}",
                zone,
                service="desk",
                slots=64,
                connections=128,
                service_ms=20.0,
                sub_calls=["/accounts/1"],
            ),
            launcher.make_host(
                f"accounts-{number}",
                zone,
                service="accounts",
                slots=64,
                connections=128,
                service_ms=20.0,
                sub_calls=["/ledger/1", "/ledger/2"],
            ),
            launcher.make_host(
                f"ledger-{number}",
                zone,
                service="ledger",
                slots=_LEDGER_SLOTS,
                connections=256,
                service_ms=_LEDGER_SERVICE_MS,
            ),
        ]
    return hosts


async def _set_ledger_behaviour(
    fleet: launcher.Fleet, behaviour: dict[str, object]
) -> None:
    for host in fleet.hosts:
        if host.target.service == "ledger":
            await fleet.control(
                host.target.address, "/standin/behaviour", behaviour
            )


async def _surge(
    admission: str, rate_per_s: float, retries: int, lodgements: bool
) -> Run:
    """Measures a fleet before, during and after a surge."""
    fleet = launcher.Fleet(_hosts(), f"[policy]\nadmission = {admission}\n")
    addresses = [host.caller_address for host in fleet.hosts]
    bank = caller.Caller(addresses, samples.NATIONAL_KEY)
    key = (("authorization", f"Bearer {samples.NATIONAL_KEY}"),)
    try:
        await fleet.start(_document())
        for address in addresses:
            await launcher.wait_until_serving(
                address, dataclasses.replace(_STATUS_CHECK, headers=key)
            )
        load = Load(bank, retries)
        await load.offer(_STATUS_CHECK, _STEADY_PER_S, _BEFORE_S)
        await _set_ledger_behaviour(fleet, {"slow": _SLOW_FACTOR})
        surge_from = load.now
        surge_to = surge_from + _SURGE_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.offer, _STATUS_CHECK, rate_per_s, _SURGE_S)
            if lodgements:
                nursery.start_soon(
                    load.offer, _LODGEMENT, _LODGEMENTS_PER_S, _SURGE_S
                )
            await trio.sleep(surge_to - load.now)
            await _set_ledger_behaviour(fleet, {})
            nursery.start_soon(
                load.offer, _STATUS_CHECK, _STEADY_PER_S, _AFTER_S
            )
        return Run(load.samples, surge_from, surge_to)
    finally:
        await bank.close()
        await fleet.close()


# Several figures use the same run.
_runs_by_name: dict[str, Run] = {}
_CONDITIONS: dict[str, Callable[[str], tuple[str, float, int, bool]]] = {
    "2x": lambda policy: (policy, 2 * _CAPACITY_PER_S, 0, False),
    "5x_retries": lambda policy: (policy, 5 * _CAPACITY_PER_S, 3, False),
    "5x_no_control": lambda _: ("unlimited", 5 * _CAPACITY_PER_S, 3, False),
    "2x_status": lambda policy: (policy, 2 * _CAPACITY_PER_S, 0, True),
}


async def _run(name: str) -> Run:
    if name not in _runs_by_name:
        policy = os.environ.get("SASSAFRAS_MEASURE_ADMISSION", "adaptive")
        _runs_by_name[name] = await _surge(*_CONDITIONS[name](policy))
    return _runs_by_name[name]


@figures.measurements.register("goodput_2x")
async def measure_goodput_2x() -> list[figures.Figure]:
    """Measures goodput at twice the capacity."""
    run = await _run("2x")
    return [
        figures.Figure(
            "goodput_2x", run.goodput, "%", figures.Sense.AT_LEAST, 90.0
        )
    ]


@figures.measurements.register("goodput_5x_retries")
async def measure_goodput_5x_retries() -> list[figures.Figure]:
    """Measures goodput at five times the capacity, with callers that retry."""
    run = await _run("5x_retries")
    return [
        figures.Figure(
            "goodput_5x_retries", run.goodput, "%", figures.Sense.AT_LEAST, 80.0
        )
    ]


@figures.measurements.register("goodput_5x_no_control")
async def measure_goodput_5x_no_control() -> list[figures.Figure]:
    """Measures the same load without overload control, for comparison."""
    run = await _run("5x_no_control")
    return [figures.Figure("goodput_5x_no_control", run.goodput, "%")]


@figures.measurements.register("recovery_s")
async def measure_recovery() -> list[figures.Figure]:
    """Measures how long requests fail after the end of a surge."""
    return [
        figures.Figure(
            f"recovery_s_{name}",
            (await _run(name)).recovery_s,
            "s",
            figures.Sense.AT_MOST,
            5.0,
        )
        for name in ("2x", "5x_retries")
    ]


@figures.measurements.register("unsafe_success_2x")
async def measure_unsafe_success() -> list[figures.Figure]:
    """Measures successes of at-most-once calls in a surge of status checks."""
    run = await _run("2x_status")
    return [
        figures.Figure(
            "unsafe_success_2x",
            run.success_percent(_LODGEMENT.method),
            "%",
            figures.Sense.AT_LEAST,
            99.0,
        )
    ]
