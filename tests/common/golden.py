"""Compares transcripts of sessions with golden files."""

import difflib
import os
import pathlib
import re

_FOLDER = pathlib.Path(__file__).parent.parent / "golden"
_UPDATE = "SASSAFRAS_UPDATE_GOLDEN"


def check(name, transcript, masks):
    """Compares a transcript with its golden file.

    Set SASSAFRAS_UPDATE_GOLDEN=1 to write the files again, and review the
    difference.

    Args:
      name: Name of the file.
      transcript: The session as text.
      masks: Pairs of a regular expression for random values and the text that
        replaces them.
    """
    for pattern, mask in masks:
        transcript = re.sub(pattern, mask, transcript)
    path = _FOLDER / f"{name}.txt"
    if os.environ.get(_UPDATE):
        _FOLDER.mkdir(exist_ok=True)
        path.write_text(transcript)
    difference = "\n".join(
        difflib.unified_diff(
            path.read_text().splitlines(),
            transcript.splitlines(),
            "golden",
            "seen",
            lineterm="",
        )
    )
    assert not difference, f"{path.name} differs:\n{difference}"
