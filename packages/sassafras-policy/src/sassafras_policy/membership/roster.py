"""The agreed list of nodes that hold base shares and idempotency records."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node of the roster.

    Attributes:
      node_id: Address of the node's peer listener.
      service: Service of the target beside it.
    """

    node_id: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Roster:
    """One epoch of the roster.

    Attributes:
      epoch: Rises by one with each change; 0 before the first.
      members: The nodes, ordered by id.
      forgotten: Nodes that an operator has declared gone for good.
    """

    epoch: int = 0
    members: tuple[Member, ...] = ()
    forgotten: tuple[str, ...] = ()

    @property
    def node_ids(self) -> tuple[str, ...]:
        """The ids of all members."""
        return tuple(member.node_id for member in self.members)

    def of_service(self, service: str) -> tuple[str, ...]:
        """Returns the ids of the members beside targets of a service."""
        return tuple(
            member.node_id
            for member in self.members
            if member.service == service
        )
