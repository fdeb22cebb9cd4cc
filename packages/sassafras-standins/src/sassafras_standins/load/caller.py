"""A caller that sends requests to several nodes over pooled connections."""

import dataclasses
import itertools

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_wire.http import pool

_BODY_LIMIT = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of a request, as its caller sees it.

    Attributes:
      status: HTTP status; 0 if there was no response.
      outcome: Value of `Sassafras-Outcome`; empty if there was none. If the
        node could not be reached, it begins with `not-run`.
      body: Body of the response, or the text of the error.
    """

    status: int
    outcome: str
    body: bytes


class Caller:
    """Sends requests with one key to several nodes, round-robin."""

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
        self._next_node = itertools.count()

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
          headers: Additional header fields.
          request_id: Value of `x-request-id`; empty for a generated one.
          node: Index of the node, modulo their number; None for the next one.

        Returns:
          The result; errors of the connection are results too.
        """
        fields = [*headers]
        fields.append(
            ("x-request-id", request_id or f"request-{next(self._numbers)}")
        )
        if self._key:
            fields.append(("authorization", f"Bearer {self._key}"))
        index = next(self._next_node) if node is None else node
        node_pool = self._pools[index % len(self._pools)]
        try:
            response = await node_pool.exchange(
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
        for node_pool in self._pools:
            await node_pool.close()
