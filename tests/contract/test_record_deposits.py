"""Idempotency records deposited with a peer while their home restarts."""

from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.idempotency import record_deposits
from sassafras_policy.idempotency import records


def _entries(count, size=10):
    response = messages.CallResponse(outcomes.Outcome.RAN, body=b"x" * size)
    return [
        (f"key {number}", records.Record(b"f", response, True, 900.0 + number))
        for number in range(count)
    ]


def _take_all(deposits, owner, now=1.0):
    taken, is_first = [], True
    while True:
        part = deposits.take(owner, is_first, now)
        if part is None:
            return None
        taken += part[0]
        if part[1]:
            return taken
        is_first = False


def test_a_deposit_is_returned_whole_and_once():
    """Guards against two nodes, or two incarnations, with the same records."""
    deposits = record_deposits.RecordDeposits()
    entries = _entries(1200)
    parts = list(record_deposits.chunks(entries))
    assert len(parts) == 3
    for number, part in enumerate(parts):
        assert deposits.receive("a", part, number == len(parts) - 1, 0.0)
    assert _take_all(deposits, "b") is None
    assert _take_all(deposits, "a") == entries
    assert _take_all(deposits, "a") is None


def test_an_empty_deposit_shows_that_no_record_is_missing():
    """Guards against a home without records that counts as having lost them."""
    deposits = record_deposits.RecordDeposits()
    assert deposits.receive("a", [], True, 0.0)
    assert _take_all(deposits, "a") == []


def test_an_incomplete_deposit_is_not_returned():
    """Guards against restoring some of the records as if they were all."""
    deposits = record_deposits.RecordDeposits()
    assert deposits.receive("a", _entries(5), False, 0.0)
    assert _take_all(deposits, "a") is None


def test_the_rest_of_a_partly_returned_deposit_is_not_returned():
    """Guards against a second restart that restores only the rest."""
    deposits = record_deposits.RecordDeposits()
    assert deposits.receive("a", _entries(1200), True, 0.0)
    assert deposits.take("a", True, 1.0) is not None
    assert _take_all(deposits, "a") is None


def test_deposits_expire_and_are_bounded():
    """Guards against returning records after newer ones were created."""
    deposits = record_deposits.RecordDeposits()
    for owner in "abcd":
        assert deposits.receive(owner, _entries(1), True, 0.0)
    assert not deposits.receive("e", _entries(1), True, 1.0)
    assert _take_all(deposits, "a", now=records.LIFETIME_S) is None
    assert deposits.receive("e", _entries(1), True, records.LIFETIME_S)


def test_parts_are_bounded_by_bytes():
    """Guards against messages that exceed the maximum frame size."""
    sizes = [
        sum(len(record.answer.body) for _, record in part)
        for part in record_deposits.chunks(_entries(20, size=100_000))
    ]
    assert sum(sizes) == 2_000_000
    assert max(sizes) <= record_deposits.CHUNK_BYTES


def test_records_are_restored_in_the_order_of_their_expiry():
    """Guards against a restored record that outlives or blocks the others."""
    table = records.RecordTable()
    for number in range(3):
        table.begin(f"key {number}", b"f", float(number))
        table.finish(
            f"key {number}",
            messages.CallResponse(outcomes.Outcome.RAN, body=b"12345"),
            float(number),
        )
    entries = table.take_ended(5.0)
    assert len(table) == table.response_bytes == 0
    for key, record in entries:
        table.restore(key, record)
    assert table.response_bytes == 15
    assert table.begin("key 0", b"f", 899.0) is records.KeyDecision.STORED
    assert table.begin("key 0", b"f", 900.0) is records.KeyDecision.RUN
    assert table.begin("key 2", b"f", 901.0) is records.KeyDecision.STORED
