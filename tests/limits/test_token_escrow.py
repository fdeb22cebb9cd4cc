"""Token requests and grants of the escrow limiter, one by one."""

import dataclasses

import pytest

from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import limiters
from sassafras_policy.limits import token_escrow
from sassafras_policy.membership import roster as rosters

ORGANISATION = documents.Organisation("national-bank", 100.0, 100.0)
NAME = ORGANISATION.name


def _context(own_id, node_ids=("a", "b", "c"), **changes):
    context = limiters.LimiterContext(
        organisations=(ORGANISATION,),
        own_id=own_id,
        hosts=len(node_ids),
        roster=rosters.Roster(
            epoch=1,
            members=tuple(rosters.Member(n, "desk") for n in node_ids),
        ),
        settled=True,
    )
    return dataclasses.replace(context, **changes)


def _limiter(own_id, **changes):
    limiter = token_escrow.TokenEscrow()
    limiter.configure(_context(own_id, **changes), 0.0)
    return limiter


def _emptied(own_id, now):
    """Returns a limiter without tokens at which a request has arrived."""
    limiter = _limiter(own_id)
    while limiter.take(NAME, now):
        pass
    limiter.record_arrival(NAME, now)
    return limiter


def test_a_duplicate_grant_adds_tokens_once():
    """Guards against tokens created by a duplicate message."""
    requester, holder = _emptied("a", 10.0), _limiter("b")
    token_request = next(
        a for a in requester.plan(NAME, 90, 10.0) if a.holder == "b"
    )
    grant = holder.grant_tokens(NAME, token_request.wanted, 0, 10.0)
    requester.receive(token_request, grant, 10.0, 10.0)
    requester.receive(token_request, grant, 10.0, 10.0)
    taken = 0
    while requester.take(NAME, 10.0):
        taken += 1
    # The requester itself has less than one token left.
    assert int(grant.granted) <= taken <= int(grant.granted) + 1


def test_the_lifetime_starts_when_the_request_is_sent():
    """Guards against tokens whose lifetime a slow response extends."""
    requester, holder = _emptied("a", 10.0), _limiter("b")
    token_request = requester.plan(NAME, 1, 10.0)[0]
    grant = holder.grant_tokens(NAME, token_request.wanted, 0, 10.0)
    late = 10.0 + grant.lifetime_s
    before = requester.available_in_s(NAME, 0, late)
    requester.receive(token_request, grant, 10.0, late)
    own_tokens = 0
    while requester.take(NAME, late):
        own_tokens += 1
    assert before == pytest.approx(0.005)
    # Only the refill of its own share, at a third of the rate.
    assert own_tokens == int((late - 10.0) * 100.0 / 3)


def test_a_holder_gets_one_token_request_at_a_time():
    """Guards against a flood of token requests while responses are slow."""
    requester = _emptied("a", 10.0)
    first = requester.plan(NAME, 50, 10.0)
    assert sorted(token_request.holder for token_request in first) == ["b", "c"]
    assert requester.plan(NAME, 50, 10.01) == ()


def test_an_empty_holder_gets_no_request_before_its_hint():
    """Guards against token requests that cannot succeed."""
    requester, holder = _emptied("a", 10.0), _emptied("b", 10.0)
    token_request = next(
        a for a in requester.plan(NAME, 50, 10.0) if a.holder == "b"
    )
    grant = holder.grant_tokens(NAME, token_request.wanted, 0, 10.0)
    assert grant.granted == 0.0
    assert grant.next_request_in_s > 0.0
    requester.receive(token_request, grant, 10.0, 10.0)
    before_hint = requester.plan(NAME, 50, 10.0 + grant.next_request_in_s / 2)
    assert "b" not in [a.holder for a in before_hint]
    retried = requester.plan(
        NAME, 50, 10.0 + max(0.06, grant.next_request_in_s + 0.01)
    )
    assert "b" in [a.holder for a in retried]


def test_a_holder_with_waiting_requests_grants_nothing():
    """Guards against tokens that two busy nodes pass back and forth."""
    grant = _limiter("b").grant_tokens(NAME, 5.0, 1, 10.0)
    assert grant.granted == 0.0


@pytest.mark.parametrize(
    ("changes", "rate_per_s"),
    [
        ({}, 100 / 3),
        ({"settled": False}, 0.0),
        ({"roster": rosters.Roster()}, 0.0),
    ],
)
def test_the_first_epoch_counts_only_when_it_is_settled(changes, rate_per_s):
    """Guards against nodes that each claim the whole rate."""
    limiter = _limiter("a", **changes)
    taken = 0
    while limiter.take(NAME, 0.25 + 0.5):
        taken += 1
    assert taken == int(rate_per_s * 0.5)


def test_an_unknown_organisation_gets_no_tokens():
    """Guards against a withdrawn organisation that still has a share."""
    limiter = _limiter("a")
    assert not limiter.take("stranger", 10.0)
    assert limiter.plan("stranger", 1, 10.0) == ()
    assert limiter.grant_tokens("stranger", 1.0, 0, 10.0).granted == 0.0
    assert limiter.available_in_s("stranger", 0, 10.0) > 0
