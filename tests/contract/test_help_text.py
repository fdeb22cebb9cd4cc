"""The help text of the node shows the supervisor tree."""

import pathlib

import sassafras_node
from sassafras_node import help_text


def test_the_help_names_every_supervisor_of_the_folder_tree():
    """Guards against supervisors that are missing from the help."""
    package = pathlib.Path(sassafras_node.__file__).parent
    folders = {
        path.parent.relative_to(package).as_posix()
        for path in package.rglob("supervisor.py")
    }
    expected = {
        "node" if folder == "." else f"node/{folder}" for folder in folders
    }
    assert set(help_text.SUPERVISORS) == expected
    text = help_text.describe("sassafras-node")
    for path in expected:
        assert f"  {path}\n    Child" in text
