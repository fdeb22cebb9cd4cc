"""Starts and stops the platform's nodes as processes."""

import os
import pathlib
import signal
import subprocess
import sys

from sassafras_policy.calls import messages
from sassafras_standins.fleet import launcher
from sassafras_standins.platform import machines

# The platform kills a process this long after sending SIGTERM.
_GRACE_S = 6.0
_READY = messages.Request("GET", "/sassafrasmount/ready", (), b"")


class NodeProcess:
    """The node process of one machine; all restarts append to one log file.

    Attributes:
      machine: Machine of the node.
      log: Path of the log file.
    """

    def __init__(
        self,
        machine: machines.Machine,
        folder: pathlib.Path,
        store_address: str,
        settings: str,
        profile: str = "",
        source: pathlib.Path | None = None,
    ) -> None:
        """Writes the boot file; `start` starts the process.

        Args:
          machine: Machine of the node.
          folder: Folder for the boot file and the log file.
          store_address: Address of the store.
          settings: Path of the INI file that selects the policies.
          profile: Path for cProfile output; empty to run without profiling.
          source: Checkout whose code is run; None for this one.
        """
        self.machine = machine
        self.log = folder / f"{machine.name}.log"
        self._boot_path = folder / f"{machine.name}.json"
        self._boot_path.write_bytes(machine.boot_file(store_address))
        self._settings = settings
        self._profile = profile
        self._source = source
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id; 0 while no process runs."""
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
                env=self._environment(),
                stdout=log,
                stderr=log,
            )

    def _environment(self) -> dict[str, str]:
        environment = {
            **os.environ,
            "SASSAFRASMOUNT_BOOT": str(self._boot_path),
        }
        if self._source is not None:
            folders = [
                *sorted(self._source.glob("packages/*/src")),
                self._source / "platform/src",
            ]
            environment["PYTHONPATH"] = os.pathsep.join(map(str, folders))
        return environment

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, if the process runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def stop(self) -> None:
        """Sends SIGTERM, and kills it after the platform's grace period."""
        # A paused process would not handle SIGTERM.
        self.send(signal.SIGCONT)
        await self._end(signal.SIGTERM)

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the end of the process."""
        await self._end(signal.SIGKILL)

    async def wait_until_ready(self) -> None:
        """Waits until the node reports that it is ready.

        Raises:
          TooSlowError: The node was not ready in time.
        """
        await launcher.wait_until_serving(self.machine.address("Ready"), _READY)

    async def _end(self, number: signal.Signals) -> None:
        self.send(number)
        if self._process is not None:
            await launcher.wait_exit(self._process, _GRACE_S)
            self._process = None
