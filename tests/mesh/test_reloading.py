"""Reloading of the platform's settings file while the node runs."""

import json
import random

from sassafras_base import clock as clocks
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_platform import announcements
from sassafras_platform import boot
from sassafras_platform import front_end
from sassafras_platform import reloading
from sassafras_platform import store
from sassafras_standins.platform import machines
from sassafras_wire.settings import node as node_settings

_POLICY = node_settings.PolicySection(limiter="pooled-share")


def _node(path, monkeypatch):
    monkeypatch.setenv(boot.PATH_VARIABLE, str(path))
    machine = machines.make_machine("m", "zone-a", "front")
    path.write_bytes(machine.boot_file("10.0.0.9:1"))
    settings = boot.load(path, _POLICY)
    platform = interfaces.Platform(
        store.Store(settings.store.address),
        front_end.FrontEnd(),
        announcements.Codecs(),
    )
    return runtimes.Runtime(
        settings, platform, clocks.TrioClock(), random.Random(1)
    )


async def test_a_store_that_has_moved_is_called_at_its_new_address(
    tmp_path, monkeypatch
):
    """Guards against a node that keeps calling the old address."""
    path = tmp_path / "local.json"
    node = _node(path, monkeypatch)
    before = node.platform.store
    content = json.loads(path.read_bytes())
    content["Provider"]["Address"] = "10.0.0.8:2"
    path.write_text(json.dumps(content))
    reloading.reload(node, _POLICY)
    assert node.settings.store.address == "10.0.0.8:2"
    assert node.platform.store is not before


async def test_a_file_with_faults_changes_nothing(tmp_path, monkeypatch):
    """Guards against a node that runs on with incomplete settings."""
    path = tmp_path / "local.json"
    node = _node(path, monkeypatch)
    before = node.settings
    path.write_text("{")
    reloading.reload(node, _POLICY)
    assert node.settings is before
