"""Supervisors: which child a failure restarts, and when one gives up."""

import pytest
import trio

from sassafras_base import supervision

POLICY = supervision.RestartPolicy(
    initial_backoff_s=1.0,
    max_backoff_s=4.0,
    max_failures=4,
    window_s=60.0,
)


def _failing(times, log, name):
    """Returns a child that fails at its first `times` starts, then runs."""

    async def run():
        log.append((name, trio.current_time()))
        if sum(entry[0] == name for entry in log) <= times:
            raise ValueError("a fault of the child")
        await trio.sleep_forever()

    return run


async def test_a_failed_child_restarts_alone_with_a_growing_back_off():
    """Guards against stopped siblings, and restarts in a hot loop."""
    log = []
    supervisor = supervision.Supervisor("test", POLICY)
    start = trio.current_time()
    with trio.move_on_after(30):
        await supervisor.run(
            [
                supervision.Child("sound", _failing(0, log, "sound")),
                supervision.Child("faulty", _failing(3, log, "faulty")),
            ]
        )
    starts = [round(at - start) for name, at in log if name == "faulty"]
    assert starts == [0, 1, 3, 7]
    assert [name for name, _ in log].count("sound") == 1


async def test_too_many_failures_are_passed_to_the_parent():
    """Guards against a supervisor that hides a permanent fault."""
    log = []
    supervisor = supervision.Supervisor("test", POLICY)
    with pytest.raises(supervision.GaveUpError, match="test/faulty"):
        await supervisor.run(
            [supervision.Child("faulty", _failing(99, log, "faulty"))]
        )
    assert len(log) == POLICY.max_failures


async def test_failures_long_ago_do_not_count():
    """Guards against a node that gives up after rare, unrelated failures."""
    starts = []

    async def run():
        starts.append(trio.current_time())
        await trio.sleep(POLICY.window_s + 1)
        raise ValueError("one fault an hour")

    supervisor = supervision.Supervisor("test", POLICY)
    with trio.move_on_after(20 * POLICY.window_s):
        await supervisor.run([supervision.Child("rare", run)])
    assert len(starts) > POLICY.max_failures


async def test_an_interrupted_child_is_restarted_and_a_removed_one_is_not():
    """Guards against tasks that cannot be restarted or stopped one by one."""
    log = []
    supervisor = supervision.Supervisor("test", POLICY)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            supervisor.run, [supervision.Child("a", _failing(0, log, "a"))]
        )
        await trio.sleep(1)
        supervisor.restart("a")
        await trio.sleep(5)
        assert len(log) == 2
        supervisor.remove("a")
        await trio.sleep(5)
        assert supervisor.children == []
        nursery.cancel_scope.cancel()


async def test_keep_only_starts_and_stops_children_of_one_prefix():
    """Guards against links to former neighbours that are never closed."""
    log = []
    supervisor = supervision.Supervisor("test", POLICY)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            supervisor.run,
            [supervision.Child("other", _failing(0, log, "other"))],
        )
        for names in (("a", "b"), ("b", "c")):
            wanted = {name: _failing(0, log, name) for name in names}
            supervisor.reconcile("link:", wanted)
            await trio.sleep(1)
        assert supervisor.children == ["link:b", "link:c", "other"]
        assert [name for name, _ in log].count("b") == 1
        nursery.cancel_scope.cancel()
