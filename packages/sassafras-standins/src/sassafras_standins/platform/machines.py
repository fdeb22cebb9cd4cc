"""Machines of the emulator: each has an address of its own on loopback."""

import dataclasses
import itertools
import os

from sassafras_standins.fleet import launcher
from sassafras_standins.platform import documents
from sassafras_standins.platform import endpoint

# Nodes serve metrics at a fixed port, so each emulator has a network of its
# own: two that shared addresses kept each other's nodes from starting.
_NETWORKS = 250
_FIRST_HOST = 2
_HOSTS = 250
# The node's internal ports are a range, so they come last.
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
    """A machine with its ports.

    Attributes:
      name: Name of the machine.
      zone: Its zone.
      ip: Its loopback address.
      service: Service of its endpoint.
      ports: Ports by `Outbound`, `Ready`, `Control`, `Internal` and `App`.
    """

    name: str
    zone: str
    ip: str
    service: str
    ports: dict[str, int]

    def address(self, port: str) -> str:
        """Returns `host:port` of one of its ports."""
        return f"{self.ip}:{self.ports[port]}"

    def boot_file(self, store_address: str) -> bytes:
        """Returns the settings file of its node."""
        return documents.boot_file(
            node=self.name,
            zone=self.zone,
            ip=self.ip,
            ports=self.ports,
            target_address=self.address("App"),
            service=self.service,
            store_address=store_address,
        )

    def endpoint_settings(self, **changes: object) -> endpoint.EndpointSettings:
        """Returns the settings of its endpoint, with changes."""
        settings = endpoint.EndpointSettings(
            address=self.address("App"),
            service=self.service,
            zone=self.zone,
            control_address=self.address("Control"),
            outbound_address=self.address("Outbound"),
        )
        return dataclasses.replace(settings, **changes)  # type: ignore[arg-type]


def make_machine(name: str, zone: str, service: str) -> Machine:
    """Returns a machine whose ports are free."""
    host = _FIRST_HOST + next(_next_host) % _HOSTS
    first = int(launcher.free_address().rpartition(":")[2])
    ports = {port: first + offset for port, offset in _PORT_OFFSETS.items()}
    network = os.getpid()
    ip = f"127.{1 + network % _NETWORKS}.{network // _NETWORKS % 256}.{host}"
    return Machine(name, zone, ip, service, ports)
