"""An emulator of the platform's metadata store, with injectable faults."""

import base64
import collections
import dataclasses
import enum
import json
from typing import Any
from urllib import parse

import trio

from sassafras_policy.calls import messages
from sassafras_standins import serving

_EXPIRY_INTERVAL_S = 0.05
_MAX_ENTRIES = 32
_NO_RESPONSE_S = 3600.0


class Mode(enum.StrEnum):
    """Fault mode of the store."""

    NORMAL = "normal"
    SILENT = "silent"
    BUSY = "busy"
    SLOW = "slow"
    LOSES_ANSWERS = "loses-answers"


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    value: str
    revision: int
    created: int
    lease: int


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_s: float
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """The content of the store at one moment."""

    revision: int
    items: dict[str, _Item]
    leases: dict[int, float]
    next_lease: int


class MetadataStore:
    """Serves the store's HTTP interface over keys in memory.

    Attributes:
      era: Era that responses name; None for a store that names none.
      mode: Active fault mode.
      delay_s: Delay of each response in mode `SLOW`.
      calls: Number of calls by method and path.
      pauses_leases: Whether leases keep their remaining time while it is
        silent or busy.
    """

    def __init__(self, era: int | None = None) -> None:
        self.era = era
        self.mode = Mode.NORMAL
        self.delay_s = 0.2
        self.calls: collections.Counter[str] = collections.Counter()
        self.pauses_leases = False
        self._revision = 1
        self._compacted = 0
        self._items: dict[str, _Item] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 77_000
        self._change_event = trio.Event()

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys that begin with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes any key; transactions cannot write the operator's keys."""
        self._write(key, base64.b64encode(value).decode(), lease)
        self._notify_watches()

    def remove(self, key: str) -> None:
        """Removes a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._history.append(
                {"Key": key, "Revision": self._revision, "Removed": True}
            )
            self._notify_watches()

    def compact(self) -> None:
        """Drops the history and ends the open watches with status 410."""
        self._compacted = self._revision
        self._history.clear()
        self._notify_watches()

    def copy(self) -> Copy:
        """Returns a copy of the content, to which `come_back` returns."""
        return Copy(
            self._revision,
            dict(self._items),
            {number: lease.ttl_s for number, lease in self._leases.items()},
            self._next_lease,
        )

    def come_back(self, copy: Copy) -> None:
        """Returns to a copy and begins the next era.

        Everything since is lost, and its revisions and lease numbers are given
        out again. Open watches go on or end with status 410. Leases of the copy
        begin anew.
        """
        self.era = (self.era or 0) + 1
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._history = [
            event
            for event in self._history
            if event["Revision"] <= copy.revision
        ]
        self._compacted = min(self._compacted, copy.revision)
        now = trio.current_time()
        self._leases = {
            number: _Lease(ttl_s, now + ttl_s)
            for number, ttl_s in copy.leases.items()
        }
        self._next_lease = copy.next_lease
        self._notify_watches()

    def expire_leases(self) -> None:
        """Ends all leases, as they may end while the store is down."""
        for number in list(self._leases):
            del self._leases[number]
            self._remove_keys_of(number)

    async def run(
        self,
        address: str,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(serving.listen, address, self.handle)
            nursery.start_soon(self._expire_forever)
            task_status.started()

    async def handle(self, request: messages.Request) -> messages.CallResponse:
        """Serves one call, subject to the active fault mode."""
        path = request.path_without_query
        self.calls[f"{request.method} {path}"] += 1
        if self.mode is Mode.SILENT:
            await trio.sleep(_NO_RESPONSE_S)
        if self.mode is Mode.BUSY:
            return self._name_era(serving.response(b"{}", 503))
        if self.mode is Mode.SLOW:
            await trio.sleep(self.delay_s)
        is_write = request.method != "GET"
        response = self._name_era(await self._dispatch(request))
        if is_write and self.mode is Mode.LOSES_ANSWERS:
            await trio.sleep(_NO_RESPONSE_S)
        return response

    def _name_era(
        self, response: messages.CallResponse
    ) -> messages.CallResponse:
        if self.era is None:
            return response
        return dataclasses.replace(
            response,
            headers=(*response.headers, ("store-era", str(self.era))),
        )

    async def _dispatch(
        self, request: messages.Request
    ) -> messages.CallResponse:
        name_and_id = request.path_without_query.removeprefix(
            "/sassafrasmount/"
        )
        query = dict(parse.parse_qsl(request.path.partition("?")[2]))
        name, _, lease = name_and_id.partition("/")
        if name == "kv-key":
            return self._get(query["Key"])
        if name == "kv-range":
            return self._range(query["Prefix"])
        if name == "kv-watch":
            return await self._watch(
                query["Prefix"], int(query["after"]), int(query["WaitMs"])
            )
        if name == "kv-txn":
            return self._transaction(json.loads(request.body))
        if name == "kv-lease":
            return self._grant_lease(json.loads(request.body)["TtlMs"])
        if name == "kv-keep":
            return self._renew_lease(int(lease))
        if name == "kv-lease-end":
            return self._end_lease(int(lease))
        return serving.response(b"{}", 404)

    def _get(self, key: str) -> messages.CallResponse:
        item = self._items.get(key)
        if item is None:
            return _json_response({"CurrentRev": self._revision}, 404)
        return _json_response(_row(key, item) | {"CurrentRev": self._revision})

    def _range(self, prefix: str) -> messages.CallResponse:
        rows = [_row(key, self._items[key]) for key in self.keys(prefix)]
        return _json_response(
            {"items": rows, "MorePages": False, "CurrentRev": self._revision}
        )

    async def _watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> messages.CallResponse:
        with trio.move_on_after(wait_ms / 1000):
            while True:
                if after < self._compacted or after > self._revision:
                    return serving.response(b"{}", 410)
                changed = self._change_event
                events = self._events(prefix, after)
                if events:
                    break
                await changed.wait()
        return _json_response(
            {
                "events": self._events(prefix, after),
                "CurrentRev": self._revision,
            }
        )

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event["Revision"] > after and event["Key"].startswith(prefix)
        ]

    def _transaction(self, content: dict[str, Any]) -> messages.CallResponse:
        expected = content.get("ExpectedRevision", [])
        writes = content.get("Writes", [])
        removed = content.get("Remove", [])
        if len(expected) + len(writes) + len(removed) > _MAX_ENTRIES:
            return serving.response(b"{}", 400)
        if any(
            key.startswith(("op/", "servers/"))
            for key in [*(write["Key"] for write in writes), *removed]
        ):
            return serving.response(b"{}", 403)
        conflicts = [
            row
            for row in expected
            if self._revision_of(row["Key"]) != row["Revision"]
        ]
        if conflicts:
            return _json_response(
                {
                    "items": [
                        _row(row["Key"], self._items[row["Key"]])
                        for row in expected
                        if row["Key"] in self._items
                    ]
                },
                412,
            )
        for write in writes:
            if write.get("Lease", 0) and write["Lease"] not in self._leases:
                return serving.response(b"{}", 404)
        for write in writes:
            self._write(write["Key"], write["Value"], write.get("Lease", 0))
        for key in removed:
            self.remove(key)
        self._notify_watches()
        return _json_response({"Revision": self._revision})

    def _grant_lease(self, ttl_ms: int) -> messages.CallResponse:
        self._next_lease += 1
        ttl_s = ttl_ms / 1000
        self._leases[self._next_lease] = _Lease(
            ttl_s, trio.current_time() + ttl_s
        )
        return _json_response({"Lease": self._next_lease, "TtlMs": ttl_ms})

    def _renew_lease(self, lease: int) -> messages.CallResponse:
        found = self._leases.get(lease)
        if found is None:
            return serving.response(b"{}", 404)
        found.ends_at = trio.current_time() + found.ttl_s
        return _json_response({"TtlMs": int(found.ttl_s * 1000)})

    def _end_lease(self, lease: int) -> messages.CallResponse:
        if self._leases.pop(lease, None) is None:
            return serving.response(b"{}", 404)
        self._remove_keys_of(lease)
        return _json_response({})

    async def _expire_forever(self) -> None:
        while True:
            await trio.sleep(_EXPIRY_INTERVAL_S)
            if self.pauses_leases and self.mode in (Mode.SILENT, Mode.BUSY):
                for lease in self._leases.values():
                    lease.ends_at += _EXPIRY_INTERVAL_S
                continue
            now = trio.current_time()
            for number, lease in list(self._leases.items()):
                if lease.ends_at <= now:
                    del self._leases[number]
                    self._remove_keys_of(number)

    def _remove_keys_of(self, lease: int) -> None:
        for key, item in list(self._items.items()):
            if item.lease == lease:
                self.remove(key)

    def _revision_of(self, key: str) -> int:
        item = self._items.get(key)
        return item.revision if item else 0

    def _write(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        previous = self._items.get(key)
        item = _Item(
            value,
            self._revision,
            previous.created if previous else self._revision,
            lease,
        )
        self._items[key] = item
        self._history.append(_row(key, item))

    def _notify_watches(self) -> None:
        changed, self._change_event = self._change_event, trio.Event()
        changed.set()


def _row(key: str, item: _Item) -> dict[str, Any]:
    return {
        "Key": key,
        "Value": item.value,
        "Revision": item.revision,
        "Created": item.created,
        "Lease": item.lease,
    }


def _json_response(
    content: dict[str, Any], status: int = 200
) -> messages.CallResponse:
    return serving.response(json.dumps(content).encode(), status)
