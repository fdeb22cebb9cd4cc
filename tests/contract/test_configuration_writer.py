"""The configuration writer and the store client under store faults."""

import contextlib
import dataclasses

import pytest
import result
import trio

from sassafras_policy.configuration import document as documents
from sassafras_standins.fleet import launcher
from sassafras_standins.fleet import samples
from sassafras_standins.store import faults
from sassafras_standins.store import server
from sassafras_wire.configuration import models as configuration_models
from sassafras_wire.settings import node as node_settings
from sassafras_wire.store import client as store_client
from sassafras_wire.store import configuration_writer as writers

pytestmark = pytest.mark.loopback

_KEY = "/sassafras/config"
_TIMEOUT_S = 0.3


class CountingServer(server.StoreServer):
    """A store stand-in that counts the connections it accepts."""

    accepted = 0

    async def serve(self, stream):
        self.accepted += 1
        await super().serve(stream)


class StoreFixture:
    """A store stand-in with a client and a writer."""

    def __init__(self, store, address):
        self.store = store
        self.client = store_client.StoreClient(
            node_settings.StoreSection(
                endpoints=(address,), timeout_s=_TIMEOUT_S
            )
        )
        self.writer = writers.ConfigurationWriter(self.client, _KEY, 3.0)

    async def put(self, document):
        found = await self.client.get(_KEY)
        assert await self.client.put_if(
            _KEY,
            configuration_models.encode(document),
            found.mod_revision if found else 0,
        )

    async def stored(self):
        found = await self.client.get(_KEY)
        return configuration_models.decode(found.value, "store")


@contextlib.asynccontextmanager
async def _store_fixture():
    store = CountingServer()
    address = launcher.free_address()
    async with trio.open_nursery() as nursery:
        await nursery.start(store.listen, address)
        fixture = StoreFixture(store, address)
        await fixture.put(samples.document(revision=1))
        try:
            yield fixture
        finally:
            await fixture.client.close()
            nursery.cancel_scope.cancel()


def _change(note):
    return dataclasses.replace(samples.document(), note=note)


async def test_a_write_gets_the_next_revision_and_a_fresh_write_id():
    """Guards against revisions that operators choose themselves."""
    async with _store_fixture() as fixture:
        outcome = await fixture.writer.write(_change("first"), 1)
        assert isinstance(outcome, result.Ok)
        assert outcome.ok_value.revision == 2
        stored = await fixture.stored()
        assert stored == outcome.ok_value.document
        again = await fixture.writer.write(_change("second"), 2)
        assert again.ok_value.revision == 3
        assert again.ok_value.document.write_id != stored.write_id


async def test_a_write_from_an_old_revision_is_a_conflict_with_the_newer():
    """Guards against an operator who overwrites the change of another."""
    async with _store_fixture() as fixture:
        await fixture.writer.write(_change("of the other"), 1)
        outcome = await fixture.writer.write(_change("mine"), 1)
        assert isinstance(outcome.err_value, writers.Conflict)
        assert outcome.err_value.document.note == "of the other"
        assert (await fixture.stored()).note == "of the other"


async def test_of_writers_that_race_exactly_one_succeeds():
    """Guards against two operators who both believe that they were first."""
    async with _store_fixture() as fixture:
        outcomes = []

        async def write(note):
            outcomes.append(await fixture.writer.write(_change(note), 1))

        async with trio.open_nursery() as nursery:
            for number in range(5):
                nursery.start_soon(write, f"change {number}")
        written = [o.ok_value for o in outcomes if o.is_ok()]
        assert len(written) == 1
        assert await fixture.stored() == written[0].document
        for outcome in outcomes:
            if outcome.is_err():
                assert outcome.err_value.document == written[0].document


async def test_the_first_document_needs_revision_0():
    """Guards against a fleet that can never be configured."""
    store = server.StoreServer()
    address = launcher.free_address()
    async with trio.open_nursery() as nursery:
        await nursery.start(store.listen, address)
        fixture = StoreFixture(store, address)
        outcome = await fixture.writer.write(_change("early"), 4)
        assert outcome.err_value == writers.Conflict(None)
        outcome = await fixture.writer.write(_change("first"), 0)
        assert outcome.ok_value.revision == 1
        await fixture.client.close()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("down_s", [0.0, 1.2], ids=["at once", "after outage"])
async def test_a_lost_response_is_resolved_by_reading_back(down_s):
    """Guards against a stored change that is reported as failed."""
    async with _store_fixture() as fixture:
        fixture.store.faults.lose_next = 1

        async def outage():
            while fixture.store.faults.lose_next:
                await trio.sleep(0.01)
            if down_s:
                fixture.store.faults.mode = faults.Mode.DOWN
                await trio.sleep(down_s)
                fixture.store.faults.mode = faults.Mode.NORMAL

        async with trio.open_nursery() as nursery:
            nursery.start_soon(outage)
            outcome = await fixture.writer.write(_change("lost answer"), 1)
        assert outcome.is_ok(), outcome
        assert outcome.ok_value.revision == 2
        assert await fixture.stored() == outcome.ok_value.document


async def test_a_lost_response_of_a_write_replaced_since_is_written():
    """Guards against reporting a stored change as lost after a later one."""
    async with _store_fixture() as fixture:
        fixture.store.faults.lose_next = 1
        other = writers.ConfigurationWriter(fixture.client, _KEY, 3.0)

        async def replace():
            while fixture.store.faults.lose_next:
                await trio.sleep(0.01)
            assert (await other.write(_change("later"), 2)).is_ok()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(replace)
            outcome = await fixture.writer.write(_change("mine"), 1)
        assert outcome.ok_value.revision == 2
        assert (await fixture.stored()).note == "later"


async def test_a_lost_response_of_a_write_that_lost_the_race_is_a_conflict():
    """Guards against success for a revision that another writer stored."""
    async with _store_fixture() as fixture:
        original = fixture.client.put_if

        async def lose_race(key, value, mod_revision, lease=0):
            fixture.client.put_if = original
            other = writers.ConfigurationWriter(fixture.client, _KEY, 3.0)
            assert (await other.write(_change("other"), 1)).is_ok()
            raise store_client.StoreUnavailableError("store", "x", "lost")

        fixture.client.put_if = lose_race
        outcome = await fixture.writer.write(_change("mine"), 1)
        assert isinstance(outcome.err_value, writers.Conflict)
        assert outcome.err_value.document.note == "other"


async def test_an_outage_longer_than_the_resolution_is_an_unknown_outcome():
    """Guards against a definite result while the outcome is unknown."""
    async with _store_fixture() as fixture:
        writer = writers.ConfigurationWriter(fixture.client, _KEY, 1.0)
        fixture.store.faults.lose_next = 1

        async def outage():
            while fixture.store.faults.lose_next:
                await trio.sleep(0.01)
            fixture.store.faults.mode = faults.Mode.DOWN

        async with trio.open_nursery() as nursery:
            nursery.start_soon(outage)
            outcome = await writer.write(_change("lost"), 1)
        assert isinstance(outcome.err_value, writers.Unknown)
        assert outcome.err_value.revision == 2
        fixture.store.faults.mode = faults.Mode.NORMAL
        assert (await fixture.stored()).write_id == outcome.err_value.write_id


@pytest.mark.parametrize(
    "mode, delay_s",
    [(faults.Mode.DOWN, 0.0), (faults.Mode.SLOW, 2 * _TIMEOUT_S)],
    ids=["down", "slow"],
)
async def test_a_store_that_does_not_respond_stores_nothing(mode, delay_s):
    """Guards against a hanging write, and success without a stored change."""
    async with _store_fixture() as fixture:
        fixture.store.faults.mode = mode
        fixture.store.faults.delay_s = delay_s
        with trio.fail_after(4 * _TIMEOUT_S):
            outcome = await fixture.writer.write(_change("no"), 1)
        assert isinstance(outcome.err_value, writers.NotStored)
        fixture.store.faults.mode = faults.Mode.NORMAL
        await trio.sleep(2 * _TIMEOUT_S)
        assert (await fixture.stored()).revision == 1


async def test_a_store_that_refuses_connections_stores_nothing():
    """Guards against an unknown outcome although nothing was sent."""
    client = store_client.StoreClient(
        node_settings.StoreSection(endpoints=(launcher.free_address(),))
    )
    writer = writers.ConfigurationWriter(client, _KEY)
    outcome = await writer.write(_change("no"), 1)
    assert isinstance(outcome.err_value, writers.NotStored)


@pytest.mark.parametrize(
    "changes, fault",
    [
        ({"classes": ()}, "not among the classes"),
        (
            {"organisations": (documents.Organisation("x", 0.0, 1.0),)},
            "rate_per_s",
        ),
        (
            {
                "organisations": (
                    documents.Organisation(
                        "x", 1.0, 1.0, (documents.Key("k", "a-plain-key"),)
                    ),
                )
            },
            "digest",
        ),
        ({"note": "x" * writers.MAX_DOCUMENT_BYTES}, "at most"),
    ],
    ids=["unknown class", "rate of 0", "a key as text", "too large"],
)
async def test_an_invalid_document_is_never_sent(changes, fault):
    """Guards against a stored revision that every node rejects."""
    async with _store_fixture() as fixture:
        calls = fixture.client.calls
        outcome = await fixture.writer.write(
            dataclasses.replace(samples.document(), **changes), 1
        )
        assert isinstance(outcome.err_value, writers.Invalid)
        assert fault in " ".join(outcome.err_value.faults)
        assert fixture.client.calls == calls


async def test_calls_reuse_a_connection_and_survive_a_server_that_closes_it():
    """Guards against a new connection for each lease renewal."""
    async with _store_fixture() as fixture:
        for _ in range(5):
            await fixture.client.get(_KEY)
        assert fixture.store.accepted == 1
        fixture.store.faults.mode = faults.Mode.DOWN
        with pytest.raises(store_client.StoreUnavailableError):
            await fixture.client.get(_KEY)
        fixture.store.faults.mode = faults.Mode.NORMAL
        assert (await fixture.stored()).revision == 1
        assert fixture.store.accepted == 2
