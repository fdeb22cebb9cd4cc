"""Cost of the configuration by number of services."""

import functools

from sassafras_base import hashing
from sassafras_policy.configuration import document as documents
from sassafras_policy.configuration import indexes
from sassafras_standins.capacity import slopes
from sassafras_wire.configuration import models

_SIZES = (65, 260, 520)
_TARGET_SERVICES = 520
_ROUTES_PER_SERVICE = 4
_KEYS_PER_ORGANISATION = 2
_DEPTH = 10


def document(services: int) -> documents.Document:
    """Returns a configuration with the given number of services.

    It has four routes for each service, and as many organisations as
    services, with two keys each. Call chains are up to ten services deep.
    """
    layer = max(1, services // _DEPTH)
    return documents.Document(
        revision=1,
        classes=("settlement", "lodgement", "lookup", "status"),
        services=tuple(
            documents.Service(
                f"service-{n}",
                tuple(
                    f"service-{m}"
                    for m in range(n + layer, n + layer + 2)
                    if m < services
                ),
            )
            for n in range(services)
        ),
        routes=tuple(
            documents.Route(
                f"service-{n}", "GET", f"/service-{n}/kind-{r}/*", "status"
            )
            for n in range(services)
            for r in range(_ROUTES_PER_SERVICE)
        ),
        organisations=tuple(
            documents.Organisation(
                f"organisation-{n}",
                100.0,
                100.0,
                tuple(
                    documents.Key(f"key-{k}", hashing.digest(f"{n}-{k}"))
                    for k in range(_KEYS_PER_ORGANISATION)
                ),
            )
            for n in range(services)
        ),
    )


@slopes.slopes.register("configuration")
def measure() -> list[slopes.Slope]:
    """Measures the encoded size, decoding, indexing and memory."""
    size_kb, decode, index, memory = [], [], [], []
    for size in _SIZES:
        built = document(size)
        encoded = models.encode(built)
        size_kb.append(slopes.Point(size, len(encoded) / 1000))
        decode.append(
            slopes.Point(
                size,
                slopes.duration_ms(
                    functools.partial(models.decode, encoded, "capacity")
                ),
            )
        )
        index.append(
            slopes.Point(
                size,
                slopes.duration_ms(functools.partial(indexes.Index, built), 2),
            )
        )
        memory.append(
            slopes.Point(
                size,
                slopes.memory_kb(functools.partial(_load, encoded)),
            )
        )
    make = functools.partial(
        slopes.Slope, per="service", target_size=_TARGET_SERVICES
    )
    return [
        make("configuration, bytes", "kB", points=tuple(size_kb)),
        make("configuration, decode and check", "ms", points=tuple(decode)),
        make("configuration, indexes", "ms", points=tuple(index)),
        make("configuration and indexes, memory", "kB", points=tuple(memory)),
    ]


def _load(encoded: bytes) -> indexes.Index:
    return indexes.Index(models.decode(encoded, "capacity"))
