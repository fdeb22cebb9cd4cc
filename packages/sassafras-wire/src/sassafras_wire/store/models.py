"""Validated models of the responses of the platform's key-value service."""

import base64
from typing import Annotated
from typing import Any

import pydantic


def _from_base64(value: Any) -> Any:
    return base64.b64decode(value) if isinstance(value, str) else value


Base64Bytes = Annotated[bytes, pydantic.BeforeValidator(_from_base64)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, defer_build=True
    )


class Header(_Model):
    """The service's revision at the time of the response."""

    revision: int = 0


class KeyValue(_Model):
    """One key. 64-bit numbers arrive as strings in the JSON mapping."""

    key: Base64Bytes
    value: Base64Bytes = b""
    mod_revision: int = 0
    lease: int = 0


class RangeResponse(_Model):
    """Response of `/v3/kv/range`."""

    header: Header = Header()
    kvs: list[KeyValue] = []


class DeleteResponse(_Model):
    """Response of `/v3/kv/deleterange`."""

    header: Header = Header()
    deleted: int = 0


class TxnResponse(_Model):
    """Response of `/v3/kv/txn`."""

    header: Header = Header()
    succeeded: bool = False


class LeaseResponse(_Model):
    """Response of `/v3/lease/grant` and, in `result`, of keepalive."""

    ID: int = 0
    TTL: int = 0


class KeepaliveResponse(_Model):
    """Response of `/v3/lease/keepalive`."""

    result: LeaseResponse = LeaseResponse()


class WatchEvent(_Model):
    """A change of a watched key."""

    type: str = "PUT"
    kv: KeyValue


class WatchResult(_Model):
    """One batch of changes."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: list[WatchEvent] = []


class WatchResponse(_Model):
    """One line of the response stream of `/v3/watch`."""

    result: WatchResult = WatchResult()
