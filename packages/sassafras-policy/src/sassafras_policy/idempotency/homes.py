"""Selection of the home node, which keeps the record of an idempotency key."""

import dataclasses
import hashlib

from sassafras_base import hashing
from sassafras_policy.idempotency import records
from sassafras_policy.membership import roster as rosters

# The lifetime of a record and a margin: nodes receive a new epoch within 8 s,
# and the old home may create records until then.
RECORD_LOSS_WINDOW_S = records.LIFETIME_S + 10.0


def scope_of(organisation: str, route: str, key: str) -> str:
    """Returns the digest that identifies a key of an organisation and route.

    The same key of another organisation identifies another request.
    """
    return _digest(organisation.encode(), route.encode(), key.encode()).hex()


def fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Returns the digest that detects a reused key with other contents."""
    return _digest(method.encode(), path.encode("utf-8", "replace"), body)


def home(scope: str, members: tuple[str, ...]) -> str | None:
    """Returns the home among the members of a service; None without members."""
    home_ids = hashing.rendezvous(scope, members, 1)
    return home_ids[0] if home_ids else None


@dataclasses.dataclass(frozen=True, slots=True)
class _SupersededEpoch:
    """Members of an epoch that a newer one has replaced.

    Attributes:
      members: Id and service; None for the unknown service of a node that has
        left.
      expires_at: When every record created under the epoch has expired.
    """

    members: tuple[tuple[str, str | None], ...]
    expires_at: float

    def of_service(self, service: str) -> tuple[str, ...]:
        return tuple(
            node_id
            for node_id, service_or_none in self.members
            if service_or_none is None or service_or_none == service
        )


class Homes:
    """Finds the homes of keys under the current and earlier rosters.

    A node that has lost the records of a previous incarnation must not run a
    key that may have been among them. There was no previous incarnation when
    the roster has the node's own incarnation as the one that joined.
    """

    def __init__(self, own_id: str, own_incarnation: int, now: float) -> None:
        self._own_id = own_id
        self._own_incarnation = own_incarnation
        self._started_at = now
        self._roster = rosters.Roster()
        self._recovered = False
        self._superseded: list[_SupersededEpoch] = []

    @property
    def epoch(self) -> int:
        """The current epoch."""
        return self._roster.epoch

    def adopt(self, roster: rosters.Roster, now: float) -> None:
        """Makes a roster with a higher epoch the current one."""
        replaced_epochs: list[tuple[tuple[str, str | None], ...]] = []
        if self._roster.epoch:
            replaced_epochs.append(
                tuple((m.node_id, m.service) for m in self._roster.members)
            )
        else:
            services = {m.node_id: m.service for m in roster.members}
            replaced_epochs = [
                tuple((node_id, services.get(node_id)) for node_id in ids)
                for ids in roster.earlier
            ]
        self._superseded = [s for s in self._superseded if s.expires_at > now]
        self._superseded += [
            _SupersededEpoch(members, now + RECORD_LOSS_WINDOW_S)
            for members in replaced_epochs
        ]
        self._roster = roster

    def home_of(self, service: str, scope: str) -> str | None:
        """Returns the home of a key; None without members."""
        return home(scope, self._roster.of_service(service))

    def earlier_homes(
        self, service: str, scope: str, now: float
    ) -> frozenset[str]:
        """Returns other nodes that may hold a record of a key."""
        candidates = {
            home(scope, superseded.of_service(service))
            for superseded in self._superseded
            if superseded.expires_at > now
        }
        return frozenset(
            node_id
            for node_id in candidates
            if node_id is not None and node_id != self._own_id
        )

    def mark_recovered(self) -> None:
        """Marks the records of the previous incarnation as restored."""
        self._recovered = True

    def may_have_lost_records(self, now: float) -> bool:
        """Returns whether records of a previous incarnation may be missing."""
        for member in self._roster.members:
            if member.node_id == self._own_id:
                return not self._recovered and (
                    member.incarnation < self._own_incarnation
                    and now < self._started_at + RECORD_LOSS_WINDOW_S
                )
        return False


def _digest(*parts: bytes) -> bytes:
    state = hashlib.sha256()
    for part in parts:
        # Length prefixes keep different parts from hashing the same bytes.
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()
