"""Calls to the platform's key-value service."""

import base64
from collections.abc import AsyncIterator
import json
from typing import Any
from typing import TypeVar

import pydantic
from sassafras_base import errors
from sassafras_policy.calls import messages
import trio

from sassafras_wire.http import client as http_client
from sassafras_wire.settings import node as node_settings
from sassafras_wire.store import models

_BODY_LIMIT = 4 * 1024 * 1024
_JSON_HEADERS = (("content-type", "application/json"),)

A = TypeVar("A", bound=pydantic.BaseModel)


class StoreUnavailableError(errors.SassafrasError):
    """The service did not answer; a write may or may not have happened."""


class StoreRefusedError(errors.SassafrasError):
    """The service answered with an error; nothing was written."""


class StoreClient:
    """Calls the service's endpoints in turn.

    Attributes:
      calls: How many calls were made, for the report.
    """

    def __init__(self, settings: node_settings.StoreSection) -> None:
        self.calls = 0
        self._settings = settings
        self._next_endpoint = 0

    async def get(self, key: str) -> models.KeyValue | None:
        """Returns a key, or None when it does not exist."""
        found = await self._range({"key": _encode(key)})
        return found.kvs[0] if found.kvs else None

    async def get_prefix(self, prefix: str) -> list[models.KeyValue]:
        """Returns all keys that begin with a prefix."""
        found = await self._range(
            {"key": _encode(prefix), "range_end": _encode(_after(prefix))}
        )
        return found.kvs

    async def put_if(
        self, key: str, value: bytes, mod_revision: int, lease: int = 0
    ) -> bool:
        """Writes a key if its revision is still `mod_revision`.

        Args:
          key: The key.
          value: The new value, at most 1 MB.
          mod_revision: Revision of the last change seen; 0 when the key must
            not exist.
          lease: Lease that the key is bound to; 0 for none.

        Returns:
          Whether the write took place.

        Raises:
          StoreUnavailableError: No answer came; the write may have happened.
        """
        put: dict[str, Any] = {
            "key": _encode(key),
            "value": base64.b64encode(value).decode(),
        }
        if lease:
            put["lease"] = str(lease)
        answer = await self._call(
            "/v3/kv/txn",
            {
                "compare": [
                    {
                        "key": _encode(key),
                        "target": "MOD",
                        "result": "EQUAL",
                        "mod_revision": str(mod_revision),
                    }
                ],
                "success": [{"request_put": put}],
            },
            models.TxnAnswer,
        )
        return answer.succeeded

    async def grant_lease(self, ttl_s: float) -> int:
        """Returns the id of a new lease."""
        answer = await self._call(
            "/v3/lease/grant", {"TTL": str(int(ttl_s))}, models.LeaseAnswer
        )
        return answer.ID

    async def keep_lease(self, lease: int) -> bool:
        """Renews a lease; returns False when it has lapsed."""
        answer = await self._call(
            "/v3/lease/keepalive", {"ID": str(lease)}, models.KeepaliveAnswer
        )
        return answer.result.TTL > 0

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and deletes the keys bound to it."""
        await self._call(
            "/v3/lease/revoke", {"ID": str(lease)}, models.LeaseAnswer
        )

    async def watch(
        self, key: str, start_revision: int
    ) -> AsyncIterator[models.WatchResult]:
        """Yields the changes of a key from a revision on, until the end.

        Raises:
          StoreUnavailableError: The stream could not be opened or broke.
        """
        step = "store.watch"
        self.calls += 1
        endpoint = self._endpoint(step)
        connection = await self._connect(endpoint, step)
        try:
            request = _request(
                "/v3/watch",
                {
                    "create_request": {
                        "key": _encode(key),
                        "start_revision": str(start_revision),
                    }
                },
            )
            status, chunks = await connection.stream(request)
            if status != 200:
                raise errors.ProtocolError(step, endpoint, f"status {status}")
            pending = b""
            async for chunk in chunks:
                *lines, pending = (pending + chunk).split(b"\n")
                for line in lines:
                    yield models.WatchAnswer.model_validate_json(line).result
        except (
            errors.ConnectionLostError,
            errors.ProtocolError,
            pydantic.ValidationError,
        ) as error:
            self._skip_endpoint()
            raise StoreUnavailableError(
                step, endpoint, f"watch broke: {error}"
            ) from None
        finally:
            await connection.close()

    async def _range(self, body: dict[str, Any]) -> models.RangeAnswer:
        return await self._call("/v3/kv/range", body, models.RangeAnswer)

    async def _call(
        self, path: str, body: dict[str, Any], answer: type[A]
    ) -> A:
        step = "store." + path.removeprefix("/v3/").replace("/", ".")
        endpoint = self._endpoint(step)
        self.calls += 1
        try:
            with trio.fail_after(self._settings.timeout_s):
                response = await self._exchange(endpoint, step, path, body)
        except (
            errors.ConnectionLostError,
            errors.ProtocolError,
            trio.TooSlowError,
        ) as error:
            self._skip_endpoint()
            raise StoreUnavailableError(
                step,
                endpoint,
                f"no answer: {error!r}",
                "the node goes on with what it has and retries",
            ) from None
        if response.status != 200:
            raise StoreRefusedError(
                step,
                endpoint,
                f"status {response.status}: {response.body[:200]!r}",
            )
        try:
            return answer.model_validate_json(response.body)
        except pydantic.ValidationError as error:
            raise StoreUnavailableError(
                step, endpoint, f"unreadable answer: {error.error_count()}"
            ) from None

    async def _exchange(
        self, endpoint: str, step: str, path: str, body: dict[str, Any]
    ) -> http_client.Response:
        connection = await self._connect(endpoint, step)
        try:
            return await connection.exchange(_request(path, body))
        finally:
            await connection.close()

    async def _connect(
        self, endpoint: str, step: str
    ) -> http_client.ClientConnection:
        try:
            return await http_client.ClientConnection.connect(
                endpoint, step, _BODY_LIMIT, self._settings.timeout_s
            )
        except errors.UnreachableError as error:
            self._skip_endpoint()
            raise StoreUnavailableError(step, endpoint, error.problem) from None

    def _endpoint(self, step: str) -> str:
        if not self._settings.endpoints:
            raise StoreUnavailableError(
                step, "none", "no endpoint", "set [store] endpoints"
            )
        return self._settings.endpoints[
            self._next_endpoint % len(self._settings.endpoints)
        ]

    def _skip_endpoint(self) -> None:
        self._next_endpoint += 1


def _request(path: str, body: dict[str, Any]) -> messages.Request:
    return messages.Request(
        method="POST",
        path=path,
        headers=_JSON_HEADERS,
        body=json.dumps(body).encode(),
    )


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _after(prefix: str) -> str:
    """Returns the first key after all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
