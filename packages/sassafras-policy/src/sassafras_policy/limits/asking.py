"""Which holder to ask for tokens, when, and for how many."""

import dataclasses

from sassafras_base import hashing
from sassafras_policy.limits import exchanges
from sassafras_policy.limits import shares
from sassafras_policy.limits import token_share

# A paused holder must not keep the others from being asked: after the first
# span the tokens of an ask are no longer expected, after the second it is
# given up.
_EXPECTED_FOR_S = 0.02
_ASK_TIMEOUT_S = 0.25
# An ask that brought nothing is repeated after a growing wait. The longest is
# well below the second within which moved demand must be admitted.
_FIRST_BACKOFF_S = 0.05
_LONGEST_BACKOFF_S = 0.5
# What an emptied holder has refilled is an estimate; asking for slightly more
# finds out whether others have left it more.
_MARGIN = 1.0


@dataclasses.dataclass(slots=True)
class _View:
    """What this node knows of one holder's tokens.

    Attributes:
      level: Tokens that it had left after its last answer, as far as known.
      level_at: Time of that answer.
      ask: The ask in flight.
      not_before: Earliest time of the next ask.
      backoff_s: Wait after the next ask that brings nothing.
    """

    level: float
    level_at: float
    ask: exchanges.Ask | None = None
    not_before: float = 0.0
    backoff_s: float = _FIRST_BACKOFF_S


class Asking:
    """Chooses asks for one organisation; at most one in flight per holder.

    Each node prefers the holders in an order of its own and stays with the
    first that has tokens, so that it keeps few links and the nodes together
    spread over the holders.
    """

    def __init__(self, organisation: str, own_id: str) -> None:
        self._organisation = organisation
        self._own_id = own_id
        self._views: dict[str, _View] = {}
        self._rate_per_s = 0.0
        self._cap = 0.0

    def configure(self, allotment: shares.Allotment, now: float) -> None:
        """Takes over the holders and the size of their shares."""
        self._rate_per_s = allotment.holder_rate_per_s
        self._cap = allotment.holder_cap
        order = sorted(
            allotment.holders,
            key=lambda node: hashing.stable_hash(self._own_id, node),
        )
        known = self._views
        self._views = {
            holder: known.get(holder) or _View(self._cap, now)
            for holder in order
        }

    def expected(self, now: float) -> float:
        """Returns the tokens that asks in flight may bring soon."""
        return sum(
            view.ask.wanted
            for view in self._views.values()
            if view.ask is not None
            and now - view.ask.planned_at < _EXPECTED_FOR_S
        )

    def next_in_s(self, now: float) -> float:
        """Returns when some holder may be asked, in seconds."""
        return min(
            (self._askable_in_s(view, now) for view in self._views.values()),
            default=_LONGEST_BACKOFF_S,
        )

    def choose(
        self, missing: float, first_number: int, now: float
    ) -> list[exchanges.Ask]:
        """Returns asks that may together bring the missing tokens.

        Args:
          missing: Tokens wanted beyond those held and expected.
          first_number: Number of the first ask.
          now: The time.
        """
        chosen: list[exchanges.Ask] = []
        for holder, view in self._views.items():
            if missing <= token_share.EPSILON:
                break
            self._give_up_if_late(view, now)
            if view.ask is not None or view.not_before > now:
                continue
            wanted = min(missing, self._level(view, now) + _MARGIN)
            view.ask = exchanges.Ask(
                number=first_number + len(chosen),
                holder=holder,
                organisation=self._organisation,
                wanted=wanted,
                planned_at=now,
            )
            chosen.append(view.ask)
            missing -= wanted
        return chosen

    def answered(
        self, ask: exchanges.Ask, grant: exchanges.Grant, now: float
    ) -> bool:
        """Takes over an answer; returns False when it is not awaited."""
        view = self._awaiting(ask)
        if view is None:
            return False
        view.ask = None
        view.level_at = now
        if grant.granted >= ask.wanted - token_share.EPSILON:
            view.level = max(self._level(view, now) - grant.granted, 1.0)
        else:
            view.level = 0.0
        if grant.granted > token_share.EPSILON:
            view.backoff_s = _FIRST_BACKOFF_S
            view.not_before = now + grant.next_in_s
        else:
            self._back_off(view, grant.next_in_s, now)
        return True

    def failed(self, ask: exchanges.Ask, now: float) -> None:
        """Notes that an ask was not answered."""
        view = self._awaiting(ask)
        if view is not None:
            view.ask = None
            self._back_off(view, _LONGEST_BACKOFF_S, now)

    def _awaiting(self, ask: exchanges.Ask) -> _View | None:
        view = self._views.get(ask.holder)
        return view if view is not None and view.ask == ask else None

    def _askable_in_s(self, view: _View, now: float) -> float:
        if view.ask is None:
            return max(0.0, view.not_before - now)
        waited_s = now - view.ask.planned_at
        if waited_s < _EXPECTED_FOR_S:
            return _EXPECTED_FOR_S - waited_s
        return max(0.0, _ASK_TIMEOUT_S - waited_s)

    def _give_up_if_late(self, view: _View, now: float) -> None:
        if view.ask is None:
            return
        if now - view.ask.planned_at > _ASK_TIMEOUT_S:
            self.failed(view.ask, now)

    def _back_off(self, view: _View, at_least_s: float, now: float) -> None:
        view.not_before = now + max(at_least_s, view.backoff_s)
        view.backoff_s = min(view.backoff_s * 2, _LONGEST_BACKOFF_S)

    def _level(self, view: _View, now: float) -> float:
        refilled = (now - view.level_at) * self._rate_per_s
        return min(self._cap, view.level + max(0.0, refilled))
