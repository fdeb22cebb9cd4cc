"""Client of the platform's key-value service."""

import base64
from collections.abc import AsyncIterator
import contextlib
import json
from typing import Any
from typing import TypeVar

import pydantic
import trio

from sassafras_base import errors
from sassafras_policy.calls import messages
from sassafras_wire.http import client as http_client
from sassafras_wire.http import pool
from sassafras_wire.settings import node as node_settings
from sassafras_wire.store import models

_BODY_LIMIT = 4 * 1024 * 1024
_JSON_HEADERS = (("content-type", "application/json"),)
_CONNECTIONS = 8
_FIRST_SERVER_ERROR = 500
_OK = 200

A = TypeVar("A", bound=pydantic.BaseModel)


class StoreUnavailableError(errors.SassafrasError):
    """No valid response came; a write may or may not have taken effect."""


class StoreUnreachableError(StoreUnavailableError):
    """No connection could be opened; nothing was sent or written."""


class StoreRefusedError(errors.SassafrasError):
    """The service rejected the call as invalid; nothing was written."""


class StoreClient:
    """Calls the service; switches to the next endpoint after a failure.

    Attributes:
      calls: Number of calls made.
    """

    def __init__(self, settings: node_settings.StoreSection) -> None:
        self.calls = 0
        self._settings = settings
        self._next_endpoint = 0
        self._pools = {
            endpoint: pool.ConnectionPool(
                endpoint,
                "store.call",
                size=_CONNECTIONS,
                body_limit=_BODY_LIMIT,
                connect_timeout_s=settings.timeout_s,
            )
            for endpoint in settings.endpoints
        }

    async def close(self) -> None:
        """Closes the idle connections."""
        for connections in self._pools.values():
            await connections.close()

    async def get(self, key: str) -> models.KeyValue | None:
        """Returns a key, or None when it does not exist."""
        found = await self._range({"key": _encode(key)})
        return found.kvs[0] if found.kvs else None

    async def get_prefix(self, prefix: str) -> list[models.KeyValue]:
        """Returns all keys that begin with a prefix."""
        found = await self._range(
            {"key": _encode(prefix), "range_end": _encode(_range_end(prefix))}
        )
        return found.kvs

    async def list_keys(self, prefix: str) -> list[str]:
        """Returns the names of all keys that begin with a prefix."""
        found = await self._range(
            {
                "key": _encode(prefix),
                "range_end": _encode(_range_end(prefix)),
                "keys_only": True,
            }
        )
        return [item.key.decode() for item in found.kvs]

    async def delete(self, key: str) -> None:
        """Deletes a key, if it exists.

        Raises:
          StoreUnavailableError: No response came; the key may be deleted.
        """
        await self._call(
            "/v3/kv/deleterange", {"key": _encode(key)}, models.DeleteResponse
        )

    async def put_if(
        self, key: str, value: bytes, mod_revision: int, lease: int = 0
    ) -> bool:
        """Writes a key if its revision is still `mod_revision`.

        Args:
          key: The key.
          value: The new value, at most 1 MB.
          mod_revision: Expected revision of the key; 0 when the key must not
            exist.
          lease: Lease that the key is bound to; 0 for none.

        Returns:
          Whether the key was written.

        Raises:
          StoreUnavailableError: No response came; it may have been written.
        """
        return await self.compare_and_swap(key, value, mod_revision, lease) >= 0

    async def compare_and_swap(
        self, key: str, value: bytes, mod_revision: int, lease: int = 0
    ) -> int:
        """Writes as `put_if` does and returns the key's new revision.

        Returns:
          The revision, for a further write without a read, or -1 when the key
          was not written.

        Raises:
          StoreUnavailableError: No response came; it may have been written.
        """
        put: dict[str, Any] = {
            "key": _encode(key),
            "value": base64.b64encode(value).decode(),
        }
        if lease:
            put["lease"] = str(lease)
        response = await self._call(
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
            models.TxnResponse,
        )
        return response.header.revision if response.succeeded else -1

    async def grant_lease(self, ttl_s: float) -> int:
        """Returns the id of a new lease."""
        response = await self._call(
            "/v3/lease/grant", {"TTL": str(int(ttl_s))}, models.LeaseResponse
        )
        return response.ID

    async def renew_lease(self, lease: int) -> bool:
        """Renews a lease; returns False when it has expired."""
        response = await self._call(
            "/v3/lease/keepalive", {"ID": str(lease)}, models.KeepaliveResponse
        )
        return response.result.TTL > 0

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and deletes the keys bound to it."""
        await self._call(
            "/v3/lease/revoke", {"ID": str(lease)}, models.LeaseResponse
        )

    @contextlib.asynccontextmanager
    async def watch(
        self, key: str, start_revision: int
    ) -> AsyncIterator[AsyncIterator[models.WatchResult]]:
        """Opens a stream of the changes of a key, starting at a revision.

        The connection is closed when the context ends, so that a caller that
        stops reading leaves no watch open.

        Raises:
          StoreUnavailableError: The stream could not be opened or broke.
        """
        step = "store.watch"
        endpoint = self._endpoint(step)
        self.calls += 1
        connection = await self._connect(endpoint, step)
        try:
            yield self._results(connection, endpoint, key, start_revision)
        finally:
            await connection.close()

    async def _results(
        self,
        connection: http_client.ClientConnection,
        endpoint: str,
        key: str,
        start_revision: int,
    ) -> AsyncIterator[models.WatchResult]:
        step = "store.watch"
        request = _request(
            "/v3/watch",
            {
                "create_request": {
                    "key": _encode(key),
                    "start_revision": str(start_revision),
                }
            },
        )
        try:
            with trio.fail_after(self._settings.timeout_s):
                status, chunks = await connection.stream(request)
            if status != _OK:
                raise errors.ProtocolError(step, endpoint, f"status {status}")
            pending = b""
            async for chunk in chunks:
                *lines, pending = (pending + chunk).split(b"\n")
                if len(pending) > _BODY_LIMIT:
                    raise errors.ProtocolError(step, endpoint, "endless line")
                for line in lines:
                    yield models.WatchResponse.model_validate_json(line).result
        except (
            errors.ConnectionLostError,
            errors.ProtocolError,
            pydantic.ValidationError,
            trio.TooSlowError,
        ) as error:
            self._skip_endpoint()
            raise StoreUnavailableError(
                step, endpoint, f"watch broke: {_describe(error)}"
            ) from None

    async def _range(self, body: dict[str, Any]) -> models.RangeResponse:
        return await self._call("/v3/kv/range", body, models.RangeResponse)

    async def _call(
        self, path: str, body: dict[str, Any], response_type: type[A]
    ) -> A:
        step = "store." + path.removeprefix("/v3/").replace("/", ".")
        endpoint = self._endpoint(step)
        self.calls += 1
        try:
            with trio.fail_after(self._settings.timeout_s):
                response = await self._pools[endpoint].exchange(
                    _request(path, body)
                )
        except errors.UnreachableError as error:
            self._skip_endpoint()
            raise StoreUnreachableError(step, endpoint, error.problem) from None
        except (
            errors.ConnectionLostError,
            errors.ProtocolError,
            trio.TooSlowError,
        ) as error:
            self._skip_endpoint()
            raise StoreUnavailableError(
                step,
                endpoint,
                f"no answer: {_describe(error)}",
                "the node goes on with what it has and retries",
            ) from None
        if response.status >= _FIRST_SERVER_ERROR:
            # The write may have taken effect even so, when the service's
            # members did not confirm it in time.
            self._skip_endpoint()
            raise StoreUnavailableError(
                step, endpoint, f"status {response.status}"
            )
        if response.status != _OK:
            raise StoreRefusedError(
                step,
                endpoint,
                f"status {response.status}: {response.body[:200]!r}",
            )
        try:
            return response_type.model_validate_json(response.body)
        except pydantic.ValidationError as error:
            raise StoreUnavailableError(
                step, endpoint, f"unreadable answer: {_describe(error)}"
            ) from None

    async def _connect(
        self, endpoint: str, step: str
    ) -> http_client.ClientConnection:
        try:
            return await http_client.ClientConnection.connect(
                endpoint, step, _BODY_LIMIT, self._settings.timeout_s
            )
        except errors.UnreachableError as error:
            self._skip_endpoint()
            raise StoreUnreachableError(step, endpoint, error.problem) from None

    def _endpoint(self, step: str) -> str:
        if not self._settings.endpoints:
            raise StoreUnreachableError(
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


def _describe(error: Exception) -> str:
    if isinstance(error, errors.SassafrasError):
        return error.problem
    if isinstance(error, pydantic.ValidationError):
        return f"{error.error_count()} invalid fields"
    return "time-out" if isinstance(error, trio.TooSlowError) else repr(error)


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _range_end(prefix: str) -> str:
    """Returns the exclusive end of the range of keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
