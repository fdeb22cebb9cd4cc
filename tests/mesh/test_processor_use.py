"""What a node reports of the use of its processor."""

import itertools

import trio

from sassafras_base import supervision
from sassafras_base import task_times
from sassafras_node.mesh import measurements
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes


async def test_time_of_tasks_is_added_up_by_child(monkeypatch):
    """Guards against work of a session that no child accounts for."""
    # Each reading of the clock is one second later, so each step takes one.
    seconds = itertools.count()
    monkeypatch.setattr(task_times.time, "perf_counter", lambda: next(seconds))
    steps = 10

    async def work():
        for _ in range(steps):
            await trio.lowlevel.checkpoint()
        await trio.sleep_forever()

    async def spawn():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(work)
            nursery.start_soon(work)

    times = task_times.TaskTimes()
    found = {}

    async def measure():
        found.update(await times.sample(1.0))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(measure)
        nursery.start_soon(
            supervision.Supervisor("node").run,
            [
                supervision.Child("sessions:a", spawn),
                supervision.Child("sessions:b", spawn),
                supervision.Child("idle", trio.sleep_forever),
            ],
        )
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    assert found["node/sessions"] >= 4 * steps
    assert found["node/idle"] < steps


def _response(outcome, status, reason=outcomes.Reason.NONE):
    return messages.CallResponse(outcome=outcome, status=status, reason=reason)


def test_calls_that_ran_with_an_error_are_counted_apart():
    """Guards against failed work that looks like work in the counters."""
    counted = measurements.Measurements()
    ran = outcomes.Outcome.RAN
    for status in (200, 404, 500):
        counted.count_end("requests", _response(ran, status))
    refused = _response(
        outcomes.Outcome.NOT_RUN, 503, outcomes.Reason.TURNED_AWAY
    )
    counted.count_end("requests", refused)
    assert counted.take_ends() == {
        "requests ran": 2,
        "requests ran-with-error": 1,
        "requests turned-away": 1,
    }
    counted.count_end("requests", refused)
    assert counted.take_ends() == {"requests turned-away": 1}
    text = counted.render({})
    assert 'sassafras_requests_total{kind="turned-away"} 2.0' in text


def test_busy_time_is_on_the_metrics_page():
    """Guards against a full node whose metrics do not tell what filled it."""
    counted = measurements.Measurements()
    counted.add_task_times({"node/mesh/store/members": 0.25})
    counted.add_task_times({"node/mesh/store/members": 0.5})
    text = counted.render({})
    task = 'task="node/mesh/store/members"'
    assert f"sassafras_task_seconds_total{{{task}}} 0.75" in text
