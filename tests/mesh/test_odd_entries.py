"""Entries and announcements of other writers.

Operators reported machines that ended again and again, or stopped following the
list, after one entry that was nested deeply, had a number too large or a port
out of range. A review found a sound target displaced by a foreign heartbeat.
"""

import json
import time

import pytest
import trio

from common import mesh_fleet
from sassafras_node.mesh.store import entries
from sassafras_policy.calls import messages
from sassafras_wire.mesh import link_messages

pytestmark = pytest.mark.loopback

_FUTURE_MS = int(time.time() * 1000) + 10**9


def _entry(node_id="odd", **changes):
    target = {
        "target_id": "t",
        "service": "front",
        "address": "127.0.0.1:9",
        "capacity": 10**6,
        "state": "ready",
    }
    target.update(changes.pop("target", {}))
    value = {
        "node_id": node_id,
        "incarnation": 1,
        "availability_zone": "zone-a",
        "call_address": "127.0.0.1:9",
        "link_address": "127.0.0.1:9",
        "target": target,
    }
    return json.dumps(value | changes).encode()


_DEEP = b'{"x":' + b"[" * 50_000 + b"]" * 50_000 + b"}"
_ODD = {
    "nested": _DEEP,
    "no text": b"\xff\xfe\x00",
    "number without end": _entry().replace(b"1000000", b"9" * 5000),
    "large incarnation": _entry(incarnation=10**400),
    "large number": _entry(number=2**70),
    "large capacity": _entry(target={"capacity": 10**30}),
    "endless start": _entry().replace(b"1000000", b'1,"cold_start_s":1e999'),
    "port out of range": _entry(
        call_address="127.0.0.1:70000", link_address="127.0.0.1:70000"
    ),
    "port no number": _entry(call_address="127.0.0.1:http"),
    "no port": _entry(link_address="127.0.0.1"),
    "other type": _entry(call_address={"port": 1}),
    "list": b"[]",
    "future": _entry(incarnation=_FUTURE_MS),
    "name of a sound node": _entry("one", incarnation=2**52),
}


@pytest.mark.parametrize("name", _ODD)
async def test_an_odd_entry_changes_nothing(tmp_path, name):
    """Guards against one entry that ends or blinds the nodes that read it."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one")
        await fleet.add_machine("web", service="back")
        await fleet.wait_until_settled()
        sound = fleet.nodes["web"].fleet.get("one")
        fleet.store.put(entries.PREFIX + "odd", _ODD[name])
        # Those who follow the list still learn of later changes.
        await fleet.add_machine("two")
        await fleet.wait_until_settled()
        for node in fleet.nodes.values():
            assert node.fleet.get("odd") is None
        assert fleet.nodes["web"].fleet.get("one") == sound
        for _ in range(10):
            assert (await fleet.send_request("web")).status == 200


async def test_an_entry_with_an_unusable_address_fails_no_request(tmp_path):
    """Guards against errors of sockets that end the session of a caller."""
    async with mesh_fleet.running(tmp_path) as fleet:
        await fleet.add_machine("one")
        await fleet.add_machine("web", service="back")
        await fleet.wait_until_settled()
        node = fleet.nodes["web"]
        (sound,) = node.fleet.serving("front")
        model = link_messages.to_model(sound)
        for port in ("70000", "x", ""):
            address = f"127.0.0.1:{port}"
            odd = model.model_copy(
                update={
                    "node_id": f"odd{port}",
                    "call_address": address,
                    "link_address": address,
                }
            )
            node.fleet.update(link_messages.to_entry(odd))
        for _ in range(20):
            response = await fleet.send_request("web")
            assert response.status in {200, 503}
        await trio.sleep(1.0)
        assert (await fleet.send_request("web")).status == 200


async def test_an_entry_that_was_replaced_is_written_again(tmp_path):
    """Guards against a node that another writer hides for good."""
    async with mesh_fleet.running(tmp_path) as fleet:
        for name in ("one", "two", "web"):
            await fleet.add_machine(name)
        await fleet.wait_until_settled()
        for name, node in fleet.nodes.items():
            entry = json.loads(
                _entry(name, incarnation=int(time.time() * 1000))
            )
            revision = node.entry_revision
            fleet.store.put(entries.PREFIX + name, json.dumps(entry).encode())
            with trio.fail_after(10):
                while node.entry_revision == revision:
                    await trio.sleep(0.05)


async def test_a_foreign_own_entry_does_not_exclude_the_target(tmp_path):
    """Guards against a target that a restart excludes for a later start."""
    async with mesh_fleet.running(tmp_path) as fleet:
        machine = await fleet.add_machine("one")
        await fleet.wait_until_settled()
        fleet.kill_node("one")
        await fleet.wait_until_ended("one")
        later = {
            "address": machine.address("App"),
            "state": "gone",
            "started_ms": _FUTURE_MS,
        }
        fleet.store.put(entries.PREFIX + "one", _entry("one", target=later))
        await fleet.start_node("one")
        with trio.fail_after(5):
            await fleet.wait_until_settled()


def test_one_invalid_relayed_entry_leaves_the_others():
    """Guards against a list that is refused for one of its entries."""
    sound = entries.decode(_entry("sound"))
    value = link_messages.encode_members([sound])
    odd = value[:-1] + b"," + _ODD["port out of range"] + b"]"
    assert link_messages.decode_members(odd) == [sound]
    assert link_messages.decode_members(_DEEP) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"Service": "other"},
        {"Address": "127.0.0.1:9"},
        {"born": _FUTURE_MS},
        {"born": 10**400},
        {"Capacity": 10**30},
        {"Sequence": -1},
        {"ColdRemainingMs": 1e300},
        {"State": {"ready": [[[]]]}},
    ],
)
async def test_a_foreign_heartbeat_does_not_displace_the_target(
    tmp_path, changes
):
    """Guards against a sound target that a foreign heartbeat replaces."""
    async with mesh_fleet.running(tmp_path) as fleet:
        machine = await fleet.add_machine("one")
        await fleet.wait_until_settled()
        before = fleet.nodes["one"].target.published
        heartbeat = {
            "Service": machine.service,
            "Address": machine.address("App"),
            "Zone": machine.zone,
            "Version": "v1",
            "Capacity": 5,
            "State": "ready",
            "Sequence": 1,
            "born": int(time.time() * 1000) + 1000,
        }
        response = await fleet.endpoints["one"]._control.exchange(
            messages.Request(
                "POST",
                "/sassafrasmount/instances/foreign/heartbeat",
                (("content-type", "application/json"),),
                json.dumps(heartbeat | changes).encode(),
            )
        )
        assert response.status == 400
        assert fleet.nodes["one"].target.published == before
        assert (await fleet.send_request("one")).status == 200
