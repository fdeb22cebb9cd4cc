"""Cost of membership by number of nodes."""

import functools

from sassafras_base import hashing
from sassafras_policy.membership import records
from sassafras_policy.membership import table as tables
from sassafras_standins.capacity import slopes
from sassafras_wire.peer import codec
from sassafras_wire.peer import converters
from sassafras_wire.peer import models

_SIZES = (175, 700, 2800)
_TARGET_NODES = 2800
_SERVICES = 520


def record(number: int) -> records.NodeRecord:
    """Returns the record of the node with a number."""
    host = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
    return records.NodeRecord(
        node_id=f"{host}:7401",
        availability_zone=f"zone-{number % 21}",
        incarnation=1_700_000_000_000 + number,
        version=3,
        status=records.Status.ALIVE,
        caller_address=f"{host}:7400",
        service=f"service-{number % _SERVICES}",
        target_address=f"{host}:8080",
        target_state=records.TargetState.SERVING,
        slots=100,
        config_revision=1,
        roster_epoch=1,
    )


def table(size: int) -> tables.MembershipTable:
    """Returns a membership table with the given number of nodes."""
    result = tables.MembershipTable(record(0))
    result.merge(record(number) for number in range(1, size))
    return result


@slopes.slopes.register("membership")
def measure() -> list[slopes.Slope]:
    """Measures the table, two look-ups in it and an exchange of all records."""
    memory, choose, ring, exchange, size_kb = [], [], [], [], []
    for size in _SIZES:
        built = table(size)
        memory.append(
            slopes.Point(size, slopes.memory_kb(functools.partial(table, size)))
        )
        choose.append(
            slopes.Point(
                size,
                slopes.duration_ms(
                    functools.partial(built.serving, "service-7")
                ),
            )
        )
        ring.append(
            slopes.Point(
                size,
                slopes.duration_ms(functools.partial(_ring, built)),
            )
        )
        exchange.append(
            slopes.Point(
                size,
                slopes.duration_ms(functools.partial(_encode, built), 2),
            )
        )
        size_kb.append(slopes.Point(size, len(_encode(built)) / 1000))
    make = functools.partial(
        slopes.Slope, per="node", target_size=_TARGET_NODES
    )
    return [
        make("membership table, memory", "kB", points=tuple(memory)),
        make("targets of one service, CPU", "ms", points=tuple(choose)),
        make("ring of neighbours, CPU", "ms", points=tuple(ring)),
        make("all records on one link, CPU", "ms", points=tuple(exchange)),
        make("all records on one link, bytes", "kB", points=tuple(size_kb)),
    ]


def _encode(built: tables.MembershipTable) -> bytes:
    return codec.encode(
        models.Heartbeat(
            node_id=built.own_id,
            config_revision=1,
            changes=[converters.record_to_model(item) for item in built.all],
        )
    )


def _ring(built: tables.MembershipTable) -> list[records.NodeRecord]:
    return sorted(
        built.peers, key=lambda peer: hashing.stable_hash(peer.node_id)
    )
