"""Nodes for tests of calls: in one process, with sockets on loopback."""

import contextlib
import dataclasses
import pathlib
import random
import tempfile

import trio.testing

from sassafras_base import clock as clocks
from sassafras_base import hashing
from sassafras_node import runtime as runtimes
from sassafras_node.peers import supervisor as peers
from sassafras_node.targets import announcements
from sassafras_node.targets import supervisor as targets
from sassafras_policy.calls import messages
from sassafras_policy.configuration import document as documents
from sassafras_policy.membership import records
from sassafras_policy.membership import roster as rosters
from sassafras_standins.fleet import launcher
from sassafras_wire.settings import node as node_settings

KEY = "key-of-the-bank"
OTHER_KEY = "key-of-the-cooperative"


def document(services, deadline_ms=2000):
    """Returns a configuration with three routes for each service.

    POST is at most once, GET is not, and /<service>/open needs no key.
    """
    routes = []
    for name in services:
        routes += [
            documents.Route(
                name, "GET", f"/{name}/open", "status", False, True, deadline_ms
            ),
            documents.Route(
                name, "POST", f"/{name}/**", "entry", True, False, deadline_ms
            ),
            documents.Route(
                name, "GET", f"/{name}/**", "status", False, False, deadline_ms
            ),
        ]
    return documents.Document(
        revision=1,
        classes=("entry", "status"),
        services=tuple(documents.Service(name) for name in services),
        routes=tuple(routes),
        organisations=(
            documents.Organisation(
                "bank",
                10000.0,
                10000.0,
                (documents.Key("main", hashing.digest(KEY)),),
            ),
            documents.Organisation(
                "cooperative",
                10000.0,
                10000.0,
                (documents.Key("main", hashing.digest(OTHER_KEY)),),
            ),
        ),
    )


@dataclasses.dataclass
class Host:
    """A node, and the service and address of its local target."""

    runtime: runtimes.Runtime
    service: str
    target_address: str

    @property
    def node_id(self):
        return self.runtime.table.own_id

    @property
    def sub_call_address(self):
        return self.runtime.settings.host.target_address


class NoLimit:
    """A limit gate that admits every request."""

    async def admit(self, organisation):
        del organisation


def make_runtime(folder, **policy):
    secret = pathlib.Path(folder) / "secret"
    secret.write_text("a-secret-for-tests-only")
    host = {
        name: launcher.free_address()
        for name in (
            "caller_address",
            "target_address",
            "peer_address",
            "admin_address",
        )
    }
    settings = node_settings.NodeSettings.model_validate(
        {
            "host": {"availability_zone": "zone-a", **host},
            "peers": {
                "secret_file": str(secret),
                "connections_per_peer": policy.pop("connections_per_peer", 32),
            },
            "policy": policy,
        }
    )
    runtime = runtimes.Runtime(settings, clocks.TrioClock(), random.Random(1))
    runtime.limit_gate = NoLimit()
    return runtime


class Fleet:
    """Nodes that have each other's records, without failure detection."""

    def __init__(self, nursery, folder, services, deadline_ms, policy):
        self._nursery = nursery
        self._folder = folder
        self._document = document(services, deadline_ms)
        self._policy = policy
        self.hosts = []

    async def add(self, service="", *, slots=1000, connections=256, address=""):
        """Starts a node; the test starts its target."""
        runtime = make_runtime(self._folder, **self._policy)
        host = Host(runtime, service, address or launcher.free_address())
        runtime.configuration.offer(self._document)
        for listener in (
            peers.make_listener(runtime),
            targets.make_listener(runtime),
        ):
            listener.bind()
            self._nursery.start_soon(listener.run_sessions)
            self._nursery.start_soon(listener.accept)
        self._nursery.start_soon(runtime.peer_pools.run_readers)
        self._nursery.start_soon(runtime.disconnects.run)
        self._nursery.start_soon(runtime.idle_deadlines.run)
        # Calls are refused until the task of the readers runs.
        await trio.testing.wait_all_tasks_blocked()
        if service:
            await runtime.target.announce(
                records.Announcement(
                    address=host.target_address,
                    service=service,
                    slots=slots,
                    connections=connections,
                    cold_start_s=0.0,
                    state=records.TargetState.SERVING,
                )
            )
            announcements.publish(runtime)
        self.hosts.append(host)
        self.exchange_records()
        return host

    def exchange_records(self):
        """Merges the current records of all nodes into each table."""
        own = [host.runtime.table.own for host in self.hosts]
        for host in self.hosts:
            host.runtime.table.merge(own)

    def set_roster(self, epoch=1):
        """Makes a roster of all hosts with targets current at every node."""
        earlier = self.hosts[0].runtime.roster.current.node_ids
        roster = rosters.Roster(
            epoch,
            tuple(
                rosters.Member(
                    host.node_id,
                    host.service,
                    host.runtime.table.own.incarnation,
                )
                for host in self.hosts
                if host.service
            ),
            earlier=(earlier,),
        )
        for host in self.hosts:
            host.runtime.roster.offer(roster)


@contextlib.asynccontextmanager
async def fleet(nursery, services, deadline_ms=2000, **policy):
    with tempfile.TemporaryDirectory() as folder:
        yield Fleet(nursery, folder, services, deadline_ms, policy)
        nursery.cancel_scope.cancel()


def request(method, path, body=b"", key=KEY, **headers):
    fields = [(k.replace("_", "-"), v) for k, v in headers.items()]
    if key:
        fields.append(("authorization", f"Bearer {key}"))
    return messages.Request(method, path, tuple(fields), body)
