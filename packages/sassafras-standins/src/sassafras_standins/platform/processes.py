"""Nodes of the emulated platform as processes of their own."""

import os
import pathlib
import signal
import subprocess
import sys

from sassafras_policy.calls import messages
from sassafras_standins.fleet import launcher
from sassafras_standins.platform import machines

# The platform kills a process this long after it asked it to stop.
_GRACE_S = 6.0
_READY = messages.Request("GET", "/sassafrasmount/ready", (), b"")


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
        await self._end(signal.SIGTERM)

    async def kill(self) -> None:
        """Kills it."""
        await self._end(signal.SIGKILL)

    async def until_ready(self) -> None:
        """Waits until callers may send requests.

        Raises:
          TooSlowError: It was not ready in time.
        """
        await launcher.wait_until_serving(self.machine.address("Ready"), _READY)

    async def _end(self, number: signal.Signals) -> None:
        self.send(number)
        if self._process is not None:
            await launcher.wait_exit(self._process, _GRACE_S)
            self._process = None
