"""Contexts of the calls that run at the local target."""

import dataclasses
import secrets
from typing import Protocol

from sassafras_node.targets import gate as gates
from sassafras_policy.calls import messages
from sassafras_policy.calls import outcomes
from sassafras_policy.calls import progress as progresses
from sassafras_policy.retries import allowance
from sassafras_policy.retries import repeats

_TOKEN_BYTES = 18


class RetryAuthority(Protocol):
    """Grants retries of one root request."""

    async def request_retry(self) -> bool:
        """Returns whether one more retry is allowed; False when unsure."""
        ...


class LocalAuthority:
    """Grants retries at the first node, which owns the allowance."""

    def __init__(self, retry_allowance: allowance.RetryAllowance) -> None:
        self._allowance = retry_allowance

    async def request_retry(self) -> bool:
        """See RetryAuthority."""
        return self._allowance.take()


class SubCallTracker:
    """Results of the sub-calls of one call, and the time that they took.

    Attributes:
      levels: Admission level of each service that responded to one.
      has_failure: Whether one of them failed.
      has_success: Whether one of them succeeded.
    """

    def __init__(self) -> None:
        self.levels: dict[str, int] = {}
        self.has_failure = False
        self.has_success = False
        self._gate: gates.AdmissionGate | None = None
        self._open_count = 0
        self._open_since = 0.0
        self._closed_s = 0.0

    def record_gate(self, gate: gates.AdmissionGate) -> None:
        """Records the gate that admitted the call."""
        self._gate = gate

    def leave(self, started: float, status: int, now: float) -> None:
        """Releases the slot at the gate.

        Args:
          started: When the call was sent to the target.
          status: HTTP status of the target's response; 0 without one.
          now: The current time.
        """
        gate, self._gate = self._gate, None
        if gate is None:
            return
        if self._open_count:
            gate.resume()
        if status >= 500:
            gate.leave_with_error()
        else:
            own_s = now - started - self.sub_call_s(now)
            gate.leave(own_s, success=status != 0)

    def record_start(self, now: float) -> None:
        """Records the start of a sub-call."""
        if self._open_count == 0:
            self._open_since = now
            if self._gate is not None:
                self._gate.pause()
        self._open_count += 1

    def record_end(self, now: float) -> None:
        """Records the end of a sub-call."""
        self._open_count -= 1
        if self._open_count == 0:
            self._closed_s += now - self._open_since
            if self._gate is not None:
                self._gate.resume()

    def record_response(self, response: messages.CallResponse) -> None:
        """Records the levels and the outcome in a sub-call's response."""
        self.levels.update(response.levels)
        ran = response.outcome is outcomes.Outcome.RAN
        failed = not ran or response.status >= 500
        self.has_failure |= failed
        self.has_success |= not failed

    def sub_call_s(self, now: float) -> float:
        """Returns the time during which one or more sub-calls were open.

        Only the rest of a call's time, which is the target's own, shows
        whether the target has too many calls.
        """
        running_s = now - self._open_since if self._open_count else 0.0
        return self._closed_s + running_s


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveCall:
    """A call in progress at this node.

    Attributes:
      context: What it inherited from its root request.
      authority: Grants its retries.
      idempotency_scope: Digest of organisation, route and idempotency key;
        empty without a key.
      progress: Whether it may have run, as far as this node knows.
      sub_call_tracker: Results of its sub-calls.
    """

    context: messages.CallContext
    authority: RetryAuthority
    idempotency_scope: str = ""
    progress: progresses.Progress = dataclasses.field(
        default_factory=progresses.Progress
    )
    sub_call_tracker: SubCallTracker = dataclasses.field(
        default_factory=SubCallTracker
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One execution of a call at the local target.

    Attributes:
      call: The call.
      repeats: Its failed sub-calls. A retry of the call is another execution,
        whose sub-calls are not repeats.
    """

    call: ActiveCall
    repeats: repeats.RepeatTracker


class ContextTable:
    """Maps the tokens given to the target to the calls that it runs.

    A token is random and valid only while its call runs, so a target can
    neither forge one nor use one after its call has ended.
    """

    def __init__(self) -> None:
        self._executions: dict[str, Execution] = {}

    @property
    def count(self) -> int:
        """Number of calls that the target is running."""
        return len(self._executions)

    def open(self, call: ActiveCall) -> str:
        """Returns a new token for a call."""
        token = secrets.token_urlsafe(_TOKEN_BYTES)
        self._executions[token] = Execution(call, repeats.RepeatTracker())
        return token

    def close(self, token: str) -> None:
        """Makes a token invalid."""
        self._executions.pop(token, None)

    def find(self, token: str | None) -> Execution | None:
        """Returns the execution of a token, or None if it is not valid."""
        return self._executions.get(token) if token else None
