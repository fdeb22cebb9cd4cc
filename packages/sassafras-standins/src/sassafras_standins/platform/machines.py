"""Emulated machines, each with its own loopback address and ports."""

import dataclasses
import itertools
import os

from sassafras_standins.fleet import launcher
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint

# Nodes serve metrics at a fixed port, so each emulator process uses its own
# network: when two shared addresses, their nodes failed to bind that port.
_NETWORKS = 250
_FIRST_HOST = 2
_HOSTS_PER_NETWORK = 250
# The internal ports are a range, so they come last.
_PORT_OFFSETS = {
    "Outbound": 0,
    "Ready": 1,
    "Control": 2,
    "App": 3,
    "Internal": 4,
}
_next_host = itertools.count()


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """A machine with one node and one endpoint.

    Attributes:
      name: Name of the machine.
      zone: Zone of the machine.
      ip: Loopback address of the machine.
      service: Service of its endpoint.
      ports: Ports by `Outbound`, `Ready`, `Control`, `Internal` and `App`.
      zones: All zones of the site; only its own if empty.
      more_bounds: Bounds of the site beside those of all sites.
      memory_mb: Memory limit of the node.
      descriptors: Limit on the open descriptors of the node.
    """

    name: str
    zone: str
    ip: str
    service: str
    ports: dict[str, int]
    zones: tuple[str, ...] = ()
    more_bounds: tuple[str, ...] = ()
    memory_mb: int = 300
    descriptors: int = 4100

    def address(self, port: str) -> str:
        """Returns `host:port` for one of the names in `ports`."""
        return f"{self.ip}:{self.ports[port]}"

    def boot_file(self, store_address: str) -> bytes:
        """Returns the boot file of its node."""
        return documents.boot_file(
            node=self.name,
            zone=self.zone,
            ip=self.ip,
            ports=self.ports,
            target_address=self.address("App"),
            service=self.service,
            store_address=store_address,
            zones=self.zones,
            more_bounds=self.more_bounds,
            memory_mb=self.memory_mb,
            descriptors=self.descriptors,
        )

    def endpoint_settings(self, **changes: object) -> endpoint.EndpointSettings:
        """Returns the settings of its endpoint, with some fields replaced."""
        settings = endpoint.EndpointSettings(
            address=self.address("App"),
            service=self.service,
            zone=self.zone,
            control_address=self.address("Control"),
            outbound_address=self.address("Outbound"),
        )
        return dataclasses.replace(settings, **changes)  # type: ignore[arg-type]


def make_machine(
    name: str,
    zone: str,
    service: str,
    zones: tuple[str, ...] = (),
    more_bounds: tuple[str, ...] = (),
) -> Machine:
    """Returns a machine with its own address and free ports."""
    host = _FIRST_HOST + next(_next_host) % _HOSTS_PER_NETWORK
    first = int(launcher.free_address().rpartition(":")[2])
    ports = {port: first + offset for port, offset in _PORT_OFFSETS.items()}
    process = os.getpid()
    ip = f"127.{1 + process % _NETWORKS}.{process // _NETWORKS % 256}.{host}"
    return Machine(name, zone, ip, service, ports, zones, more_bounds)
