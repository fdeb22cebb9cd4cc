"""Validated model of the roster and its JSON form."""

import dataclasses

import pydantic

from sassafras_base import errors
from sassafras_policy.membership import roster as rosters

_STEP = "roster.decode"


class _Model(pydantic.BaseModel):
    # An older node must be able to read a roster of a newer version.
    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, defer_build=True
    )


class MemberModel(_Model):
    """See rosters.Member."""

    node_id: str = pydantic.Field(min_length=1)
    service: str
    incarnation: int = 0


class RosterModel(_Model):
    """See rosters.Roster."""

    epoch: int = pydantic.Field(gt=0)
    members: tuple[MemberModel, ...] = ()
    forgotten: tuple[str, ...] = ()
    earlier: tuple[tuple[str, ...], ...] = ()

    @pydantic.model_validator(mode="after")
    def _check_members(self) -> "RosterModel":
        node_ids = [member.node_id for member in self.members]
        if len(set(node_ids)) != len(node_ids):
            raise ValueError("a node is listed twice among the members")
        return self


def encode(roster: rosters.Roster) -> bytes:
    """Returns a roster as JSON."""
    content = dataclasses.asdict(roster)
    return RosterModel.model_validate(content).model_dump_json().encode()


def decode(data: bytes, source: str) -> rosters.Roster:
    """Returns the roster in JSON data.

    Raises:
      InvalidInputError: The roster is not valid; the caller keeps its current
        one.
    """
    try:
        model = RosterModel.model_validate_json(data)
    except pydantic.ValidationError as error:
        faults = [
            ".".join(str(part) for part in fault["loc"]) + ": " + fault["msg"]
            for fault in error.errors(include_input=False)
        ]
        raise errors.InvalidInputError(_STEP, source, faults) from None
    return rosters.Roster(
        epoch=model.epoch,
        members=tuple(rosters.Member(**dict(item)) for item in model.members),
        forgotten=model.forgotten,
        earlier=model.earlier,
    )
