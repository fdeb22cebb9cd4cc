"""Levels, transfers and expiry of tokens at one node."""

import math

import pytest

from sassafras_policy.limits import token_share

LIFETIME_S = 0.25


def _share(rate_per_s=10.0, cap=5.0, filled_at=10.0):
    share = token_share.TokenShare(0.0, LIFETIME_S)
    share.resize(rate_per_s, cap, 0.0)
    share.held(filled_at)
    return share


def _give(share, wanted, now, reserve=0.0):
    return share.grant_tokens(wanted, 0.0, reserve, LIFETIME_S, now)


def test_a_new_share_is_empty_for_one_lifetime():
    """Guards against spending tokens that the old process gave away."""
    share = token_share.TokenShare(100.0, LIFETIME_S)
    share.resize(10.0, 5.0, 100.0)
    assert share.held(100.25) == 0.0
    assert share.held(100.35) == pytest.approx(1.0)


def test_given_tokens_count_towards_the_cap_until_they_expire():
    """Guards against refilling tokens that a receiver can still spend."""
    share = _share()
    assert _give(share, 5.0, 10.0) == 5.0
    assert share.held(10.2) == 0.0
    assert share.held(10.25) == 0.0
    assert share.held(10.35) == pytest.approx(1.0)


def test_a_reserve_and_small_amounts_are_not_given():
    """Guards against tokens that nodes only pass back and forth."""
    share = _share()
    assert _give(share, 9.0, 10.0, reserve=2.0) == 3.0
    assert share.grant_tokens(9.0, 2.5, 0.0, LIFETIME_S, 10.0) == 0.0


def test_received_tokens_are_spent_first_and_expire():
    """Guards against tokens spent after their giver has refilled them."""
    share = _share(cap=1.0)
    share.receive(1.0, 10.2, 10.0)
    assert share.take(10.1)
    assert share.held(10.1) == 1.0
    share.receive(1.0, 10.2, 10.1)
    assert share.held(10.2) == 1.0
    share.receive(1.0, 10.2, 10.2)
    assert share.held(10.2) == 1.0


def test_fractions_of_ten_holders_make_one_token():
    """Guards against rounding errors that withhold a whole token."""
    share = _share(rate_per_s=0.0, cap=0.0)
    for _ in range(9):
        share.receive(0.1, 11.0, 10.0)
    assert not share.take(10.0)
    share.receive(0.1, 11.0, 10.0)
    assert share.take(10.0)
    assert share.held(10.0) == pytest.approx(0.0)


def test_a_smaller_cap_includes_outstanding_tokens():
    """Guards against a configuration change that exceeds the new cap."""
    share = _share()
    _give(share, 2.0, 10.0)
    share.resize(10.0, 3.0, 10.0)
    assert share.held(10.0) == 1.0


@pytest.mark.parametrize(
    ("wanted", "due_s"), [(1.0, 0.0), (2.0, 0.1), (4.0, 0.35), (9.0, math.inf)]
)
def test_the_due_time_includes_expiry_of_outstanding_tokens(wanted, due_s):
    """Guards against hints of a time at which no token is available."""
    share = _share()
    # One token is left and one can refill; three more can from 10.25 on.
    _give(share, 1.0, 9.99)
    share.take(9.99)
    _give(share, 2.0, 10.0)
    computed_s = share.available_in_s(wanted, 10.0)
    if math.isinf(due_s):
        assert math.isinf(computed_s)
    else:
        due_at = 10.0 + computed_s
        assert share.held(due_at) >= wanted - 1e-6
        if computed_s:
            before = _share()
            _give(before, 1.0, 9.99)
            before.take(9.99)
            _give(before, 2.0, 10.0)
            assert before.held(due_at - 0.01) < wanted
