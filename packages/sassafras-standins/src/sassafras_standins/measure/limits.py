"""Measures how limiters keep the rates of organisations over all hosts.

Each limiter gets its own fleet. Each organisation has its own load pattern, so
all patterns are measured at the same time; they are the rows of the table in
docs/design.md. Each phase is a state of the fleet.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import signal

import trio

from sassafras_base import hashing
from sassafras_policy.configuration import document as documents
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.load import caller
from sassafras_standins.load import rate_bounds
from sassafras_standins.measure import figures

HOSTS = 6
ZONES = 2
RATE_PER_S = 40.0
BURST = 40.0
LOAD = 0.95
STEADY_S = 10.0
# The design states 10 minutes; neither limiter uses the store for a request,
# so a longer outage changes nothing that a caller sees.
STORE_DOWN_S = 8.0
FAULTS_S = 10.0
PAUSE_S = 3.0
_BUCKET_FILL_S = 3.0
_BURST_S = 3.0
_READY_TIMEOUT_S = 30.0

HostChoice = Callable[[float, int], int]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPattern:
    """The load pattern of one organisation.

    Attributes:
      name: Name of the organisation.
      load: Rate of its requests, as a multiple of its allowed rate.
      choose_host: Returns the index of the host for the time and number of
        a request.
    """

    name: str
    load: float
    choose_host: HostChoice


LOAD_PATTERNS = (
    LoadPattern("even", LOAD, lambda at, number: number % HOSTS),
    LoadPattern("one-host", LOAD, lambda at, number: 2),
    LoadPattern("two-hosts", LOAD, lambda at, number: (1, 4)[number % 2]),
    LoadPattern("moving", LOAD, lambda at, number: int(at) % HOSTS),
    LoadPattern("over-rate", 5.0, lambda at, number: number % HOSTS),
)
STEADY = ("even", "one-host", "two-hosts")


@dataclasses.dataclass(slots=True)
class PatternResult:
    """The requests of one pattern in one phase.

    Attributes:
      statuses: Status of each response; 0 if the connection was lost.
      admitted: Times of sending and of the response of each admitted request.
    """

    statuses: list[int] = dataclasses.field(default_factory=list)
    admitted: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )

    @property
    def refused_part(self) -> float:
        """Fraction of the requests that were rejected with 429."""
        return self.statuses.count(429) / max(1, len(self.statuses))


Phase = dict[str, PatternResult]


@figures.measurements.register("limits")
async def measure() -> list[figures.Figure]:
    """Measures the default limiter and the static share."""
    return [
        *await _measure("token-escrow", ""),
        *await _measure("static-share", "_static_share"),
    ]


async def _measure(limiter: str, suffix: str) -> list[figures.Figure]:
    hosts = [
        launcher.make_host(f"desk-{n}", f"zone-{n % ZONES}", service="desk")
        for n in range(HOSTS)
    ]
    fleet = launcher.Fleet(hosts, f"[policy]\nlimiter = {limiter}\n")
    addresses = [host.caller_address for host in hosts]
    try:
        await fleet.start(_document(1, RATE_PER_S))
        await _wait_ready(addresses)
        await trio.sleep(_BUCKET_FILL_S)
        steady = await _run_phase(addresses, STEADY_S)
        await _set_store(fleet, "down")
        store_down = await _run_phase(addresses, STORE_DOWN_S)
        await _set_store(fleet, "normal")
        faults = await _run_phase(
            addresses, FAULTS_S, lambda: _inject_faults(fleet, hosts)
        )
    finally:
        await fleet.close()
    return _figures(suffix, steady, store_down, faults)


def _document(revision: int, rate_per_s: float) -> documents.Document:
    return dataclasses.replace(
        samples.document(revision),
        organisations=tuple(
            documents.Organisation(
                pattern.name,
                rate_per_s,
                BURST,
                (documents.Key("main", hashing.digest(_key(pattern))),),
            )
            for pattern in LOAD_PATTERNS
        ),
    )


def _key(pattern: LoadPattern) -> str:
    return f"key-of-{pattern.name}"


async def _wait_ready(addresses: list[str]) -> None:
    """Waits until every node admits requests of every organisation."""
    with trio.fail_after(_READY_TIMEOUT_S):
        for pattern in LOAD_PATTERNS:
            for address in addresses:
                probe = caller.Caller([address], _key(pattern))
                while (await probe.request("GET", "/desk/1")).status != 200:
                    await trio.sleep(0.1)
                await probe.close()


async def _run_phase(
    addresses: list[str],
    duration_s: float,
    background: Callable[[], Awaitable[None]] | None = None,
) -> Phase:
    phase: Phase = {pattern.name: PatternResult() for pattern in LOAD_PATTERNS}
    async with trio.open_nursery() as nursery:
        if background is not None:
            nursery.start_soon(background)
        for pattern in LOAD_PATTERNS:
            nursery.start_soon(
                _send_pattern,
                pattern,
                addresses,
                duration_s,
                phase[pattern.name],
            )
    return phase


async def _send_pattern(
    pattern: LoadPattern,
    addresses: list[str],
    duration_s: float,
    sent: PatternResult,
) -> None:
    callers = [caller.Caller([address], _key(pattern)) for address in addresses]
    start = trio.current_time()
    interval_s = 1 / (RATE_PER_S * pattern.load)
    async with trio.open_nursery() as nursery:
        for number in range(int(duration_s / interval_s)):
            at = number * interval_s
            await trio.sleep_until(start + at)
            nursery.start_soon(
                _send_one, callers[pattern.choose_host(at, number)], sent
            )
    for one in callers:
        await one.close()


async def _send_one(sender: caller.Caller, sent: PatternResult) -> None:
    started = trio.current_time()
    result = await sender.request("GET", "/desk/1")
    sent.statuses.append(result.status)
    if result.status == 200:
        sent.admitted.append((started, trio.current_time()))


async def _set_store(fleet: launcher.Fleet, mode: str) -> None:
    await fleet.control(fleet.store_address, "/standin/faults", {"mode": mode})


async def _inject_faults(
    fleet: launcher.Fleet, hosts: list[launcher.Host]
) -> None:
    """Pauses a node, restarts another and changes the rate."""
    fleet.signal("node-desk-1", signal.SIGSTOP)
    await fleet.kill("node-desk-2")
    await trio.sleep(0.5)
    fleet.start_node(hosts[2])
    await trio.sleep(PAUSE_S - 0.5)
    fleet.signal("node-desk-1", signal.SIGCONT)
    await trio.sleep(1.0)
    await fleet.write_configuration(_document(2, RATE_PER_S / 2))
    await trio.sleep(3.0)
    await fleet.write_configuration(_document(3, RATE_PER_S))


def _figures(
    suffix: str, steady: Phase, store_down: Phase, faults: Phase
) -> list[figures.Figure]:
    at_most, at_least = figures.Sense.AT_MOST, figures.Sense.AT_LEAST
    phases = (steady, store_down, faults)
    over_rate = max(
        rate_bounds.worst_ratio(
            [span for phase in phases for span in phase[pattern.name].admitted],
            RATE_PER_S,
            BURST,
        )
        for pattern in LOAD_PATTERNS
    )
    wrongful_steady = max(steady[name].refused_part for name in STEADY)
    wrongful_down = max(
        store_down[pattern.name].refused_part
        for pattern in LOAD_PATTERNS
        if pattern.load < 1
    )
    other = sum(
        status not in (200, 429)
        for phase in (steady, store_down)
        for sent in phase.values()
        for status in sent.statuses
    )
    figure = figures.Figure
    return [
        figure(f"over_rate_max{suffix}", over_rate, "ratio", at_most, 1.0),
        figure(
            f"wrongful_steady{suffix}", wrongful_steady, "part", at_most, 0.01
        ),
        figure(
            f"wrongful_moving{suffix}",
            steady["moving"].refused_part,
            "part",
            at_most,
            0.02,
        ),
        figure(
            f"wrongful_store_down{suffix}", wrongful_down, "part", at_most, 0.02
        ),
        figure(
            f"worst_org_share{suffix}",
            _worst_share(steady),
            "part",
            at_least,
            0.99,
        ),
        figure(f"limits_other_failures{suffix}", float(other), "requests"),
    ]


def _worst_share(phase: Phase) -> float:
    """Returns the minimum, over organisations, of admitted to due requests.

    An organisation above its rate is due that rate. The time in which it uses
    up its burst is excluded, since the burst would hide lost tokens.
    """
    shares = []
    for pattern in LOAD_PATTERNS:
        sent = phase[pattern.name]
        if pattern.load < 1:
            shares.append(len(sent.admitted) / len(sent.statuses))
            continue
        end = max(answered for _, answered in sent.admitted)
        start = end - STEADY_S + _BURST_S
        count = sum(answered > start for _, answered in sent.admitted)
        shares.append(count / (RATE_PER_S * (end - start)))
    return min(shares)
