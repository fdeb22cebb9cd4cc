"""Starts and stops the processes of a fleet on loopback."""

from collections.abc import Iterator
import dataclasses
import itertools
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile

import trio

from sassafras_base import errors
from sassafras_base import hashing
from sassafras_policy.calls import messages
from sassafras_policy.configuration import document as documents
from sassafras_standins.target import settings as target_settings
from sassafras_wire.configuration import models as configuration_models
from sassafras_wire.http import client as http_client
from sassafras_wire.settings import node as node_settings
from sassafras_wire.store import client as store_client

_HOST = "127.0.0.1"
_FIRST_PORT = 10_240
_PORT_COUNT = 22_000
_PORTS_PER_PROCESS = 200
_POLL_S = 0.05
_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0
_BODY_LIMIT = 4 * 1024 * 1024
_CREDENTIAL = "a-credential-for-loopback-fleets-only"
OPERATOR = "demo-operator"

CONFIGURATION_KEY = "/sassafras/config"


def _candidate_ports() -> Iterator[int]:
    """Yields ports, from an offset that depends on the process id."""
    first = os.getpid() * _PORTS_PER_PROCESS
    for offset in itertools.count():
        yield _FIRST_PORT + (first + offset) % _PORT_COUNT


_ports = _candidate_ports()


def free_address() -> str:
    """Returns a loopback address whose port is free now.

    The ports are below the ephemeral range, so no outgoing connection can take
    a port before the process that it is meant for binds it.
    """
    for port in itertools.islice(_ports, _PORT_COUNT):
        with socket.socket() as probe:
            try:
                probe.bind((_HOST, port))
            except OSError:
                continue
            return f"{_HOST}:{port}"
    raise errors.SassafrasError(
        "fleet.address",
        _HOST,
        "no free port",
        "stop processes that listen on loopback",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One host of a fleet: a node and its local target.

    Attributes:
      name: Name of the host, which its log files use.
      availability_zone: Availability zone of the host.
      caller_address: The node's listening address for callers.
      target_address: The node's listening address for its target.
      peer_address: The node's listening address for peers.
      admin_address: The node's listening address for operators.
      target: Settings of the target stand-in.
      store_address: Address of the store in the node's settings; empty for
        the fleet's stand-in.
    """

    name: str
    availability_zone: str
    caller_address: str
    target_address: str
    peer_address: str
    admin_address: str
    target: target_settings.TargetSettings
    store_address: str = ""


def make_host(name: str, availability_zone: str, **target: object) -> Host:
    """Returns a host with free addresses."""
    target_address = free_address()
    return Host(
        name=name,
        availability_zone=availability_zone,
        caller_address=free_address(),
        target_address=target_address,
        peer_address=free_address(),
        admin_address=free_address(),
        target=target_settings.TargetSettings(
            address=free_address(), node_address=target_address, **target
        ),
    )


class Fleet:
    """The processes of a fleet.

    Attributes:
      hosts: The hosts.
      store_address: Address of the store stand-in.
      folder: Folder with the settings and logs of the processes.
      credential_file: Path of the credential of an operator with role
        `change`.
    """

    def __init__(self, hosts: list[Host], extra_settings: str = "") -> None:
        self.hosts = hosts
        self.store_address = free_address()
        self._temporary = tempfile.TemporaryDirectory(prefix="sassafras-")
        self.folder = pathlib.Path(self._temporary.name)
        self._extra_settings = extra_settings
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        # A fleet of another run may reuse an address of this one; the random
        # secret prevents its nodes from joining.
        (self.folder / "secret").write_text(secrets.token_hex(16))
        self.credential_file = self.folder / "credential"
        self.credential_file.write_text(_CREDENTIAL)
        (self.folder / "operators.ini").write_text(
            f"[{OPERATOR}]\nrole = change\n"
            f"digest = {hashing.digest(_CREDENTIAL)}\n"
        )

    async def start(self, document: documents.Document | None = None) -> None:
        """Starts all processes and waits until they accept connections.

        Args:
          document: The initial configuration; None to start without one.
        """
        self.start_store()
        await _wait_until_listening(self.store_address)
        if document is not None:
            await self.write_configuration(document, 0)
        for host in self.hosts:
            self.start_target(host)
            self.start_node(host)
        for host in self.hosts:
            await _wait_until_listening(host.caller_address)
            await _wait_until_listening(host.target.address)

    def start_store(self) -> None:
        """Starts the store stand-in."""
        self._spawn(
            "store",
            [
                sys.executable,
                "-m",
                "sassafras_standins.store",
                self.store_address,
            ],
        )

    def start_target(self, host: Host) -> None:
        """Starts a target stand-in."""
        self._spawn(
            f"target-{host.name}",
            [
                sys.executable,
                "-m",
                "sassafras_standins.target",
                host.target.model_dump_json(),
            ],
        )

    def start_node(self, host: Host) -> None:
        """Starts a node."""
        path = self.folder / f"{host.name}.ini"
        path.write_text(self._node_settings(host))
        binary = pathlib.Path(sys.executable).with_name("sassafras-node")
        self._spawn(f"node-{host.name}", [str(binary), f"--settings={path}"])

    def pid(self, name: str) -> int:
        """Returns the process id of `store`, `target-NAME` or `node-NAME`."""
        return self._processes[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one process of the fleet."""
        self._processes[name].send_signal(number)

    async def stop(self, name: str, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Stops a process with SIGTERM and returns its exit code."""
        process = self._processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return await wait_exit(process, timeout_s)

    async def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        process = self._processes.pop(name)
        process.kill()
        await wait_exit(process, _STOP_TIMEOUT_S)

    async def close(self) -> None:
        """Kills all processes and deletes the folder."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            await wait_exit(process, _STOP_TIMEOUT_S)
        self._processes.clear()
        self._temporary.cleanup()

    def log(self, name: str) -> str:
        """Returns what a process has logged."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def write_configuration(
        self, document: documents.Document, mod_revision: int | None = None
    ) -> None:
        """Writes a document to the store stand-in.

        Args:
          document: The configuration to write.
          mod_revision: Expected revision of the key, 0 if it is absent; None
            to read it first.
        """
        client = self.store_client()
        if mod_revision is None:
            found = await client.get(CONFIGURATION_KEY)
            mod_revision = found.mod_revision if found else 0
        written = await client.put_if(
            CONFIGURATION_KEY,
            configuration_models.encode(document),
            mod_revision,
        )
        if not written:
            raise errors.SassafrasError(
                "fleet.configure",
                self.store_address,
                "the configuration was changed concurrently",
            )

    def store_client(self) -> store_client.StoreClient:
        """Returns a client of the store stand-in."""
        return store_client.StoreClient(
            node_settings.StoreSection(endpoints=(self.store_address,))
        )

    async def control(
        self, address: str, path: str, content: object | None = None
    ) -> dict[str, object]:
        """Calls a control path of a stand-in and returns the decoded JSON."""
        method = "GET" if content is None else "PUT"
        body = b"" if content is None else json.dumps(content).encode()
        connection = await http_client.ClientConnection.connect(
            address, "fleet.control", _BODY_LIMIT, 5.0
        )
        try:
            response = await connection.exchange(
                messages.Request(method, path, (), body)
            )
        finally:
            await connection.close()
        decoded = json.loads(response.body)
        assert isinstance(decoded, dict)
        return decoded

    def _spawn(self, name: str, command: list[str]) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _node_settings(self, host: Host) -> str:
        seeds = ", ".join(
            other.peer_address for other in self.hosts if other is not host
        )
        return (
            "[host]\n"
            f"availability_zone = {host.availability_zone}\n"
            f"caller_address = {host.caller_address}\n"
            f"target_address = {host.target_address}\n"
            f"peer_address = {host.peer_address}\n"
            f"admin_address = {host.admin_address}\n"
            "[peers]\n"
            f"secret_file = {self.folder / 'secret'}\n"
            f"seeds = {seeds}\n"
            "[store]\n"
            f"endpoints = {host.store_address or self.store_address}\n"
            "[admin]\n"
            f"operators_file = {self.folder / 'operators.ini'}\n"
            f"{self._extra_settings}"
        )


async def wait_until_serving(
    address: str, request: messages.Request, timeout_s: float = 20.0
) -> None:
    """Waits until a request to an address gets a response with status 200."""
    with trio.fail_after(timeout_s):
        while True:
            try:
                connection = await http_client.ClientConnection.connect(
                    address, "fleet.probe", _BODY_LIMIT, 1.0
                )
                try:
                    response = await connection.exchange(request)
                finally:
                    await connection.close()
                if response.status == 200:
                    return
            except errors.SassafrasError:
                # The process is still starting.
                pass
            await trio.sleep(_POLL_S)


async def _wait_until_listening(address: str) -> None:
    hostname, port = http_client.split_address(address)
    with trio.fail_after(_START_TIMEOUT_S):
        while True:
            try:
                stream = await trio.open_tcp_stream(hostname, port)
            except OSError:
                await trio.sleep(_POLL_S)
            else:
                await stream.aclose()
                return


async def wait_exit(process: subprocess.Popen[bytes], timeout_s: float) -> int:
    """Returns the exit code of a process; kills it after a timeout."""
    with trio.move_on_after(timeout_s):
        while process.poll() is None:
            await trio.sleep(_POLL_S)
    if process.poll() is None:
        process.kill()
    return process.wait()
