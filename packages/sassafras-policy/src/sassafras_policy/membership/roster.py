"""The agreed list of nodes that hold base shares and idempotency records."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from sassafras_policy.membership import records


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node of the roster.

    Attributes:
      node_id: Address of the node's peer listener.
      service: Service of its local target.
      incarnation: Its incarnation when it joined. A later incarnation has lost
        the idempotency records of the one that joined.
    """

    node_id: str
    service: str
    incarnation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """One epoch of the roster.

    Attributes:
      epoch: Rises by one with each change; 0 before the first.
      members: The nodes, ordered by id.
      forgotten: Nodes that an operator has declared permanently gone.
      earlier: Member ids of the epochs before this one that some node may
        still use, the oldest first. The oldest of them is settled: every
        member has applied it, so no node uses a share of an epoch before it.
    """

    epoch: int = 0
    members: tuple[Member, ...] = ()
    forgotten: tuple[str, ...] = ()
    earlier: tuple[tuple[str, ...], ...] = ()

    @property
    def node_ids(self) -> tuple[str, ...]:
        """The ids of all members."""
        return tuple(member.node_id for member in self.members)

    def of_service(self, service: str) -> tuple[str, ...]:
        """Returns the ids of the members with a local target of a service."""
        return tuple(
            member.node_id
            for member in self.members
            if member.service == service
        )

    def is_settled(self, reported: Mapping[str, int]) -> bool:
        """Returns whether every member has applied this epoch.

        Args:
          reported: The newest epoch that each node has reported as applied. A
            report stays valid when the node dies afterwards.
        """
        return all(
            reported.get(node_id, 0) >= self.epoch for node_id in self.node_ids
        )

    def with_members(self, joining_members: Iterable[Member]) -> "Roster":
        """Returns the next epoch with more members.

        This epoch must be settled, so that nodes that have seen neither epoch
        can apply the next one safely.
        """
        known = {member.node_id: member for member in self.members}
        known.update((member.node_id, member) for member in joining_members)
        return Roster(
            epoch=self.epoch + 1,
            members=tuple(known[node_id] for node_id in sorted(known)),
            forgotten=tuple(n for n in self.forgotten if n not in known),
            earlier=(self.node_ids,),
        )

    def without_member(self, node_id: str, settled: bool) -> "Roster":
        """Returns the next epoch without a lost node.

        Args:
          node_id: The node that an operator declares gone.
          settled: Whether this epoch is settled. It need not be, as the lost
            node itself may be the one that has not reported it.
        """
        return Roster(
            epoch=self.epoch + 1,
            members=tuple(m for m in self.members if m.node_id != node_id),
            forgotten=(*self.forgotten, node_id),
            earlier=(
                (self.node_ids,) if settled else (*self.earlier, self.node_ids)
            ),
        )


def joining_members(
    roster: Roster, known: Iterable[records.NodeRecord]
) -> tuple[Member, ...]:
    """Returns the nodes that should be added to a roster.

    A forgotten node may rejoin once it has applied the epoch that removed it,
    because it then uses no share of an older one.
    """
    present: Collection[str] = set(roster.node_ids)
    return tuple(
        Member(record.node_id, record.service, record.incarnation)
        for record in known
        if record.node_id not in present
        and record.status is records.Status.ALIVE
        and record.target_state is records.TargetState.SERVING
        and (
            record.node_id not in roster.forgotten
            or record.roster_epoch >= roster.epoch
        )
    )


def reported_epochs(known: Iterable[records.NodeRecord]) -> dict[str, int]:
    """Returns the newest roster epoch that each node has applied."""
    return {record.node_id: record.roster_epoch for record in known}
