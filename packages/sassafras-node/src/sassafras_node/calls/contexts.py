"""Call contexts of the calls that run at the target beside the node."""

import dataclasses
import secrets
from typing import Protocol

from sassafras_policy.calls import messages
from sassafras_policy.retries import allowance

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


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveCall:
    """A call in progress at this node.

    Attributes:
      context: What it inherited from its root request.
      authority: Whom to ask for retries.
    """

    context: messages.CallContext
    authority: RetryAuthority


class ContextTable:
    """Maps the tokens given to the target to the calls that it runs.

    A token is random and dies with its call, so a target can neither forge
    one nor use one after its call has ended.
    """

    def __init__(self) -> None:
        self._calls: dict[str, ActiveCall] = {}

    @property
    def count(self) -> int:
        """How many calls the target runs."""
        return len(self._calls)

    def open(self, call: ActiveCall) -> str:
        """Returns a new token for a call."""
        token = secrets.token_urlsafe(_TOKEN_BYTES)
        self._calls[token] = call
        return token

    def close(self, token: str) -> None:
        """Makes a token invalid."""
        self._calls.pop(token, None)

    def find(self, token: str | None) -> ActiveCall | None:
        """Returns the call of a token, or None when it is not valid."""
        return self._calls.get(token) if token else None
