"""Checks for limits that contradict each other or the deployment."""

from collections.abc import Iterator

from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration.checks import registry
from sassafras_policy.mesh import configuration

# The span over which a rate is compared with a burst and with slots. Rates are
# sold a second, and the burst must bear requests that arrive unevenly in it.
_SPAN_S = 1.0


@registry.check(
    "burst-below-rate", documents.Document, configuration.Configuration
)
def find_small_bursts(subject: registry.Subject) -> Iterator[registry.Finding]:
    """Finds bursts below what one second of the rate needs."""
    for position, account in enumerate(subject.accounts):
        needed = account.rate_per_s * _SPAN_S
        if account.burst < needed:
            yield registry.Finding(
                kind="organisation",
                name=account.name,
                position=position,
                field="burst",
                given=f"{account.burst:g}",
                problem=f"below one second of the rate, {needed:g}: requests"
                " within the rate are refused when they arrive unevenly",
                advice=f"raise the burst to {needed:g} or lower the rate",
            )


@registry.check("rates-above-slots", level=registry.Level.NOTE)
def find_rates_above_slots(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds rates that need more slots than the deployment has.

    A call is taken to last one second, since the configuration does not state
    how long calls run; the finding gives the time that the rates leave. Without
    the slots of every service with a route, nothing is known. Announced slots
    go before stated ones.
    """
    services = {route.service for route in subject.content.routes}
    known = subject.slots
    if subject.announced_slots is not None:
        known = subject.announced_slots
    if not services or not services <= known.keys():
        return
    slots = sum(known[name] for name in services)
    rate = sum(o.rate_per_s for o in subject.accounts)
    if rate * _SPAN_S > slots:
        yield registry.Finding(
            kind="organisation",
            name="*",
            position=registry.NO_POSITION,
            field="rate_per_s",
            given=f"{rate:g}",
            problem=f"the rates of all organisations together exceed the"
            f" {slots} slots of all services: calls may take"
            f" {slots / rate * 1000:.0f} ms on average",
            advice="lower rates or add targets, unless calls are that short",
        )


@registry.check("latency-above-deadline")
def find_latencies_above_deadlines(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds objectives whose latency no response can exceed."""
    longest: dict[str, int] = {}
    for route in subject.content.routes:
        longest[route.service] = max(
            longest.get(route.service, 0), route.deadline_ms
        )
    for position, objective in enumerate(subject.content.objectives):
        deadline = longest.get(objective.service)
        if deadline is not None and objective.latency_ms > deadline:
            yield registry.Finding(
                kind="objective",
                name=f"{objective.service} {objective.organisation}",
                position=position,
                field="latency_ms",
                given=str(objective.latency_ms),
                problem=f"above {deadline} ms, the longest deadline of the"
                " service's routes, so no success counts as too slow",
                advice="lower the latency or raise a deadline",
            )
