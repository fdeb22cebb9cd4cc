"""Cost of rate limits by number of nodes, organisations and messages."""

import functools

from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import limiters
from sassafras_policy.limits import token_escrow
from sassafras_policy.membership import roster as rosters
from sassafras_standins.capacity import slopes
from sassafras_wire.membership import rosters as roster_models
from sassafras_wire.peer import codec
from sassafras_wire.peer import models

_NODES = (175, 700, 2800)
_TARGET_NODES = 2800
_ORGANISATIONS = (65, 260, 520)
_TARGET_ORGANISATIONS = 520
_NODES_FOR_ORGANISATIONS = 100
_TOKEN_REQUESTS = (50, 100, 400)
_TARGET_TOKEN_REQUESTS_PER_S = 400


def _roster(nodes: int) -> rosters.Roster:
    return rosters.Roster(
        epoch=1,
        members=tuple(
            rosters.Member(
                f"10.{n // 65536}.{n // 256 % 256}.{n % 256}:7401",
                f"service-{n % 520}",
                1_700_000_000_000 + n,
            )
            for n in range(nodes)
        ),
    )


def _limiter(organisations: int, nodes: int) -> token_escrow.TokenEscrow:
    roster = _roster(nodes)
    limiter = token_escrow.TokenEscrow()
    limiter.configure(
        limiters.LimiterContext(
            organisations=tuple(
                documents.Organisation(f"organisation-{n}", 100.0, 100.0)
                for n in range(organisations)
            ),
            own_id=roster.node_ids[0],
            hosts=nodes,
            roster=roster,
            settled=True,
        ),
        0.0,
    )
    return limiter


def _exchange(requests: int) -> int:
    """Encodes and decodes token requests and grants; returns their bytes."""
    size = 0
    for number in range(requests):
        request = codec.encode(
            models.TokenRequestMessage(
                number=number, organisation="organisation-1", wanted=3.5
            )
        )
        grant = codec.encode(
            models.TokenGrant(
                number=number, granted=2.5, lifetime_ms=125.0, next_at_ms=10.0
            )
        )
        codec.decode(request, "capacity")
        codec.decode(grant, "capacity")
        size += len(request) + len(grant)
    return size


@slopes.slopes.register("limits")
def measure() -> list[slopes.Slope]:
    """Measures the roster, the shares and the token messages."""
    configure, roster_kb, memory, messages_kb, messages_cpu = [], [], [], [], []
    for nodes in _NODES:
        configure.append(
            slopes.Point(
                nodes,
                slopes.duration_ms(functools.partial(_limiter, 8, nodes), 2),
            )
        )
        encoded = roster_models.encode(_roster(nodes))
        roster_kb.append(slopes.Point(nodes, len(encoded) / 1000))
    for organisations in _ORGANISATIONS:
        build = functools.partial(
            _limiter, organisations, _NODES_FOR_ORGANISATIONS
        )
        memory.append(slopes.Point(organisations, slopes.memory_kb(build)))
    for requests in _TOKEN_REQUESTS:
        messages_kb.append(slopes.Point(requests, _exchange(requests) / 1000))
        messages_cpu.append(
            slopes.Point(
                requests,
                slopes.duration_ms(functools.partial(_exchange, requests), 2),
            )
        )
    by_node = functools.partial(
        slopes.Slope, per="node", target_size=_TARGET_NODES
    )
    by_token_request = functools.partial(
        slopes.Slope, per="ask", target_size=_TARGET_TOKEN_REQUESTS_PER_S
    )
    return [
        by_node(
            "roster and shares of 8 organisations",
            "ms",
            points=tuple(configure),
        ),
        by_node("roster, bytes", "kB", points=tuple(roster_kb)),
        slopes.Slope(
            "shares in a fleet of 100, memory",
            "kB",
            "organisation",
            tuple(memory),
            _TARGET_ORGANISATIONS,
        ),
        by_token_request(
            "token asks and grants, bytes", "kB", points=tuple(messages_kb)
        ),
        by_token_request(
            "token asks and grants, both ends, CPU",
            "ms",
            points=tuple(messages_cpu),
        ),
    ]
