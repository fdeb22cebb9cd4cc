"""Explains the reasons for which requests end, and what to look at next."""

from collections.abc import Callable

from sassafras_base import registry
from sassafras_cli.logs import lines

Explainer = Callable[[lines.Line, list[lines.Line]], str]

causes: registry.Registry[Explainer] = registry.Registry("cause")

_RATE_REFUSED = 821
_REQUEST_SHED = 822
_CALL_ENDED = 830


def explain(ended: lines.Line, events: list[lines.Line]) -> str:
    """Returns an explanation of how a request ended.

    Args:
      ended: Its `request_ended` line at the first node.
      events: All lines with its id.
    """
    reason = ended.text("reason") or ended.text("outcome")
    if reason not in causes:
        return f"ended with {reason!r}; docs/OPERATIONS.md tells of it"
    return causes.get(reason)(ended, events)


def _find_event(events: list[lines.Line], event: int) -> lines.Line | None:
    return next((line for line in events if line.event == event), None)


@causes.register("organisation-limit")
def _rate_exceeded(ended: lines.Line, events: list[lines.Line]) -> str:
    refused = _find_event(events, _RATE_REFUSED)
    if refused is None:
        return "the rate of its organisation was used up; no line says more"
    rate = float(refused.fields.get("rate_per_s", 0.0))
    demand = float(refused.fields.get("fleet_demand_per_s", 0.0))
    organisation = refused.text("organisation")
    if float(refused.fields.get("share_per_s", 0.0)) == 0.0:
        return (
            f"the pool with all of the {rate:g} requests a second of"
            f" {organisation} was empty or did not answer in time (failures of"
            " its link are events 1 of `limits:NODE`); the demand at other"
            " nodes is not known"
        )
    if demand > rate:
        return (
            f"{organisation} sent {demand:g} requests a second to the fleet and"
            f" pays for {rate:g}"
        )
    return (
        f"{organisation} sent {demand:g} of the {rate:g} requests a second that"
        " it pays for; the node that keeps its tokens may not have been"
        " reached (events 832, and events 1 of `limits:NODE`)"
    )


@causes.register("overload")
def _overloaded(ended: lines.Line, events: list[lines.Line]) -> str:
    refused = [line for line in events if line.event == _CALL_ENDED]
    shed = _find_event(events, _REQUEST_SHED)
    if shed is not None:
        return _describe_shed(shed)
    if not refused:
        return (
            f"service {ended.text('service')}, or one that it calls, had"
            " refused others; the first node sent this one nowhere"
        )
    refusing_nodes = ", ".join(
        f"{line.node} (load {line.text('load')}, rank {line.text('rank')},"
        f" level {line.text('admission_level')})"
        for line in refused
    )
    return f"no room at {refusing_nodes}"


def _describe_shed(shed: lines.Line) -> str:
    rank = int(shed.fields.get("rank", 0))
    if rank >= int(shed.fields.get("processor_level", 0)):
        return (
            f"the processor of {shed.node} was full (rank {rank}, level"
            f" {shed.text('processor_level')}, loop {shed.text('lag_ms')} ms"
            " late); the request was sent nowhere"
        )
    return (
        f"service {shed.text('service')}, or one that it calls, was overloaded"
        f" (rank {rank}, level {shed.text('service_level')}); the request was"
        " sent nowhere"
    )


@causes.register("no-configuration")
def _not_confirmed(ended: lines.Line, events: list[lines.Line]) -> str:
    del events
    return (
        "the node had no proof that its configuration was the newest for"
        f" {ended.text('confirmed_ms')} ms; see what it lost (events 842, 832)"
    )


@causes.register("no-target")
def _no_target_ready(ended: lines.Line, events: list[lines.Line]) -> str:
    del events
    return (
        f"no target of service {ended.text('service')} was ready; its"
        " announcements are events 810"
    )


@causes.register("cold-target")
def _all_targets_cold(ended: lines.Line, events: list[lines.Line]) -> str:
    del events
    return (
        f"the targets at {ended.text('nodes')} were cold and had their rate;"
        " when they became cold is event 814 of these nodes"
    )


@causes.register("evacuated-zone")
def _zone_evacuated(ended: lines.Line, events: list[lines.Line]) -> str:
    del events
    return (
        f"the zone of {ended.text('nodes')} was evacuated, which the first node"
        " did not know yet; see events 860 of both"
    )


@causes.register("deadline")
def _deadline_passed(ended: lines.Line, events: list[lines.Line]) -> str:
    at = ended.text("nodes") or "no node"
    refused = _find_event(events, _CALL_ENDED)
    load = f", whose load was {refused.text('load')}" if refused else ""
    return (
        f"its time was over after {ended.text('elapsed_ms')} ms; it was sent"
        f" to {at}{load}"
    )


@causes.register("connection-lost")
def _connection_lost(ended: lines.Line, events: list[lines.Line]) -> str:
    last = ended.text("nodes").rpartition(",")[2]
    if _find_event(events, _CALL_ENDED):
        return f"the target beside {last} broke the connection off"
    return f"the connection to {last} was lost, which may have gone away"


@causes.register("target-protocol")
def _invalid_response(ended: lines.Line, events: list[lines.Line]) -> str:
    del events
    last = ended.text("nodes").rpartition(",")[2]
    return f"the target beside {last} sent what is no whole answer of its own"


@causes.register("ran")
def _ran(ended: lines.Line, events: list[lines.Line]) -> str:
    del events
    last = ended.text("nodes").rpartition(",")[2]
    status = ended.text("status")
    if status.startswith("2"):
        return f"served by the target beside {last}"
    return (
        f"the target beside {last} answered {status} itself; look at the calls"
        " that it made for this request"
    )
