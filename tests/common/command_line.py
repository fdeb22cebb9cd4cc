"""Runs the operators' command line in the process of a test."""

import io
import json

from common import administration
from sassafras_cli import main


class Outcome:
    """Exit code and output of a command."""

    def __init__(self, code, out, error_out):
        self.code = int(code)
        self.out = out.getvalue()
        self.error_out = error_out.getvalue()

    @property
    def json(self):
        return json.loads(self.out)

    @property
    def text(self):
        return self.out + self.error_out


async def run(*argv, out=None):
    """Runs a command line given without the program's name."""
    out, error_out = out or io.StringIO(), io.StringIO()
    code = await main.execute([str(a) for a in argv], out, error_out)
    return Outcome(code, out, error_out)


class Operator:
    """Runs commands against a node with one credential."""

    def __init__(self, site, credential=administration.CHANGER):
        self.site = site
        self._file = site.folder / f"{credential}.credential"
        self._file.write_text(credential + "\n")

    async def run(self, *argv, out=None):
        return await run(
            *argv,
            f"--node={self.site.address}",
            f"--credential_file={self._file}",
            out=out,
        )

    def file(self, text, name="harbour.ini"):
        path = self.site.folder / name
        path.write_text(text)
        return path
