"""Asks and grants of the escrow, message by message."""

import dataclasses

import pytest

from sassafras_policy.configuration import document as documents
from sassafras_policy.limits import limiters
from sassafras_policy.limits import token_escrow
from sassafras_policy.membership import roster as rosters

ORGANISATION = documents.Organisation("national-bank", 100.0, 100.0)
NAME = ORGANISATION.name


def _situation(own_id, node_ids=("a", "b", "c"), **changes):
    situation = limiters.Situation(
        organisations=(ORGANISATION,),
        own_id=own_id,
        hosts=len(node_ids),
        roster=rosters.Roster(
            epoch=1,
            members=tuple(rosters.Member(n, "desk") for n in node_ids),
        ),
        settled=True,
    )
    return dataclasses.replace(situation, **changes)


def _limiter(own_id, **changes):
    limiter = token_escrow.TokenEscrow()
    limiter.configure(_situation(own_id, **changes), 0.0)
    return limiter


def _emptied(own_id, now):
    """A limiter without tokens that has just been refused one."""
    limiter = _limiter(own_id)
    while limiter.take(NAME, now):
        pass
    limiter.arrived(NAME, now)
    return limiter


def test_an_answer_that_arrives_twice_adds_tokens_once():
    """Guards against tokens that a doubled message creates."""
    asker, holder = _emptied("a", 10.0), _limiter("b")
    ask = next(a for a in asker.plan(NAME, 90, 10.0) if a.holder == "b")
    grant = holder.give(NAME, ask.wanted, 0, 10.0)
    asker.receive(ask, grant, 10.0, 10.0)
    asker.receive(ask, grant, 10.0, 10.0)
    taken = 0
    while asker.take(NAME, 10.0):
        taken += 1
    # The own share had less than one token left.
    assert int(grant.granted) <= taken <= int(grant.granted) + 1


def test_the_lifetime_counts_from_the_sending_of_the_ask():
    """Guards against tokens that a slow answer keeps alive for longer."""
    asker, holder = _emptied("a", 10.0), _limiter("b")
    ask = asker.plan(NAME, 1, 10.0)[0]
    grant = holder.give(NAME, ask.wanted, 0, 10.0)
    late = 10.0 + grant.lifetime_s
    before = asker.due_in_s(NAME, 0, late)
    asker.receive(ask, grant, 10.0, late)
    own_tokens = 0
    while asker.take(NAME, late):
        own_tokens += 1
    assert before == pytest.approx(0.005)
    # Only what the own share has refilled at a third of the rate.
    assert own_tokens == int((late - 10.0) * 100.0 / 3)


def test_a_holder_is_asked_once_at_a_time():
    """Guards against a flood of asks while answers are slow."""
    asker = _emptied("a", 10.0)
    first = asker.plan(NAME, 50, 10.0)
    assert sorted(ask.holder for ask in first) == ["b", "c"]
    assert asker.plan(NAME, 50, 10.01) == ()


def test_a_holder_without_tokens_is_left_alone_until_its_hint():
    """Guards against asks that can bring nothing."""
    asker, holder = _emptied("a", 10.0), _emptied("b", 10.0)
    ask = next(a for a in asker.plan(NAME, 50, 10.0) if a.holder == "b")
    grant = holder.give(NAME, ask.wanted, 0, 10.0)
    assert grant.granted == 0.0
    assert grant.next_in_s > 0.0
    asker.receive(ask, grant, 10.0, 10.0)
    early = asker.plan(NAME, 50, 10.0 + grant.next_in_s / 2)
    assert "b" not in [a.holder for a in early]
    again = asker.plan(NAME, 50, 10.0 + max(0.06, grant.next_in_s + 0.01))
    assert "b" in [a.holder for a in again]


def test_a_holder_with_waiting_requests_gives_nothing():
    """Guards against tokens that nodes in need ask back from each other."""
    grant = _limiter("b").give(NAME, 5.0, 1, 10.0)
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
    """Guards against nodes that each believe to be alone."""
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
    assert limiter.give("stranger", 1.0, 0, 10.0).granted == 0.0
    assert limiter.due_in_s("stranger", 0, 10.0) > 0
