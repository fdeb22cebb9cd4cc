"""Encodes configurations and boot files in the platform's formats."""

import dataclasses
import json
from typing import Any

_ROUTE_COLUMNS = (
    "Name",
    "Host",
    "Prefix",
    "RouteType",
    "TimeoutMs",
    "TargetLatencyMs",
    "Priority",
    "WeightedBackends",
    "MaxAttempts",
    "Public",
    "Service",
)
_SERVICE_COLUMNS = ("Name", "ColdStartS", "ColdPerS")
_TENANT_COLUMNS = ("Name", "ApiKeys", "Priority", "RatePerS", "Burst")


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRow:
    """One row of the table of routes."""

    name: str
    host: str
    prefix: str
    service: str | None = None
    route_type: str = "safe"
    timeout_ms: int = 2000
    priority: int = 0
    weights: tuple[tuple[str, int], ...] = ()
    max_targets: int = 2
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TenantRow:
    """One row of the table of tenants."""

    name: str
    keys: tuple[str, ...]
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRow:
    """One row of the table of services."""

    name: str
    cold_start_s: float = 0.0
    cold_rate_per_s: float = 0.0


def configuration(
    version: int,
    routes: tuple[RouteRow, ...],
    tenants: tuple[TenantRow, ...] = (),
    services: tuple[ServiceRow, ...] = (),
    idle_timeout_ms: int = 15_000,
) -> bytes:
    """Returns the value of the configuration key in the store."""
    content: dict[str, Any] = {
        "Version": f"r{version}",
        "Routes": {
            "Columns": list(_ROUTE_COLUMNS),
            "Rows": [_encode_route(route) for route in routes],
        },
        "Services": {
            "Columns": list(_SERVICE_COLUMNS),
            "Rows": [
                [s.name, s.cold_start_s, s.cold_rate_per_s] for s in services
            ],
        },
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": idle_timeout_ms,
        },
    }
    if tenants:
        content["Tenants"] = {
            "Columns": list(_TENANT_COLUMNS),
            "Rows": [
                [t.name, list(t.keys), t.priority, t.rate_per_s, t.burst]
                for t in tenants
            ],
        }
    return json.dumps(content).encode()


def _encode_route(route: RouteRow) -> list[Any]:
    weights = [
        {"Service": service, "Weight": weight}
        for service, weight in route.weights
    ]
    return [
        route.name,
        route.host,
        route.prefix,
        route.route_type,
        route.timeout_ms,
        1000,
        route.priority,
        weights or None,
        route.max_targets,
        route.is_public,
        route.service,
    ]


def boot_file(
    *,
    node: str,
    zone: str,
    ip: str,
    ports: dict[str, int],
    target_address: str,
    service: str,
    store_address: str,
    zones: tuple[str, ...] = (),
    more_bounds: tuple[str, ...] = (),
    memory_mb: int = 300,
    descriptors: int = 4100,
) -> bytes:
    """Returns the boot file of a node.

    Args:
      node: Name of the machine.
      zone: Zone of the machine.
      ip: Address of the machine.
      ports: Ports by `Outbound`, `Ready`, `Control` and `Internal`.
      target_address: Listening address of the local endpoint.
      service: Service of the local endpoint.
      store_address: Address of the store.
      zones: All zones; only the node's own if empty.
      more_bounds: Bounds of the form `name=value` beside those of all sites.
      memory_mb: Memory limit of the process.
      descriptors: Limit on its open descriptors.
    """
    return json.dumps(
        {
            "Node": node,
            "Ip": ip,
            "Zone": zone,
            "Zones": dict.fromkeys(zones or (zone,), "region"),
            "ListenAddresses": {
                name: f"{ip}:{ports[name]}"
                for name in ("Outbound", "Ready", "Control")
            },
            "InternalPorts": [ports["Internal"], ports["Internal"] + 15],
            "Limits": {"MemoryMb": memory_mb, "MaxFds": descriptors},
            "HeartbeatMs": 500,
            "Bounds": [
                "ConfigApplyMs=2000",
                "RevokeMs=5000",
                "DrainMs=2000",
                "GraceS=6",
                "RetryBudgetRatio=0.2",
                "BudgetWindowS=10",
                "BudgetExtra=48",
                "QuotaOver=0.1",
                "QuotaSlack=20",
                *more_bounds,
            ],
            "AppAddress": target_address,
            "Service": service,
            "Provider": {"Address": store_address, "TtlMinMs": 1000},
        }
    ).encode()
