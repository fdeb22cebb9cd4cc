"""A complete administration session, compared with a golden file.

To accept an intended change, run the test with SASSAFRAS_UPDATE_GOLDEN=1 and
review the diff of the file.
"""

import io
import json
import os
import pathlib
import re

import pytest

from common import administration
from common import waiting
from sassafras_cli import main
from sassafras_standins.store import faults

pytestmark = pytest.mark.loopback

GOLDEN = pathlib.Path(__file__).with_name("administration-session.txt")
TARGET = "127.0.0.1:9999"


class Session:
    """Runs commands and requests and records their output."""

    def __init__(self, site):
        self.lines = []
        self._site = site
        self._placeholders = {
            site.address: "ADMIN",
            site.runtime.table.own_id: "NODE",
            site.runtime.settings.store.endpoints[0]: "STORE",
            str(site.folder): "FOLDER",
        }
        for name, credential in (
            ("carl", administration.CHANGER),
            ("rita", administration.READER),
        ):
            (site.folder / name).write_text(credential)

    async def command(self, operator, *argv):
        out, error_out = io.StringIO(), io.StringIO()
        code = await main.execute(
            [
                *argv,
                f"--node={self._site.address}",
                f"--credential_file={self._site.folder / operator}",
            ],
            out,
            error_out,
        )
        self._write(f"$ sassafras {' '.join(argv)}  # {operator}")
        self._write(out.getvalue().rstrip("\n"))
        self._write(error_out.getvalue().rstrip("\n"))
        self._write(f"exit code {int(code)}")
        self.lines.append("")

    async def request(self, method, path, content=None):
        response = await self._site.request(method, path, content)
        self._write(f"> {method} {path}")
        if content is not None:
            self._write(f"> {json.dumps(content)}")
        self._write(f"< {response.status}")
        self._write(json.dumps(response.json, indent=2))
        self.lines.append("")

    def _write(self, text):
        for value, placeholder in self._placeholders.items():
            text = text.replace(value, placeholder)
        text = re.sub(r"(admin\.access \[)[\d.:]+", r"\1OPERATOR", text)
        # The error of a lost connection depends on when it is detected.
        text = re.sub(r"no answer: [^;]*;", "no answer: REASON;", text)
        text = re.sub(r"(?<=[A-Za-z0-9_/]{3}: )[\w-]{43}\b", "KEY", text)
        text = re.sub(r'("key": ")[\w-]{43}"', r'\1KEY"', text)
        text = re.sub(r'("record_id": ")\w+"', r'\1ID"', text)
        if text:
            self.lines.append(text)


async def test_a_whole_administration_session(tmp_path):
    """Guards against unintended changes of output to operators and scripts."""
    async with administration.site(tmp_path) as site:
        session = Session(site)
        first = tmp_path / "harbour.ini"
        first.write_text(administration.QUESTIONNAIRE)
        revised = tmp_path / "revised.ini"
        revised.write_text(administration.REVISED)
        faulty = tmp_path / "faulty.ini"
        faulty.write_text(administration.FAULTY)
        await session.request("GET", "/health")
        await session.command("carl", "check", str(faulty))
        await session.command("carl", "check", str(first))
        await session.command("carl", "plan", str(first))
        await session.command("carl", "apply", str(first), "--note=first")
        await session.command("carl", "keys-grant", "cooperative", "main")
        await session.command("rita", "keys-grant", "cooperative", "other")
        await session.command("rita", "plan", str(revised))
        await session.command(
            "carl", "apply", str(revised), "--expected_revision=1"
        )
        await session.command(
            "carl", "apply", str(revised), "--expected_revision=2"
        )
        await session.command(
            "carl", "apply", str(revised), "--expected_revision=2"
        )
        await session.command("rita", "history")
        await session.command(
            "carl", "rollforward", "2", "--expected_revision=3"
        )
        await session.request(
            "POST",
            "/keys/withdraw",
            {"organisation": "cooperative", "label": "main"},
        )
        await site.announce(TARGET)
        await session.command("carl", "targets-stop", TARGET, "--json")

        async def leaving():
            return site.runtime.table.own.target_state == "leaving"

        await waiting.until(leaving, "the target is leaving")
        await session.request("GET", f"/targets/drain?address={TARGET}")
        await session.command("carl", "targets-start", TARGET)
        site.store.faults.mode = faults.Mode.DOWN
        await session.request(
            "POST",
            "/keys/grant",
            {"organisation": "cooperative", "label": "late"},
        )
        site.store.faults.mode = faults.Mode.NORMAL
        await session.command("rita", "audit", "--limit=8")
        await session.request("GET", "/audit?limit=1")
        await session.request("GET", "/nowhere")
    text = "\n".join(session.lines)
    if os.environ.get("SASSAFRAS_UPDATE_GOLDEN"):
        GOLDEN.write_text(text)
    assert text == GOLDEN.read_text()
