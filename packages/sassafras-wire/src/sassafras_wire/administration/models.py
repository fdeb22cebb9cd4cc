"""Validated models of the administration API's requests and responses.

Requests reject unknown fields, which are more likely misspelt than new.
Responses ignore them, so that an older command line works with a newer node.
"""

import enum
from typing import Any
from typing import Literal

import pydantic

from sassafras_wire.settings import node as node_settings

MAX_NOTE_LENGTH = 500


class WriteOutcome(enum.StrEnum):
    """Outcome of a change."""

    ATTEMPTED = "attempted"
    WRITTEN = "written"
    UNCHANGED = "unchanged"
    REFUSED = "refused"
    CONFLICT = "conflict"
    NOT_STORED = "not stored"
    UNKNOWN = "unknown"


class Request(pydantic.BaseModel):
    """Base of the requests; rejects unknown fields."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, defer_build=True
    )


class Answer(pydantic.BaseModel):
    """Base of the responses; ignores unknown fields."""

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, defer_build=True
    )


class EmptyRequest(Request):
    """A request without parameters."""


Note = pydantic.Field(default="", max_length=MAX_NOTE_LENGTH)
Label = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")


class ContentRequest(Request):
    """New configuration content, in one of two forms.

    Attributes:
      questionnaire: Text of a questionnaire.
      document: A document as `GET /configuration` returns it.
    """

    questionnaire: str | None = None
    document: dict[str, Any] | None = None

    @pydantic.model_validator(mode="after")
    def _check_one(self) -> "ContentRequest":
        if (self.questionnaire is None) == (self.document is None):
            raise ValueError("give either a questionnaire or a document")
        return self


class ApplyRequest(ContentRequest):
    """New content and the revision on which it is based.

    Attributes:
      expected_revision: 0 if there must be no configuration yet.
      note: The operator's comment on the change.
    """

    expected_revision: int = pydantic.Field(ge=0)
    note: str = Note


class HistoryQuery(Request):
    """Selects earlier contents.

    Attributes:
      revision: Returns only this revision, with its content; None lists all.
    """

    revision: int | None = pydantic.Field(default=None, gt=0)


class RollForwardRequest(Request):
    """An earlier revision to restore as the newest one."""

    revision: int = pydantic.Field(gt=0)
    expected_revision: int = pydantic.Field(gt=0)
    note: str = Note


class KeyRequest(Request):
    """A key of an organisation, identified by the operators' label."""

    organisation: str = pydantic.Field(min_length=1, max_length=63)
    label: str = Label
    note: str = Note


class TargetRequest(Request):
    """A target, by the address that it announces."""

    address: node_settings.Address
    note: str = Note


class TargetQuery(Request):
    """A target, by the address that it announces."""

    address: node_settings.Address


class ForgetRequest(Request):
    """A node to remove from the roster; its host must be gone."""

    node_id: node_settings.Address
    note: str = Note


class AuditQuery(Request):
    """Number of audit records to return, the newest first."""

    limit: int = pydantic.Field(default=100, ge=1, le=1000)


class ReportQuery(Request):
    """Output format of the burn report."""

    format: str = "text"


class RawResponse(Answer):
    """A response body that is sent verbatim instead of as JSON."""

    content_type: str
    content: str


class FaultModel(Answer):
    """A fault in the input.

    Attributes:
      line: Line number in a questionnaire; 0 if there is none.
    """

    section: str = ""
    key: str = ""
    given: str = ""
    allowed: str = ""
    line: int = 0


class DifferenceModel(Answer):
    """A difference between two contents; see differences.Difference."""

    subject: str
    action: str
    field: str = ""
    before: str = ""
    after: str = ""


class Problem(Answer):
    """Why a request was not carried out.

    Attributes:
      step: The step that failed.
      peer: The other side at that step.
      problem: What went wrong.
      advice: What the operator can do.
      outcome: For a change, its outcome.
      revision: For a conflict, the stored revision.
      faults: For invalid input, every fault.
      differences: For a conflict, what the change would alter in the stored
        revision.
    """

    step: str
    peer: str
    problem: str
    advice: str = ""
    outcome: WriteOutcome | None = None
    revision: int | None = None
    faults: tuple[FaultModel, ...] = ()
    differences: tuple[DifferenceModel, ...] = ()


class Health(Answer):
    """Liveness of the node, without confidential data."""

    status: Literal["ok", "draining"]
    node_id: str
    revision: int


class Configuration(Answer):
    """The active configuration of the responding node."""

    revision: int
    document: dict[str, Any] | None = None


class Plan(Answer):
    """What a new content would change.

    Attributes:
      revision: The active revision, to be passed to apply.
      differences: The changes; empty when there are none.
    """

    revision: int
    differences: tuple[DifferenceModel, ...] = ()


class Change(Answer):
    """Result of a successful change.

    Attributes:
      outcome: `written`, or `unchanged` if there was nothing to change.
      revision: The revision that is now stored.
      differences: What changed.
    """

    outcome: WriteOutcome
    revision: int
    differences: tuple[DifferenceModel, ...] = ()


class GrantedKey(Change):
    """A new key; only this response contains it."""

    organisation: str
    label: str
    key: str


class Content(Answer):
    """A stored revision of the configuration and its content."""

    revision: int
    author: str = ""
    note: str = ""
    document: dict[str, Any] | None = None


class History(Answer):
    """The stored contents, the newest first."""

    contents: tuple[Content, ...] = ()


class Key(Answer):
    """An active key, identified by label and digest."""

    organisation: str
    label: str
    digest: str


class Keys(Answer):
    """The active keys."""

    revision: int
    keys: tuple[Key, ...] = ()


class Target(Answer):
    """A target in the membership table.

    Attributes:
      stopped: Whether operators have stopped it.
    """

    address: str
    service: str
    node_id: str
    availability_zone: str
    state: str
    slots: int
    stopped: bool


class Targets(Answer):
    """The known targets."""

    revision: int
    targets: tuple[Target, ...] = ()


class Drain(Answer):
    """How far a target has drained.

    Attributes:
      state: State reported by its node, or `unreachable`.
      calls_in_flight: Calls still running there; None if its node could not be
        queried.
      drained: Whether it receives no new calls and has none in flight.
    """

    address: str
    state: str
    calls_in_flight: int | None = None
    drained: bool = False


class Node(Answer):
    """A node in the membership table.

    Attributes:
      revision: Its active configuration revision; None if it could not be
        queried.
      in_roster: Whether it is in the roster, so that it holds base shares.
    """

    node_id: str
    availability_zone: str
    status: str
    incarnation: int
    service: str = ""
    target_state: str = ""
    revision: int | None = None
    roster_epoch: int | None = None
    in_roster: bool = False


class Nodes(Answer):
    """The known nodes."""

    revision: int
    roster_epoch: int
    nodes: tuple[Node, ...] = ()


class Status(Answer):
    """The state of the responding node.

    Attributes:
      peers: Number of other nodes that this node considers alive.
      calls_in_flight: Requests and peer calls being served.
      target_calls_in_flight: Calls in flight at the local target.
      target_load: Calls at the local target as a fraction of its limit.
      target_limit: Concurrency limit of the local target.
      open_level: The admission level at which every call is admitted.
      levels: Admission level by service: that of the local target, and for
        other services the one received in responses. A lower level refuses
        more calls.
      limits: Organisations with their rate and burst.
      refusals: Refused calls by reason since the start; None if the node does
        not count them.
    """

    node_id: str
    availability_zone: str
    incarnation: int
    revision: int
    roster_epoch: int
    draining: bool
    peers: int = 0
    calls_in_flight: int
    target: Target | None = None
    target_calls_in_flight: int = 0
    target_load: float = 0.0
    target_limit: int = 0
    store_calls: int = 0
    open_level: int = 0
    levels: dict[str, int] = {}
    limits: tuple["Limit", ...] = ()
    refusals: dict[str, int] | None = None


class Limit(Answer):
    """Rate limit of an organisation, and this node's share of it.

    Attributes:
      organisation: Its name.
      rate_per_s: Its rate over all hosts.
      burst: Its burst over all hosts.
      node_rate_per_s: Base rate of this node; 0 if it is not a holder.
      node_tokens: Tokens that this node can spend now.
    """

    organisation: str
    rate_per_s: float
    burst: float
    node_rate_per_s: float = 0.0
    node_tokens: float = 0.0


class AuditRecord(Answer):
    """A stored record of one change.

    Attributes:
      number: Sequence number, one higher for each record.
      record_id: Random id by which the writer recognises its own record.
      operator: Name of the operator who made the change.
      action: Kind of change, such as `keys-grant`.
      subject: Object of the change, such as `north-bank/main`.
      outcome: `attempted` if the node did not record the final outcome.
      revision: Resulting configuration revision or roster epoch; 0 if there is
        none.
      wall_time_s: Seconds since the Unix epoch.
      note: The operator's comment.
    """

    number: int = pydantic.Field(gt=0)
    record_id: str
    operator: str
    action: str
    subject: str = ""
    outcome: WriteOutcome = WriteOutcome.ATTEMPTED
    revision: int = 0
    wall_time_s: float = 0.0
    note: str = ""


class Audit(Answer):
    """The newest audit records, the newest first."""

    records: tuple[AuditRecord, ...] = ()
