"""Token request planning: which holder, when, and how many tokens."""

import dataclasses

from sassafras_base import hashing
from sassafras_policy.limits import shares
from sassafras_policy.limits import token_share
from sassafras_policy.limits import transfers

# A paused holder must not block requests to the others: after the first span
# the tokens of a request no longer count as expected, after the second it
# counts as failed.
_GRANT_EXPECTED_S = 0.02
_REQUEST_TIMEOUT_S = 0.25
# Exponential back-off after a request that returned no tokens. The maximum is
# well below the second within which moved demand must be admitted.
_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5
# The refilled level of an empty holder is an estimate. Requesting slightly more
# shows whether other nodes have left it more tokens.
_EXTRA_TOKENS = 1.0


@dataclasses.dataclass(slots=True)
class _HolderState:
    """This node's estimate of one holder's tokens.

    Attributes:
      level: Estimated tokens that the holder had left after its last grant.
      level_at: Time of that grant.
      request: The token request in flight.
      not_before: Earliest time of the next request.
      backoff_s: Wait after the next request that returns no tokens.
    """

    level: float
    level_at: float
    request: transfers.TokenRequest | None = None
    not_before: float = 0.0
    backoff_s: float = _MIN_BACKOFF_S


class TokenRequestPlanner:
    """Plans token requests of one organisation, at most one per holder.

    Each node has its own order of holders and uses the first that has tokens,
    so that it needs few links and the nodes spread over the holders.
    """

    def __init__(self, organisation: str, own_id: str) -> None:
        self._organisation = organisation
        self._own_id = own_id
        self._states: dict[str, _HolderState] = {}
        self._rate_per_s = 0.0
        self._cap = 0.0

    def configure(self, allocation: shares.Allocation, now: float) -> None:
        """Applies new holders and new sizes of their shares."""
        self._rate_per_s = allocation.holder_rate_per_s
        self._cap = allocation.holder_cap
        ordered_ids = sorted(
            allocation.holders,
            key=lambda node: hashing.stable_hash(self._own_id, node),
        )
        known = self._states
        self._states = {
            holder: known.get(holder) or _HolderState(self._cap, now)
            for holder in ordered_ids
        }

    def expected_tokens(self, now: float) -> float:
        """Returns the tokens expected soon from requests in flight."""
        return sum(
            state.request.wanted
            for state in self._states.values()
            if state.request is not None
            and now - state.request.planned_at < _GRANT_EXPECTED_S
        )

    def next_request_in_s(self, now: float) -> float:
        """Returns the seconds until a request to some holder is allowed."""
        return min(
            (self._ready_in_s(state, now) for state in self._states.values()),
            default=_MAX_BACKOFF_S,
        )

    def choose(
        self, missing: float, first_number: int, now: float
    ) -> list[transfers.TokenRequest]:
        """Returns requests that together may cover the missing tokens.

        Args:
          missing: Tokens needed beyond those held and expected.
          first_number: Number of the first request.
          now: The time.
        """
        chosen: list[transfers.TokenRequest] = []
        for holder, state in self._states.items():
            if missing <= token_share.EPSILON:
                break
            self._expire_request(state, now)
            if state.request is not None or state.not_before > now:
                continue
            wanted = min(missing, self._level(state, now) + _EXTRA_TOKENS)
            state.request = transfers.TokenRequest(
                number=first_number + len(chosen),
                holder=holder,
                organisation=self._organisation,
                wanted=wanted,
                planned_at=now,
            )
            chosen.append(state.request)
            missing -= wanted
        return chosen

    def record_grant(
        self,
        request: transfers.TokenRequest,
        grant: transfers.Grant,
        now: float,
    ) -> bool:
        """Records a grant; returns False when its request is not pending."""
        state = self._state_awaiting(request)
        if state is None:
            return False
        state.request = None
        state.level_at = now
        if grant.granted >= request.wanted - token_share.EPSILON:
            state.level = max(self._level(state, now) - grant.granted, 1.0)
        else:
            state.level = 0.0
        if grant.granted > token_share.EPSILON:
            state.backoff_s = _MIN_BACKOFF_S
            state.not_before = now + grant.next_request_in_s
        else:
            self._back_off(state, grant.next_request_in_s, now)
        return True

    def request_failed(
        self, request: transfers.TokenRequest, now: float
    ) -> None:
        """Records a request without a response."""
        state = self._state_awaiting(request)
        if state is not None:
            state.request = None
            self._back_off(state, _MAX_BACKOFF_S, now)

    def _state_awaiting(
        self, request: transfers.TokenRequest
    ) -> _HolderState | None:
        state = self._states.get(request.holder)
        return state if state is not None and state.request == request else None

    def _ready_in_s(self, state: _HolderState, now: float) -> float:
        if state.request is None:
            return max(0.0, state.not_before - now)
        waited_s = now - state.request.planned_at
        if waited_s < _GRANT_EXPECTED_S:
            return _GRANT_EXPECTED_S - waited_s
        return max(0.0, _REQUEST_TIMEOUT_S - waited_s)

    def _expire_request(self, state: _HolderState, now: float) -> None:
        if state.request is None:
            return
        if now - state.request.planned_at > _REQUEST_TIMEOUT_S:
            self.request_failed(state.request, now)

    def _back_off(
        self, state: _HolderState, min_wait_s: float, now: float
    ) -> None:
        state.not_before = now + max(min_wait_s, state.backoff_s)
        state.backoff_s = min(state.backoff_s * 2, _MAX_BACKOFF_S)

    def _level(self, state: _HolderState, now: float) -> float:
        refilled = (now - state.level_at) * self._rate_per_s
        return min(self._cap, state.level + max(0.0, refilled))
