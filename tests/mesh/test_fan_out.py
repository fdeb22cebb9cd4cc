"""What responses tell about the services behind a route."""

import cbor2

from sassafras_policy.admission import by_deadline
from sassafras_policy.admission import priorities
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import reports
from sassafras_policy.mesh import fan_out
from sassafras_wire.mesh import call_messages

ROOM = reports.Room(0.5, 0.0, 0.5)


def _report(service, calls=1, slot_s=0.1, room=ROOM, age_s=0.0):
    return reports.ServiceReport(service, calls, slot_s, room, age_s)


def _pass_on(found):
    """Returns reports as the next node decodes them."""
    response = messages.CallResponse(
        outcome=outcomes.Outcome.RAN, reports=tuple(found)
    )
    content = cbor2.loads(call_messages.encode_answer(response, False))
    message = call_messages.AnswerMessage.model_validate(content)
    return call_messages.to_response(message, "any").reports


def _request(depth_calls, now=0.0):
    """Returns the reports of a request whose targets call the next service."""
    (service, _count), *deeper = depth_calls
    total = reports.ReportSum()
    total.add((_report(service),), now)
    if deeper:
        for _ in range(deeper[0][1]):
            total.add(_pass_on(_request(deeper, now)), now)
    return total.reports(now)


def test_calls_of_all_depths_add_up():
    """Guards against a cost that ends at the first sub-call."""
    levels = [("desk", 1), ("core", 2), ("docs", 1), ("roster", 4)]
    found = {report.service: report for report in _request(levels)}
    assert {s: r.calls for s, r in found.items()} == {
        "desk": 1,
        "core": 2,
        "docs": 2,
        "roster": 8,
    }
    assert abs(found["roster"].slot_s - 0.8) < 1e-6


def test_costs_follow_a_route_that_stops_calling_a_service():
    """Guards against requests refused for a service that they do not need."""
    costs = fan_out.FanOut()
    for number in range(20):
        found = (_report("desk"), _report("roster", calls=8, slot_s=0.5))
        costs.record("lookup", "desk", found, 1.0, number * 0.1)
    assert abs(costs.costs("lookup", "desk")["roster"].slot_s - 0.5) < 1e-6
    assert costs.costs("lookup", "other") == {}
    for number in range(60):
        costs.record("lookup", "desk", (_report("desk"),), 0.4, 2.0 + number)
    assert set(costs.costs("lookup", "desk")) == {"desk"}
    assert costs.duration_s("lookup", "desk") < 0.5
    costs.keep_routes(frozenset(["other"]))
    assert costs.costs("lookup", "desk") == {}


def test_nonsense_in_reports_is_bounded():
    """Guards against one node that closes a service for all others."""
    content = cbor2.loads(
        call_messages.encode_answer(
            messages.CallResponse(outcome=outcomes.Outcome.RAN), False
        )
    )
    assert "reports" not in content
    content["reports"] = [
        ("a", 10**9, 10**9, 10**9, 10**9, 10**9, 0),
        ("b", 0, 1, 1, 1, 1, 1),
        ("c", 1, 1, -1, 1, 1, 1),
    ]
    message = call_messages.AnswerMessage.model_validate(content)
    (report,) = call_messages.to_response(message, "any").reports
    assert report.service == "a"
    assert report.room.pressure <= 4.0
    assert report.room.wait_s <= 5.0


def test_pressure_tells_an_excess_before_the_queue_has_grown():
    """Guards against requests admitted until calls are late."""
    policy = by_deadline.ByDeadline(10, priorities.PriorityScale())
    now = 0.0
    for number in range(400):
        now = number * 0.01
        policy.decide(
            messages.CallContext("r", "", 0, 0, now + 9.0, 1, False), now
        )
        policy.finished(0.05, True, now)
    # 100 calls a second of 50 ms each keep 5 slots busy.
    assert 0.4 < policy.room(now).pressure < 1.1
    limit = policy.limit
    expected = 5.0 / limit
    assert abs(policy.room(now).pressure - expected) < 0.2 * expected
