"""Checks for configurations with routes by host and path prefix."""

from collections.abc import Iterator

from sassafras_policy.configuration.checks import registry
from sassafras_policy.mesh import configuration


@registry.check("repeated-name", configuration.Configuration)
def find_repeated_names(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds entries of one kind and name, of which the last one counts."""
    content: configuration.Configuration = subject.content
    named = {
        "route": [route.name for route in content.routes],
        "service": [service.name for service in content.services],
        "organisation": [account.name for account in subject.accounts],
    }
    for kind, names in named.items():
        seen: set[str] = set()
        for position, name in enumerate(names):
            if name in seen:
                yield registry.Finding(
                    kind=kind,
                    name=name,
                    position=position,
                    field="name",
                    given=name,
                    problem=f"an earlier {kind} has this name",
                    advice="rename or remove one of them",
                )
            seen.add(name)


@registry.check("unreachable-prefix", configuration.Configuration)
def find_unreachable_prefixes(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds routes that no path selects.

    The longest prefix applies, so a broader route hides none; of routes with
    one host and prefix the last one applies.
    """
    content: configuration.Configuration = subject.content
    last = {
        (route.host.lower(), route.prefix): position
        for position, route in enumerate(content.routes)
    }
    for position, route in enumerate(content.routes):
        problem = ""
        advice = "change the prefix or remove the route"
        later = last[(route.host.lower(), route.prefix)]
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            problem = "never matches, because it has no slash at each end"
            advice = "begin and end the prefix with a slash"
        elif later != position:
            problem = (
                f"never matches, because the later route"
                f" {content.routes[later].name} has the same host and prefix"
            )
        if problem:
            yield registry.Finding(
                kind="route",
                name=route.name,
                position=position,
                field="prefix",
                given=route.prefix,
                problem=problem,
                advice=advice,
            )


@registry.check("route-without-service", configuration.Configuration)
def find_routes_without_service(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds routes that name no service with a weight above 0."""
    for position, route in enumerate(subject.content.routes):
        if any(not share.service for share in route.shares):
            yield registry.Finding(
                kind="route",
                name=route.name,
                position=position,
                field="shares",
                given=", ".join(str(share) for share in route.shares),
                problem="a service is missing, or no weight is above 0:"
                " requests find no target",
                advice="name a service with a weight above 0",
            )


@registry.check("repeated-share", configuration.Configuration)
def find_repeated_shares(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds routes with two weights for one service."""
    for position, route in enumerate(subject.content.routes):
        services = [share.service for share in route.shares]
        if len(set(services)) < len(services):
            yield registry.Finding(
                kind="route",
                name=route.name,
                position=position,
                field="shares",
                given=", ".join(str(share) for share in route.shares),
                problem="a service has two weights, which add up",
                advice="give each service one weight",
            )


@registry.check("target-latency-above-timeout", configuration.Configuration)
def find_target_latencies_above_timeouts(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds target latencies that only a request past its end exceeds."""
    for position, route in enumerate(subject.content.routes):
        if 0 < route.timeout_s < route.target_latency_s:
            yield registry.Finding(
                kind="route",
                name=route.name,
                position=position,
                field="target_latency_s",
                given=f"{route.target_latency_s:g} s",
                problem=f"above the time-out of the route, {route.timeout_s:g}"
                " s: every response in time is within it",
                advice="lower the target latency or raise the time-out",
            )


@registry.check("unused-service-statement", configuration.Configuration)
def find_unused_service_statements(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds statements about services that no route names."""
    content: configuration.Configuration = subject.content
    used = {share.service for route in content.routes for share in route.shares}
    for position, service in enumerate(content.services):
        if service.name not in used:
            yield registry.Finding(
                kind="service",
                name=service.name,
                position=position,
                field="name",
                given=service.name,
                problem="no route leads to this service",
                advice="add a route to the service or remove it",
            )


@registry.check("half-cold-limit", configuration.Configuration)
def find_half_cold_limits(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds cold starts without a rate and cold rates without a time."""
    for position, service in enumerate(subject.content.services):
        given, missing = "cold_start_s", "cold_rate_per_s"
        if service.cold_rate_per_s:
            given, missing = missing, given
        if bool(service.cold_start_s) == bool(service.cold_rate_per_s):
            continue
        yield registry.Finding(
            kind="service",
            name=service.name,
            position=position,
            field=given,
            given=f"{getattr(service, given):g}",
            problem="has no effect without the other limit of cold targets",
            advice="state both or none",
        )


@registry.check("organisation-without-key", configuration.Configuration)
def find_organisations_without_keys(
    subject: registry.Subject,
) -> Iterator[registry.Finding]:
    """Finds organisations that no request belongs to."""
    for position, account in enumerate(subject.accounts):
        if not account.keys:
            yield registry.Finding(
                kind="organisation",
                name=account.name,
                position=position,
                field="keys",
                given="",
                problem="has no key, so its rate and priority apply to no"
                " request",
                advice="add a key or remove the organisation",
            )
