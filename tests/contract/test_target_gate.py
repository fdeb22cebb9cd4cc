"""Waiting for admission to a target, on the mock clock."""

import trio
import trio.testing

from sassafras_base import clock as clocks
from sassafras_node.targets import gate as gates
from sassafras_policy.admission import policies
from sassafras_policy.admission import priorities
from sassafras_policy.calls import messages


def _context(priority=2, deadline=1000.0):
    return messages.CallContext(
        root_id="root",
        organisation="bank",
        priority=priority,
        bucket=0,
        deadline=trio.current_time() + deadline,
        depth=0,
        at_most_once=False,
    )


def _gate(slots=1):
    policy = policies.Adaptive(slots, priorities.scale_of_classes(3))
    return gates.AdmissionGate(policy, clocks.TrioClock())


async def _enter(gate, context, results, name):
    results.append((name, await gate.enter(context), trio.current_time()))


async def test_waiters_are_admitted_by_class_as_slots_become_free():
    """Guards against waiters that are not woken and against a wrong order."""
    gate = _gate()
    assert await gate.enter(_context()) is gates.AdmissionResult.ADMITTED
    results = []
    async with trio.open_nursery() as nursery:
        for name, priority in (("status", 2), ("settlement", 0)):
            nursery.start_soon(_enter, gate, _context(priority), results, name)
            await trio.testing.wait_all_tasks_blocked()
        for _ in range(2):
            await trio.sleep(0.02)
            gate.leave(0.02, True)
    assert [(name, result) for name, result, _ in results] == [
        ("settlement", gates.AdmissionResult.ADMITTED),
        ("status", gates.AdmissionResult.ADMITTED),
    ]


async def test_a_waiter_gives_up_after_the_maximum_wait():
    """Guards against queues that hold calls until their deadlines."""
    gate = _gate()
    await gate.enter(_context())
    began = trio.current_time()
    assert await gate.enter(_context()) is gates.AdmissionResult.REFUSED
    assert 0.09 < trio.current_time() - began < 0.11


async def test_a_waiter_that_is_cancelled_leaves_the_queue():
    """Guards against slots granted to callers that have disconnected."""
    gate = _gate()
    await gate.enter(_context())
    with trio.move_on_after(0.01):
        await gate.enter(_context())
    gate.leave(0.02, True)
    assert gate.load == 0.0
    assert await gate.enter(_context()) is gates.AdmissionResult.ADMITTED


async def test_a_slot_granted_to_a_cancelled_waiter_is_not_lost():
    """Guards against a limit that shrinks with each cancelled call."""
    gate = _gate()
    await gate.enter(_context())
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_enter, gate, _context(), [], "waiter")
            await trio.testing.wait_all_tasks_blocked()
            gate.leave(0.02, True)
            scope.cancel()
    # The waiter was admitted and then cancelled, or admitted and returned.
    if gate.load:
        gate.leave(0.0, True)
    assert await gate.enter(_context()) is gates.AdmissionResult.ADMITTED


async def test_a_paused_call_frees_a_slot_for_a_waiter():
    """Guards against calls that wait although the target is idle."""
    gate = _gate(slots=4)
    for _ in range(gate.limit):
        assert await gate.enter(_context()) is gates.AdmissionResult.ADMITTED
    results = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_enter, gate, _context(), results, "waiter")
        await trio.testing.wait_all_tasks_blocked()
        assert not results
        gate.pause()
    assert results[0][1] is gates.AdmissionResult.ADMITTED


async def test_a_waiter_displaced_by_a_more_important_call_is_refused_at_once():
    """Guards against displaced calls that hang until their wait ends."""
    gate = _gate()
    await gate.enter(_context())
    results = []
    async with trio.open_nursery() as nursery:
        for number in range(2):
            nursery.start_soon(
                _enter, gate, _context(2, 10.0 + number), results, number
            )
            await trio.testing.wait_all_tasks_blocked()
        began = trio.current_time()
        nursery.start_soon(_enter, gate, _context(0), results, "important")
        await trio.testing.wait_all_tasks_blocked()
        assert results == [(1, gates.AdmissionResult.REFUSED, began)]
        for _ in range(2):
            gate.leave(0.01, True)
