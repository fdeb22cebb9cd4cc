"""The holders of an organisation's base shares, and the size of each share."""

from collections.abc import Iterable
import dataclasses

from sassafras_base import hashing
from sassafras_policy.configuration import document as documents
from sassafras_policy.membership import roster as rosters

MAXIMUM_HOLDERS = 16

# The membership layer reports a new roster epoch only after tokens given
# under the old one have expired, so its delay must exceed this.
MAX_LIFETIME_S = 0.25
# With a shorter lifetime, network latency would consume much of it.
_MIN_LIFETIME_S = 0.05


def holders(organisation: str, node_ids: Iterable[str]) -> tuple[str, ...]:
    """Returns the nodes that hold shares of an organisation."""
    return tuple(hashing.rendezvous(organisation, node_ids, MAXIMUM_HOLDERS))


def lifetime_s(organisation: documents.Organisation) -> float:
    """Returns how long transferred tokens may be spent, in seconds.

    Outstanding tokens, spent ones included, count towards the cap. At the full
    rate, rate x lifetime tokens are outstanding, which should leave most of the
    burst free: a quarter of the burst lost 2 % of demand that moved twice a
    second, an eighth lost 0.7 %.
    """
    by_burst = organisation.burst / organisation.rate_per_s / 8
    return min(MAX_LIFETIME_S, max(_MIN_LIFETIME_S, by_burst))


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """One node's share of one organisation's tokens.

    Attributes:
      rate_per_s: Base rate of this node; 0 when it is not a holder.
      cap: Maximum of its held and outstanding tokens together.
      holders: The other nodes that hold shares.
      holder_rate_per_s: Base rate of each of them.
      holder_cap: Cap of each of them.
      lifetime_s: Lifetime of transferred tokens.
    """

    rate_per_s: float
    cap: float
    holders: tuple[str, ...]
    holder_rate_per_s: float
    holder_cap: float
    lifetime_s: float


def allocate(
    organisation: documents.Organisation,
    own_id: str,
    roster: rosters.Roster,
    settled: bool,
) -> Allocation:
    """Returns a node's allocation under a roster.

    Until the epoch is settled, another node may still use its share under an
    earlier epoch. Each node then uses the smallest of its shares, so that the
    sum stays within the rate whichever of the epochs the others use.
    """
    epochs = [roster.node_ids]
    if not settled:
        epochs.extend(roster.earlier or ((),))
    by_epoch = [holders(organisation.name, ids) for ids in epochs]
    fraction = min(_fraction(own_id, holder_ids) for holder_ids in by_epoch)
    holders_in_all = set(by_epoch[0]).intersection(*by_epoch)
    others = [node for node in by_epoch[0] if node != own_id]
    min_fraction = min(
        (1 / len(holder_ids) for holder_ids in by_epoch if holder_ids),
        default=0.0,
    )
    return Allocation(
        rate_per_s=organisation.rate_per_s * fraction,
        cap=organisation.burst * fraction,
        holders=tuple(node for node in others if node in holders_in_all)
        or tuple(others),
        holder_rate_per_s=organisation.rate_per_s * min_fraction,
        holder_cap=organisation.burst * min_fraction,
        lifetime_s=lifetime_s(organisation),
    )


def _fraction(own_id: str, holder_ids: tuple[str, ...]) -> float:
    return 1 / len(holder_ids) if own_id in holder_ids else 0.0
