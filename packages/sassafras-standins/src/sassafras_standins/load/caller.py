"""A caller with a key and pooled connections to one or more nodes."""

import dataclasses
import itertools

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_wire.http import pool

_BODY_LIMIT = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How a request ended, as its caller saw it.

    Attributes:
      status: HTTP status; 0 when the connection was lost.
      outcome: Value of `Sassafras-Outcome`; empty when there was none. A node
        that could not be reached counts as `not-run`.
      body: The answer's body.
    """

    status: int
    outcome: str
    body: bytes


class Caller:
    """Sends requests with one key to nodes in turn."""

    _numbers = itertools.count(1)

    def __init__(self, addresses: list[str], key: str = "") -> None:
        self._key = key
        self._pools = [
            pool.ConnectionPool(
                address,
                "caller.request",
                size=512,
                body_limit=_BODY_LIMIT,
                connect_timeout_s=2.0,
            )
            for address in addresses
        ]
        self._turn = itertools.count()

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: messages.Headers = (),
        request_id: str = "",
        node: int | None = None,
    ) -> Result:
        """Sends a request.

        Args:
          method: HTTP method.
          path: Path, which begins with the service.
          body: Body of the request.
          headers: Further header fields.
          request_id: Value of `x-request-id`; a new one when empty.
          node: Which node to use, modulo their number; the next in turn when
            None.

        Returns:
          How it ended.
        """
        fields = [*headers]
        fields.append(
            ("x-request-id", request_id or f"request-{next(self._numbers)}")
        )
        if self._key:
            fields.append(("authorization", f"Bearer {self._key}"))
        turn = next(self._turn) if node is None else node
        target = self._pools[turn % len(self._pools)]
        try:
            response = await target.exchange(
                messages.Request(method, path, tuple(fields), body)
            )
        except errors.UnreachableError as error:
            return Result(0, "not-run; reason=unreachable", str(error).encode())
        except errors.SassafrasError as error:
            return Result(0, "", str(error).encode())
        outcome = dict(response.headers).get("sassafras-outcome", "")
        return Result(response.status, outcome, response.body)

    async def close(self) -> None:
        """Closes idle connections."""
        for target in self._pools:
            await target.close()
