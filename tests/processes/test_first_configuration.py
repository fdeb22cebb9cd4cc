"""First setup of a fleet with the installed commands."""

import json
import re

import pytest

from common import administration
from common import waiting
from sassafras_standins.demo import commands
from sassafras_standins.fleet import launcher
from sassafras_standins.load import caller

pytestmark = pytest.mark.processes


async def test_a_new_team_gets_from_a_questionnaire_to_a_served_request():
    """Guards against a first setup that works only within one process."""
    host = launcher.make_host("only", "zone-a", service="desk")
    fleet = launcher.Fleet([host])
    path = fleet.folder / "harbour.ini"
    path.write_text(administration.QUESTIONNAIRE)
    faulty = fleet.folder / "faulty.ini"
    faulty.write_text(administration.FAULTY)

    async def run(*argv):
        return await commands.sassafras(fleet, host, *argv)

    try:
        await fleet.start()
        assert (await run("check", str(faulty))).exit_code == 2
        assert (await run("apply", str(faulty))).exit_code == 2
        planned = await run("plan", str(path))
        assert planned.exit_code == 0, planned.output
        expected = re.search(r"--expected_revision=(\d+)", planned.output)
        applied = await run("apply", str(path), expected[0])
        assert applied.exit_code == 0, applied.output
        granted = await run("keys-grant", "national-bank", "first", "--json")
        key = json.loads(granted.output)["key"]
        bank = caller.Caller([host.caller_address], key)

        async def served():
            return (await bank.request("GET", "/desk/1")).status == 200

        await waiting.until(served, "requests with the key are served")
        assert (await run("apply", str(path), "--json")).exit_code == 0
        withdrawn = await run("keys-withdraw", "national-bank", "first")
        assert withdrawn.exit_code == 0, withdrawn.output

        async def rejected():
            return (await bank.request("GET", "/desk/1")).status == 401

        await waiting.until(rejected, "requests with the key are rejected")
        await bank.close()
        assert key not in fleet.log("node-only")
    finally:
        await fleet.close()
