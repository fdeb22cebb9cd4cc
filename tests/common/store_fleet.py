"""Fleets of nodes that use a store and each other without sockets.

The tasks of the nodes and the messages between them are those of a node; only
connections are replaced. On a mock clock, a run of many seconds takes none.
"""

import contextlib
import functools
import pathlib
import random
import tempfile

import trio
import trio.testing

from sassafras_base import errors
from sassafras_node.limits import exchange
from sassafras_node.mesh import interfaces
from sassafras_node.mesh import runtime as runtimes
from sassafras_node.mesh.peers import joining
from sassafras_node.mesh.peers import link
from sassafras_node.mesh.peers import link_session
from sassafras_node.mesh.store import entries
from sassafras_node.mesh.store import own_entry
from sassafras_node.mesh.store import supervisor
from sassafras_node.mesh.targets import announcements as announcement_tasks
from sassafras_platform import announcements
from sassafras_platform import boot
from sassafras_platform import front_end
from sassafras_platform import store as platform_store
from sassafras_policy.mesh import linking
from sassafras_policy.mesh import targets
from sassafras_standins.platform import documents
from sassafras_standins.platform import machines
from sassafras_standins.platform import store as store_standin
from sassafras_wire.http import client
from sassafras_wire.settings import node as node_settings

ROUTES = (documents.RouteRow("read", "shop.example", "/read/", "front"),)
KEPT_KEY = "kept-key"
SERVICE = "front"
_CALL_S = 0.002
_TIME_OUT_S = 1.0
_PING_S = 0.4
_ROSTER_S = 0.25
_RETRY_S = 0.1
# The wall clock of the nodes; incarnations are Unix milliseconds.
_EPOCH_S = 1_700_000_000.0


class Clock:
    """Trio's clock, with a time of day."""

    def now(self):
        return trio.current_time()

    def now_with_suspend(self):
        return trio.current_time()

    def wall(self):
        return _EPOCH_S + trio.current_time()


class _Pool:
    """Takes the place of the connections of one node to the store."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    async def exchange(self, request):
        fleet = self._fleet
        await trio.sleep(_CALL_S)
        self._check()
        if request.method != "GET":
            fleet.count_write()
            self._check()
        response = await fleet.store.handle(request)
        if request.method != "GET":
            fleet.count_write()
        await trio.sleep(_CALL_S)
        self._check()
        return client.Response(response.status, response.headers, response.body)

    def _check(self):
        if self._fleet.is_away or self._name in self._fleet.cut:
            raise errors.UnreachableError("store.call", "store", "cut")


class _Link:
    """Takes the place of a control link to another node."""

    def __init__(self, fleet, name, other):
        self._fleet = fleet
        self._name = name
        self._other = other
        self._response = None
        self._number = 0

    def next_call_id(self):
        self._number += 1
        return self._number

    async def send(self, message):
        await trio.sleep(_CALL_S)
        self._response = None
        if self._fleet.is_linked(self._name, self._other):
            handler = link_session.message_handlers.get(message.type)
            if message.type == "mesh_renew" and self._fleet.refuses_renewals:
                return
            node = self._fleet.nodes[self._other]
            self._response = await handler(node, message)

    async def abort(self):
        pass

    async def expect(self, model):
        await trio.sleep(_CALL_S)
        if self._response is None:
            raise errors.UnreachableError("peer", self._other, "cut")
        assert isinstance(self._response, model)
        return self._response


class Fleet:
    """Nodes, their store and its operator.

    Attributes:
      store: The store.
      nodes: Runtimes of the running nodes, by name.
      cut: Nodes that do not reach the store.
      cut_links: Nodes that do not reach the other nodes.
      links_all: Whether each node pings all others, and not those only to which
        it would have a link.
      is_away: Whether the store answers nobody.
      refuses_renewals: Whether no node renews the lease of another one.
      writes: Number of moments before and after writes of any writer.
      on_write: Called at each of these moments with their number.
      documents: Acknowledged configurations by version, with their time.
    """

    def __init__(self, nursery, folder, era, links_all):
        self.store = store_standin.MetadataStore(era)
        self.nodes = {}
        self.cut = set()
        self.cut_links = set()
        self.is_away = False
        self.refuses_renewals = False
        self.links_all = links_all
        self.writes = 0
        self.on_write = lambda number: None
        self.documents = {}
        self._nursery = nursery
        self._folder = folder
        self._scopes = {}

    def count_write(self):
        self.writes += 1
        self.on_write(self.writes)

    def is_linked(self, name, other):
        return (
            not self.cut_links & {name, other}
            and name in self.nodes
            and other in self.nodes
        )

    def configure(self, version, keys=(KEPT_KEY,), rate_per_s=0.0, burst=0.0):
        """Writes a configuration as the operator does."""
        tenant = documents.TenantRow("acme", tuple(keys), rate_per_s, burst)
        document = documents.configuration(version, ROUTES, (tenant,))
        self.count_write()
        self.store.put("op/config", document)
        self.documents[version] = (trio.current_time(), document)
        self.count_write()

    def rewrite_configuration(self):
        """Writes the newest configuration again, as after a drill."""
        self.store.put("op/config", self.documents[max(self.documents)][1])

    def come_back(self, copy):
        """Has the store lose what it acknowledged since a copy."""
        self.store.come_back(copy)

    async def start_node(self, name):
        """Starts a node with a ready target, unless an entry says otherwise."""
        machine = machines.Machine(
            name,
            "zone-a",
            "127.0.0.1",
            SERVICE,
            dict.fromkeys(
                ("Outbound", "Ready", "Control", "Internal", "App"), 20000
            ),
        )
        path = self._folder / f"{name}.json"
        path.write_bytes(machine.boot_file("127.0.0.1:1"))
        store = platform_store.Store("127.0.0.1:1")
        store._pool = _Pool(self, name)
        node = runtimes.Runtime(
            boot.load(
                path,
                node_settings.PolicySection(
                    admission="adaptive", limiter="pooled-share"
                ),
            ),
            interfaces.Platform(
                store, front_end.FrontEnd(), announcements.Codecs()
            ),
            Clock(),
            random.Random(1),
        )
        node.open_link = functools.partial(self._open_link, name)
        self.nodes[name] = node
        self._scopes[name] = trio.CancelScope()
        self._nursery.start_soon(self._run, name, node)

    async def announce(self, name, target_id, state, sequence):
        """Announces a target to its node; returns the acknowledgement."""
        node = self.nodes[name]
        return await announcement_tasks._record(
            node,
            target_id,
            targets.Announcement(
                target_id,
                SERVICE,
                "127.0.0.1:20000",
                8,
                state,
                0.0,
                sequence,
                int(_EPOCH_S * 1000),
            ),
        )

    async def stop_node(self, name):
        """Stops a node as planned."""
        node = self.nodes[name]
        node.is_leaving = True
        node.publish_entry()
        await trio.sleep(0.5)
        with trio.move_on_after(_TIME_OUT_S):
            await own_entry.withdraw(node)
        self.kill_node(name)

    def kill_node(self, name):
        """Ends a node without a planned stop, like a crash."""
        self._scopes[name].cancel()
        del self.nodes[name]

    def stored_entry(self, name):
        """Returns the entry of a node that the store has, or None."""
        item = self.store._items.get(entries.key_of(name))
        if item is None:
            return None
        return entries.decode(platform_store.base64.b64decode(item.value))

    async def _run(self, name, node):
        with self._scopes[name]:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(supervisor.run, node)
                nursery.start_soon(self._follow_fleet, node)
                nursery.start_soon(self._ping_others, name, node)
                nursery.start_soon(joining.run, node, self._introduce)

    async def _introduce(self, node, entry):
        """Introduces a node like the task `joining`, without a socket."""
        name, other = node.settings.host.node_id, entry.node_id
        if other not in self.nodes:
            return joining.Presence.ENDED
        try:
            answer = await link.introduce(node, _Link(self, name, other), other)
        except errors.UnreachableError:
            await trio.sleep(joining._ANSWER_TIMEOUT_S)
            return joining.Presence.SILENT
        return joining.presence_of(entry, answer)

    async def _open_link(self, name, nursery, holder, step):
        del nursery
        if not self.is_linked(name, holder):
            raise errors.UnreachableError(step, holder, "cut")
        return _Link(self, name, holder)

    async def _exchange(self, node, holder):
        while True:
            try:
                await exchange.run(node, holder)
            except* errors.SassafrasError:
                await trio.sleep(_RETRY_S)

    async def _follow_fleet(self, node):
        async with trio.open_nursery() as nursery:
            await self._keep_exchanges(node, nursery)

    async def _keep_exchanges(self, node, nursery):
        exchanges = set()
        while True:
            changed = node.rates.changed
            now = node.clock.now_with_suspend()
            node.fleet.lapse_departed(now)
            for gone in node.fleet.expire(now):
                node.forget_node(gone)
            node.update_readers()
            node.configure_limiter()
            for holder in set(node.limiter.holders) - exchanges:
                exchanges.add(holder)
                nursery.start_soon(self._exchange, node, holder)
            with trio.move_on_after(_ROSTER_S):
                await changed.wait()

    def _linked(self, node):
        node.linked = linking.choose(
            node.entry,
            node.fleet.entries,
            node.unusable_readers,
            needs_all=self.links_all or node.rates.divides_by_demand,
        )
        if self.links_all:
            return [entry.node_id for entry in node.fleet.entries]
        return sorted(node.linked)

    async def _ping_others(self, name, node):
        links = {}
        while True:
            for other_name in self._linked(node):
                opened = links.setdefault(
                    other_name, _Link(self, name, other_name)
                )
                try:
                    await link._ping(node, opened, other_name)
                except errors.SassafrasError:
                    node.unusable_readers.add(other_name)
            await trio.sleep(_PING_S)


@contextlib.asynccontextmanager
async def running(era=1, links_all=True):
    """Runs a fleet without nodes; its store has a configuration."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, pathlib.Path(folder), era, links_all)
            nursery.start_soon(fleet.store._expire_forever)
            fleet.configure(1)
            yield fleet
            nursery.cancel_scope.cancel()


async def until(condition, timeout_s=10.0):
    """Waits until a condition holds."""
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.05)


def run(function, *arguments, **options):
    """Runs a coroutine function on a clock that jumps while all wait.

    The order in which tasks run is the same each time.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    return trio.run(
        functools.partial(function, *arguments, **options),
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
