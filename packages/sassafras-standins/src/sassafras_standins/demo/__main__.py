"""Demonstrates a fleet under load; exits with 0 if all checks passed.

With `--keep` it only starts the fleet and keeps it until interrupted.
"""

import json
import pathlib
import random
import signal
import sys

import trio

from sassafras_standins.demo import checks as demo_checks
from sassafras_standins.demo import commands
from sassafras_standins.fleet import launcher
from sassafras_standins.load import caller
from sassafras_standins.load import pacing

_EXAMPLES = pathlib.Path("examples")
_SEED = 7
_STATUS_PATH = "/status-desk/cheques/4711"
_LODGEMENT_PATH = "/lodgement/cheques"
_TIMEOUT_S = 30.0
_POLL_S = 0.1
_SURGE_RATE_PER_S = 120
_SURGE_S = 5
_SLOTS_PER_TARGET = 4
_SERVICE_MS = 40.0
_LARGE_ORGANISATION = "aegean-commercial-bank"
_OTHER_ORGANISATION = "ionian-trade-bank"


def _hosts() -> list[launcher.Host]:
    layout = [
        ("status-desk", "athens-1", ["/lodgement/images/7"]),
        ("status-desk", "athens-2", ["/lodgement/images/7"]),
        ("lodgement", "athens-1", ["/settlement/accounts/7"]),
        ("lodgement", "athens-2", ["/settlement/accounts/7"]),
        ("settlement", "athens-1", []),
        ("settlement", "athens-2", []),
    ]
    return [
        launcher.make_host(
            f"host-{number}",
            availability_zone,
            service=service,
            sub_calls=sub_calls,
            slots=_SLOTS_PER_TARGET,
            service_ms=_SERVICE_MS,
        )
        for number, (service, availability_zone, sub_calls) in enumerate(layout)
    ]


class Demo:
    """The steps of the demonstration."""

    def __init__(self) -> None:
        self.checks = demo_checks.Checks()
        self._hosts = _hosts()
        self._fleet = launcher.Fleet(self._hosts)
        self._addresses = [host.caller_address for host in self._hosts]
        self._keys: dict[str, str] = {}
        self._random = random.Random(_SEED)

    async def keep(self) -> None:
        """Starts and configures the fleet, and stops it when interrupted."""
        try:
            await self._start()
            await self._configure()
            node = self._hosts[0].admin_address
            print(
                f"\nflags: --node={node}"
                f" --credential_file={self._fleet.credential_file}\n"
                f"callers: {', '.join(self._addresses)}\n"
                "keys: "
                + ", ".join(f"{k} {v}" for k, v in self._keys.items())
                + "\nInterrupt with Ctrl-C to end the fleet.",
                flush=True,
            )
            with trio.open_signal_receiver(
                signal.SIGINT, signal.SIGTERM
            ) as signals:
                async for _ in signals:
                    return
        finally:
            with trio.CancelScope(shield=True):
                await self._fleet.close()

    async def run(self) -> None:
        """Runs all steps and stops the fleet."""
        try:
            await self._start()
            await self._configure()
            await self._call()
            await self._surge()
            await self._withdraw()
            await self._drain()
            await self._report()
            await self._stop()
        finally:
            await self._fleet.close()

    async def _start(self) -> None:
        self.checks.title("Start: the store's stand-in, 6 targets, 6 nodes")
        await self._fleet.start()
        self.checks.expect(True, "every process accepts connections")

    async def _configure(self) -> None:
        self.checks.title("Questionnaire: check both, apply one, grant keys")
        for name in ("athens", "mauritius"):
            checked = await self._command("check", f"{_EXAMPLES}/{name}.ini")
            self.checks.expect(checked.exit_code == 0, f"{name}.ini is valid")
        applied = await self._command("apply", f"{_EXAMPLES}/athens.ini")
        self.checks.expect(applied.exit_code == 0, "athens.ini is applied")
        for organisation in (_LARGE_ORGANISATION, _OTHER_ORGANISATION):
            granted = await self._command(
                "keys-grant", organisation, "demo", "--json"
            )
            self.checks.expect(
                granted.exit_code == 0, f"{organisation} gets a key"
            )
            self._keys[organisation] = str(json.loads(granted.output)["key"])

    async def _call(self) -> None:
        self.checks.title("Calls: status-desk -> lodgement -> settlement")
        for organisation in (_LARGE_ORGANISATION, _OTHER_ORGANISATION):
            is_served = await self._all_respond_with(organisation, 200)
            self.checks.expect(
                is_served,
                f"every node serves {organisation} three services deep",
            )
        unauthenticated = caller.Caller(self._addresses, "not-a-key")
        rejected = await unauthenticated.request("GET", _STATUS_PATH)
        self.checks.expect(
            rejected.status == 401 and rejected.outcome.startswith("not-run"),
            "an unknown key is rejected and nothing ran",
        )
        without_key = await caller.Caller(self._addresses).request(
            "GET", "/status-desk/opening-hours"
        )
        self.checks.expect(
            without_key.status == 200, "an open route needs no key"
        )
        await unauthenticated.close()

    async def _surge(self) -> None:
        total = _SURGE_RATE_PER_S * _SURGE_S
        self.checks.title(
            f"Surge: {_SURGE_RATE_PER_S} status checks/s for {_SURGE_S} s,"
            " lodgements among them"
        )
        client = caller.Caller(self._addresses, self._keys[_LARGE_ORGANISATION])
        status_checks: list[caller.Result] = []
        lodgements: list[caller.Result] = []

        async def request(number: int) -> None:
            if number % 20 == 0:
                lodgements.append(
                    await client.request("POST", _LODGEMENT_PATH, b"{}")
                )
            else:
                status_checks.append(await client.request("GET", _STATUS_PATH))

        await pacing.at_rate(_SURGE_RATE_PER_S, total, request)
        served_checks = sum(result.status == 200 for result in status_checks)
        served_lodgements = sum(result.status == 200 for result in lodgements)
        with_outcome = sum(
            bool(result.outcome) for result in status_checks + lodgements
        )
        print(
            f"  {served_checks} of {len(status_checks)} status checks and"
            f" {served_lodgements} of {len(lodgements)} lodgements were served"
        )
        self.checks.expect(
            served_checks < len(status_checks),
            "some status checks are rejected",
        )
        self.checks.expect(served_checks > 0, "other status checks are served")
        self.checks.expect(
            served_lodgements >= 0.95 * len(lodgements),
            "at least 95% of the lodgements complete",
        )
        self.checks.expect(
            with_outcome == total,
            "every caller learns the outcome of its request",
        )
        await client.close()

    async def _withdraw(self) -> None:
        self.checks.title("Keys: withdraw one while its caller is connected")
        withdrawn = await self._command(
            "keys-withdraw", _OTHER_ORGANISATION, "demo"
        )
        self.checks.expect(withdrawn.exit_code == 0, "the key is withdrawn")
        self.checks.expect(
            await self._all_respond_with(_OTHER_ORGANISATION, 401),
            "every node rejects it",
        )
        self.checks.expect(
            await self._all_respond_with(_LARGE_ORGANISATION, 200),
            "the other key still works",
        )

    async def _drain(self) -> None:
        self.checks.title("Targets: stop one, start it again")
        target = self._hosts[1].target.address
        stopped = await self._command("targets-stop", target)
        self.checks.expect(stopped.exit_code == 0, "the target is drained")
        started = await self._command("targets-start", target)
        self.checks.expect(started.exit_code == 0, "it takes calls again")

    async def _report(self) -> None:
        self.checks.title("Report: service-level burn over the whole fleet")
        report = await self._command("report")
        print(report.output)
        self.checks.expect(
            report.exit_code == 0 and "status-desk" in report.output,
            "the report covers the fleet",
        )

    async def _stop(self) -> None:
        self.checks.title("Stop: SIGTERM to every node")
        codes: list[int] = []

        async def stop(host: launcher.Host) -> None:
            codes.append(await self._fleet.stop(f"node-{host.name}"))

        async with trio.open_nursery() as nursery:
            for host in self._hosts:
                nursery.start_soon(stop, host)
        self.checks.expect(set(codes) == {0}, "every node exits with code 0")
        leaks = [
            host.name
            for host in self._hosts
            for key in self._keys.values()
            if key in self._fleet.log(f"node-{host.name}")
        ]
        self.checks.expect(not leaks, "no log holds a caller's key")

    async def _command(self, *arguments: str) -> commands.CommandResult:
        result = await commands.sassafras(
            self._fleet, self._hosts[0], *arguments
        )
        if result.exit_code != 0:
            print(f"  sassafras {' '.join(arguments)}: {result.output}")
        return result

    async def _all_respond_with(self, organisation: str, status: int) -> bool:
        """Returns whether every node responds with a status in time."""
        clients = [
            caller.Caller([address], self._keys[organisation])
            for address in self._addresses
        ]
        with trio.move_on_after(_TIMEOUT_S):
            while True:
                results = [
                    await c.request("GET", _STATUS_PATH) for c in clients
                ]
                if all(result.status == status for result in results):
                    return True
                await trio.sleep(_POLL_S)
        return False


def main() -> int:
    """Runs the demonstration."""
    demo = Demo()
    if "--keep" in sys.argv:
        trio.run(demo.keep)
        return 0
    trio.run(demo.run)
    failed = demo.checks.failed
    print(f"\n{'all claims held' if not failed else f'{failed} claims failed'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
