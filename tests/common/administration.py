"""Runs a node and its store in one process, for administration tests."""

import contextlib
import json
import pathlib
import random

import trio

from sassafras_base import clock as clocks
from sassafras_base import hashing
from sassafras_node import runtime as runtimes
from sassafras_node import supervisor
from sassafras_policy.calls import messages
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.store import server as store_server
from sassafras_wire.http import client as http_client
from sassafras_wire.settings import node as node_settings

READER = "credential-of-the-reader"
CHANGER = "credential-of-the-changer"
CONFIG_KEY = "/sassafras/config"
HISTORY = "/sassafras/history/"
AUDIT = "/sassafras/audit/"
TARGET = "127.0.0.1:9999"
WALL_TIME_S = 1_750_000_000.0

QUESTIONNAIRE = """
[deployment]
name = harbour
availability_zones = zone-a
[classes]
order = lodgement, status
[service desk]
targets = 1
slots = 10
connections = 20
[organisation national-bank]
rate_per_s = 100
burst = 50
[organisation cooperative]
rate_per_s = 10
burst = 20
[route status]
service = desk
method = GET
path = /desk/**
class = status
at_most_once = no
deadline_ms = 2000
[route lodge]
service = desk
method = POST
path = /desk/cheques
class = lodgement
at_most_once = yes
deadline_ms = 5000
"""

# The same questionnaire with another rate, and with two faults.
REVISED = QUESTIONNAIRE.replace("rate_per_s = 100", "rate_per_s = 200")
FAULTY = QUESTIONNAIRE.replace("rate_per_s = 100", "rate_per_s = 0").replace(
    "class = status", "class = stats"
)


class FixedClock(clocks.SystemClock):
    """A clock with a constant wall time, for golden files."""

    def wall(self):
        return WALL_TIME_S


class Response:
    """A response of the administration API."""

    def __init__(self, response):
        self.status = response.status
        self.text = response.body.decode()

    @property
    def json(self):
        return json.loads(self.text)


class Site:
    """A node and its store.

    Attributes:
      address: The node's listening address for operators.
      runtime: Runtime of the node.
      store: The store stand-in.
      folder: Folder with the node's files.
    """

    def __init__(self, address, runtime, store, folder):
        self.address = address
        self.runtime = runtime
        self.store = store
        self.folder = folder

    async def request(self, method, path, content=None, credential=CHANGER):
        """Sends content as JSON, or unchanged if it is bytes."""
        headers = [("content-type", "application/json")]
        if credential:
            headers.append(("authorization", f"Bearer {credential}"))
        body = b"" if content is None else content
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        connection = await http_client.ClientConnection.connect(
            self.address, "test", 4_000_000, 5.0
        )
        try:
            return Response(
                await connection.exchange(
                    messages.Request(method, path, tuple(headers), body)
                )
            )
        finally:
            await connection.close()

    async def apply(self, text=QUESTIONNAIRE, expected=0, **extra):
        return await self.request(
            "POST",
            "/configuration/apply",
            {"questionnaire": text, "expected_revision": expected, **extra},
        )

    async def announce(self, address, **changes):
        """Announces a target to the node, as the target does."""
        content = {
            "address": address,
            "service": "desk",
            "slots": 10,
            "connections": 20,
            **changes,
        }
        connection = await http_client.ClientConnection.connect(
            self.runtime.settings.host.target_address, "test", 4_000_000, 5.0
        )
        try:
            response = await connection.exchange(
                messages.Request(
                    "PUT",
                    "/sassafras/announcement",
                    (),
                    json.dumps(content).encode(),
                )
            )
            assert response.status == 200, response.body
        finally:
            await connection.close()

    def changes(self):
        """Returns all keys in the store that operators' changes write."""
        return {
            **self.stored("/sassafras/config"),
            **self.stored("/sassafras/history/"),
            **self.stored("/sassafras/audit/"),
        }

    def stored(self, prefix):
        """Returns the decoded values in the store by key, below a prefix."""
        return {
            key.decode(): json.loads(entry.value)
            for key, entry in self.store.data.entries.items()
            if key.startswith(prefix.encode())
        }


def operators_file(folder):
    """Writes a file of operators and returns its path."""
    path = pathlib.Path(folder) / "operators.ini"
    path.write_text(
        f"[rita]\nrole = read\ndigest = {hashing.digest(READER)}\n"
        f"[carl]\nrole = change\ndigest = {hashing.digest(CHANGER)}\n"
    )
    return path


@contextlib.asynccontextmanager
async def site(folder, *, with_operators=True, peer_site=None):
    """Runs a node and its store until the context exits.

    If `peer_site` is another site, the node uses the store of that site and has
    its node as a seed.
    """
    folder = pathlib.Path(folder)
    folder.mkdir(exist_ok=True)
    (folder / "secret").write_text("a-secret-for-loopback-only")
    addresses = launcher.make_host("only", "zone-a", service="desk")
    store_address = launcher.free_address()
    seeds = ""
    if peer_site is not None:
        store_address = peer_site.runtime.settings.store.endpoints[0]
        seeds = peer_site.runtime.table.own_id
    settings = node_settings.NodeSettings.model_validate(
        {
            "host": {
                "availability_zone": "zone-a",
                "caller_address": addresses.caller_address,
                "target_address": addresses.target_address,
                "peer_address": addresses.peer_address,
                "admin_address": addresses.admin_address,
            },
            "peers": {"secret_file": str(folder / "secret"), "seeds": seeds},
            "store": {"endpoints": store_address, "timeout_s": 1.0},
            "admin": {
                "operators_file": str(operators_file(folder))
                if with_operators
                else ""
            },
        }
    )
    store = peer_site.store if peer_site else store_server.StoreServer()
    runtime = runtimes.Runtime(settings, FixedClock(), random.Random(1))
    async with trio.open_nursery() as nursery:
        if peer_site is None:
            await nursery.start(store.listen, store_address)
        await nursery.start(supervisor.run, runtime)
        yield Site(addresses.admin_address, runtime, store, folder)
        nursery.cancel_scope.cancel()


CALLER_KEY = samples.NATIONAL_KEY


async def prepare(site):
    """Applies a configuration, grants a key and announces a target."""
    assert (await site.apply()).status == 200
    granted = await site.request(
        "POST",
        "/keys/grant",
        {"organisation": "cooperative", "label": "main"},
    )
    assert granted.status == 200
    await site.announce(TARGET)
    return granted.json["key"]


def outcomes(site):
    """Returns action and outcome of each audit record, in order."""
    records = sorted(site.stored(AUDIT).values(), key=lambda r: r["number"])
    return [(record["action"], record["outcome"]) for record in records]
