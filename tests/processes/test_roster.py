"""The roster in the store and at every node, with real processes."""

import pytest

from common import waiting
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_wire.membership import rosters as roster_models

pytestmark = pytest.mark.processes

_KEY = "/sassafras/roster"


async def test_nodes_join_the_roster_and_stay_members_over_a_restart():
    """Guards against nodes without shares, and shares that restarts change."""
    hosts = [
        launcher.make_host(f"desk-{n}", f"zone-{n % 2}", service="desk")
        for n in range(4)
    ]
    expected = sorted(host.peer_address for host in hosts)
    fleet = launcher.Fleet(hosts)
    try:
        await fleet.start(samples.document())
        client = fleet.store_client()

        async def stored():
            found = await client.get(_KEY)
            return found and roster_models.decode(found.value, "store")

        async def complete():
            roster = await stored()
            return roster and sorted(roster.node_ids) == expected

        await waiting.until(complete, "the roster lists every node")
        epoch = (await stored()).epoch

        async def current_everywhere():
            return all(
                f"roster epoch {epoch} " in fleet.log(f"node-{host.name}")
                for host in hosts
            )

        await waiting.until(current_everywhere, "every node has the epoch")
        await fleet.kill("node-desk-3")
        fleet.start_node(hosts[3])

        async def current_after_restart():
            text = fleet.log("node-desk-3")
            return text.count(f"roster epoch {epoch} ") == 2

        await waiting.until(
            current_after_restart, "the node has the epoch again"
        )
        assert (await stored()).epoch == epoch
    finally:
        await fleet.close()
