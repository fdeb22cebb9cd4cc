"""The interpreter that the build selects for the platform's nodes."""

import importlib.util
import pathlib
import sys

import pytest


@pytest.fixture(name="install")
def _install():
    path = pathlib.Path(__file__).parents[2] / "deploy/install.py"
    spec = importlib.util.spec_from_file_location("deploy_install", path)
    module = importlib.util.module_from_spec(spec)
    # Data classes look their module up by its name.
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    yield module
    del sys.modules[spec.name]


@pytest.mark.parametrize(
    ("others", "expected"),
    [
        ([], "/own"),
        ([("/plain", (3, 11), False)], "/own"),
        ([("/fast", (3, 11), True)], "/fast"),
        ([("/newer", (3, 12), True)], "/own"),
    ],
)
def test_an_optimised_build_of_the_same_version_is_preferred(
    install, others, expected
):
    """Guards against a slow build, and libraries of another version."""
    candidates = [
        install.Interpreter(*values)
        for values in [("/own", (3, 11), False), *others]
    ]
    assert install.choose(candidates, (3, 11)).path == expected


def test_a_missing_interpreter_is_left_out(install, tmp_path):
    """Guards against a build that fails where a package is not installed."""
    assert install.describe(str(tmp_path / "python3")) is None
    own = install.describe(sys.executable)
    assert own.version == tuple(sys.version_info[:2])
