"""Which node keeps the record of an idempotency key."""

import dataclasses
import hashlib

from sassafras_base import hashing
from sassafras_policy.idempotency import records
from sassafras_policy.membership import roster as rosters

# A record made by an old home just before it heard of a new epoch is younger
# than that epoch; nodes hear of an epoch within 8 s.
BLOCK_S = records.LIFETIME_S + 10.0


def scope_of(organisation: str, route: str, key: str) -> str:
    """Returns the digest that names a key of one organisation and route.

    The same key of another organisation is another request.
    """
    return _digest(organisation.encode(), route.encode(), key.encode()).hex()


def fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Returns the digest by which repeats with other contents are found."""
    return _digest(method.encode(), path.encode("utf-8", "replace"), body)


def home(scope: str, members: tuple[str, ...]) -> str | None:
    """Returns the home among the members of a service, or None."""
    chosen = hashing.rendezvous(scope, members, 1)
    return chosen[0] if chosen else None


@dataclasses.dataclass(frozen=True, slots=True)
class _Superseded:
    """Members of an epoch that a newer one has replaced.

    Attributes:
      members: Id and service; the service of a node that is gone may be
        unknown, which None says.
      until: When no record made under the epoch can be alive any more.
    """

    members: tuple[tuple[str, str | None], ...]
    until: float

    def of_service(self, service: str) -> tuple[str, ...]:
        return tuple(
            node_id
            for node_id, name in self.members
            if name is None or name == service
        )


class Homes:
    """Finds homes under the roster in force and those before it.

    A node that has lost the records of an earlier life must not run a key
    that they may have held. It knows that it had no earlier life as a member
    when the roster gives its own incarnation as the one that joined.
    """

    def __init__(self, own_id: str, own_incarnation: int, now: float) -> None:
        self._own_id = own_id
        self._own_incarnation = own_incarnation
        self._started_at = now
        self._roster = rosters.Roster()
        self._recovered = False
        self._superseded: list[_Superseded] = []

    @property
    def epoch(self) -> int:
        """The epoch in force."""
        return self._roster.epoch

    def adopt(self, roster: rosters.Roster, now: float) -> None:
        """Takes over a roster with a higher epoch."""
        replaced: list[tuple[tuple[str, str | None], ...]] = []
        if self._roster.epoch:
            replaced.append(
                tuple((m.node_id, m.service) for m in self._roster.members)
            )
        else:
            services = {m.node_id: m.service for m in roster.members}
            replaced = [
                tuple((node_id, services.get(node_id)) for node_id in ids)
                for ids in roster.earlier
            ]
        self._superseded = [s for s in self._superseded if s.until > now]
        self._superseded += [
            _Superseded(members, now + BLOCK_S) for members in replaced
        ]
        self._roster = roster

    def home_of(self, service: str, scope: str) -> str | None:
        """Returns the home of a key, or None without members."""
        return home(scope, self._roster.of_service(service))

    def earlier_homes(
        self, service: str, scope: str, now: float
    ) -> frozenset[str]:
        """Returns other nodes that may hold a record of a key."""
        found = {
            home(scope, superseded.of_service(service))
            for superseded in self._superseded
            if superseded.until > now
        }
        return frozenset(
            node_id
            for node_id in found
            if node_id is not None and node_id != self._own_id
        )

    def recovered(self) -> None:
        """Notes that the records of an earlier life have been restored."""
        self._recovered = True

    def has_lost_records(self, now: float) -> bool:
        """Returns whether records of an earlier life may be missing here."""
        for member in self._roster.members:
            if member.node_id == self._own_id:
                return not self._recovered and (
                    member.incarnation < self._own_incarnation
                    and now < self._started_at + BLOCK_S
                )
        return False


def _digest(*parts: bytes) -> bytes:
    state = hashlib.sha256()
    for part in parts:
        # Lengths keep different parts from joining to the same bytes.
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.digest()
