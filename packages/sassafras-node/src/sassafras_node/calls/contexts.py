"""Call contexts of the calls that run at the target beside the node."""

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

    async def ask(self) -> bool:
        """Returns whether one more retry is allowed; False when unsure."""
        ...


class LocalAuthority:
    """The authority at the first node, which owns the allowance."""

    def __init__(self, retry_allowance: allowance.RetryAllowance) -> None:
        self._allowance = retry_allowance

    async def ask(self) -> bool:
        """See RetryAuthority."""
        return self._allowance.take()


class CallTrace:
    """What the sub-calls of one call at the target have shown so far.

    Attributes:
      levels: Admission level of each service that answered one.
      has_failure: Whether one of them failed.
      has_success: Whether one of them succeeded.
    """

    def __init__(self) -> None:
        self.levels: dict[str, int] = {}
        self.has_failure = False
        self.has_success = False
        self._gate: gates.Gate | None = None
        self._open = 0
        self._open_since = 0.0
        self._closed_s = 0.0

    def entered(self, gate: gates.Gate) -> None:
        """Notes the gate through which the call went to the target."""
        self._gate = gate

    def leave(self, started: float, status: int, now: float) -> None:
        """Gives the place at the gate back.

        Args:
          started: When the call went to the target.
          status: HTTP status of the target's answer; 0 when none came.
          now: The current time.
        """
        gate, self._gate = self._gate, None
        if gate is None:
            return
        if self._open:
            gate.resume()
        if status >= 500:
            gate.leave_with_error()
        else:
            own_s = now - started - self.sub_call_s(now)
            gate.leave(own_s, success=status != 0)

    def begin(self, now: float) -> None:
        """Notes that a sub-call begins."""
        if self._open == 0:
            self._open_since = now
            if self._gate is not None:
                self._gate.pause()
        self._open += 1

    def end(self, now: float) -> None:
        """Notes that a sub-call has ended."""
        self._open -= 1
        if self._open == 0:
            self._closed_s += now - self._open_since
            if self._gate is not None:
                self._gate.resume()

    def learn(self, answer: messages.Answer) -> None:
        """Takes the levels and the outcome that a sub-call's answer carried."""
        self.levels.update(answer.levels)
        ran = answer.outcome is outcomes.Outcome.RAN
        failed = not ran or answer.status >= 500
        self.has_failure |= failed
        self.has_success |= not failed

    def sub_call_s(self, now: float) -> float:
        """Returns the time during which one or more sub-calls were open.

        The rest of a call's time is the target's own, which alone shows
        whether the target has too many calls.
        """
        running_s = now - self._open_since if self._open else 0.0
        return self._closed_s + running_s


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveCall:
    """A call in progress at this node.

    Attributes:
      context: What it inherited from its root request.
      authority: Whom to ask for retries.
      idempotency_scope: Digest of organisation, route and idempotency key;
        empty without a key.
      progress: Whether it may have run, as far as this node knows.
      trace: What its sub-calls have shown.
    """

    context: messages.CallContext
    authority: RetryAuthority
    idempotency_scope: str = ""
    progress: progresses.Progress = dataclasses.field(
        default_factory=progresses.Progress
    )
    trace: CallTrace = dataclasses.field(default_factory=CallTrace)


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One execution of a call at the target beside the node.

    Attributes:
      call: The call.
      repeats: Its failed sub-calls. A retry of the call is another execution,
        whose sub-calls are no repeats.
    """

    call: ActiveCall
    repeats: repeats.RepeatTracker


class ContextTable:
    """Maps the tokens given to the target to the calls that it runs.

    A token is random and dies with its call, so a target can neither forge
    one nor use one after its call has ended.
    """

    def __init__(self) -> None:
        self._executions: dict[str, Execution] = {}

    @property
    def count(self) -> int:
        """How many calls the target runs."""
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
        """Returns what a token stands for, or None when it is not valid."""
        return self._executions.get(token) if token else None
