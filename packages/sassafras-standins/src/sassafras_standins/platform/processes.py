"""Nodes of the emulated platform as processes of their own."""

import os
import pathlib
import signal
import subprocess
import sys

import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_standins.platform import machines
from sassafras_wire.http import client

# The platform kills a process this long after it asked it to stop.
_GRACE_S = 6.0
_POLL_S = 0.05
_READY_TIMEOUT_S = 20.0
_READY = messages.Request("GET", "/sassafrasmount/ready", (), b"")
_BODY_LIMIT = 4096


class NodeProcess:
    """The node of one machine; its log goes on over restarts.

    Attributes:
      machine: Where it runs.
      log: File with its log lines.
    """

    def __init__(
        self,
        machine: machines.Machine,
        folder: pathlib.Path,
        store_address: str,
        settings: str,
        profile: str = "",
    ) -> None:
        """Prepares a node.

        Args:
          machine: Where it runs.
          folder: For its settings file and its log.
          store_address: Where it finds the store.
          settings: Path of the INI file with the policies.
          profile: File for a profile; empty for none.
        """
        self.machine = machine
        self.log = folder / f"{machine.name}.log"
        self._boot = folder / f"{machine.name}.json"
        self._boot.write_bytes(machine.boot_file(store_address))
        self._settings = settings
        self._profile = profile
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Id of the process; 0 while none runs."""
        return self._process.pid if self._process else 0

    def start(self) -> None:
        """Starts the process."""
        profiler = ["-m", "cProfile", "-o", self._profile]
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    *(profiler if self._profile else []),
                    "-m",
                    "sassafras_platform",
                    f"--settings={self._settings}",
                ],
                env={**os.environ, "SASSAFRASMOUNT_BOOT": str(self._boot)},
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, if the process runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Asks it to stop, and kills it after the platform's grace time."""
        # A paused process would not see the request.
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        with trio.move_on_after(_GRACE_S):
            await self._wait()
        await self.kill()

    async def kill(self) -> None:
        """Kills it."""
        self.send(signal.SIGKILL)
        await self._wait()
        self._process = None

    async def until_ready(self) -> None:
        """Waits until callers may send requests.

        Raises:
          TooSlowError: It was not ready in time.
        """
        with trio.fail_after(_READY_TIMEOUT_S):
            while not await self._is_ready():
                await trio.sleep(_POLL_S)

    async def _is_ready(self) -> bool:
        try:
            connection = await client.ClientConnection.connect(
                self.machine.address("Ready"), "emulator.ready", _BODY_LIMIT, 1
            )
            response = await connection.exchange(_READY)
            await connection.close()
        except errors.SassafrasError:
            # It is still starting.
            return False
        return response.status == 200

    async def _wait(self) -> None:
        while self._process is not None and self._process.poll() is None:
            await trio.sleep(_POLL_S)
