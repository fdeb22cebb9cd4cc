"""Validated models of what the administration API takes and gives.

Requests refuse unknown fields, which are more likely misspelt than new.
Answers ignore them, so that an older command line can read a newer node.
"""

import enum
from typing import Any
from typing import Literal

import pydantic

from sassafras_wire.settings import node as node_settings

MAXIMUM_NOTE = 500


class WriteOutcome(enum.StrEnum):
    """What became of a change."""

    ATTEMPTED = "attempted"
    WRITTEN = "written"
    UNCHANGED = "unchanged"
    REFUSED = "refused"
    CONFLICT = "conflict"
    NOT_STORED = "not stored"
    UNKNOWN = "unknown"


class Request(pydantic.BaseModel):
    """Base of the requests."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Answer(pydantic.BaseModel):
    """Base of the answers."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class NoInput(Request):
    """A request without parameters."""


Note = pydantic.Field(default="", max_length=MAXIMUM_NOTE)
Label = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")


class ContentRequest(Request):
    """A new content of the configuration, in one of two forms.

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
    """A new content and the revision that it was made from.

    Attributes:
      expected_revision: 0 when there should be no configuration yet.
      note: What the operator says about the change.
    """

    expected_revision: int = pydantic.Field(ge=0)
    note: str = Note


class HistoryQuery(Request):
    """Which earlier contents are wanted.

    Attributes:
      revision: A single revision, with its content; None for a list of all.
    """

    revision: int | None = pydantic.Field(default=None, gt=0)


class RollForwardRequest(Request):
    """An earlier revision whose content is to become the newest one."""

    revision: int = pydantic.Field(gt=0)
    expected_revision: int = pydantic.Field(gt=0)
    note: str = Note


class KeyRequest(Request):
    """A key of an organisation; the label is the operators' name for it."""

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
    """A node whose host is gone for good."""

    node_id: node_settings.Address
    note: str = Note


class AuditQuery(Request):
    """How many of the newest audit records are wanted."""

    limit: int = pydantic.Field(default=100, ge=1, le=1000)


class ReportQuery(Request):
    """Which form of the burn report is wanted."""

    format: str = "text"


class Page(Answer):
    """An answer that travels as it is and not as JSON."""

    content_type: str
    content: str


class FaultModel(Answer):
    """One fault of the input."""

    section: str = ""
    key: str = ""
    given: str = ""
    allowed: str = ""


class DifferenceModel(Answer):
    """One difference between two contents; see differences.Difference."""

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
      outcome: For a change, what became of it.
      revision: For a conflict, the revision that is stored.
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
    """That the node runs, without anything confidential."""

    status: Literal["ok", "draining"]
    node_id: str
    revision: int


class Configuration(Answer):
    """The configuration in force at the node that answers."""

    revision: int
    document: dict[str, Any] | None = None


class Plan(Answer):
    """What a new content would change.

    Attributes:
      revision: The revision in force, to be given to apply.
      differences: The changes; empty when there are none.
    """

    revision: int
    differences: tuple[DifferenceModel, ...] = ()


class Change(Answer):
    """A change that was carried out.

    Attributes:
      outcome: `written`, or `unchanged` when everything was as asked already.
      revision: The revision that is stored now.
      differences: What changed.
    """

    outcome: WriteOutcome
    revision: int
    differences: tuple[DifferenceModel, ...] = ()


class GrantedKey(Change):
    """A new key; this answer is the only place where it is ever shown."""

    organisation: str
    label: str
    key: str


class Content(Answer):
    """An earlier or the newest content."""

    revision: int
    author: str = ""
    note: str = ""
    document: dict[str, Any] | None = None


class History(Answer):
    """The contents in the store, the newest first."""

    contents: tuple[Content, ...] = ()


class Key(Answer):
    """A key in force, without the key itself."""

    organisation: str
    label: str
    digest: str


class Keys(Answer):
    """The keys in force."""

    revision: int
    keys: tuple[Key, ...] = ()


class Target(Answer):
    """A target as the membership table shows it.

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
      state: Its state as its node says, or `unreachable`.
      calls_in_flight: Calls that it still runs; None when its node could not
        be asked.
      drained: Whether it gets no new work and runs none.
    """

    address: str
    state: str
    calls_in_flight: int | None = None
    drained: bool = False


class Node(Answer):
    """A node as the membership table shows it.

    Attributes:
      revision: Configuration revision in force there; None when it could not
        be asked.
      in_roster: Whether it holds base shares.
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
    """The state of the node that answers.

    Attributes:
      peers: Other nodes that this node takes for alive.
      calls_in_flight: Requests and peer calls being served.
      target_calls_in_flight: Calls that the target beside the node runs.
      target_load: Calls at that target as a part of its limit.
      target_limit: Calls that the target may run at once.
      open_level: The admission level at which every call is admitted.
      levels: Admission level by service as known here: that of the target
        beside the node, and for other services what answers carried. A lower
        one refuses more.
      limits: Organisations with their rate and burst.
      refusals: Refused calls by reason since the start; None when the node
        does not count them.
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
    """What an organisation pays for, and this node's part in it.

    Attributes:
      organisation: Its name.
      rate_per_s: Its rate over all hosts together.
      burst: Its burst over all hosts together.
      node_rate_per_s: Base rate of this node; 0 when it is not a holder.
      node_tokens: Tokens that this node can spend now.
    """

    organisation: str
    rate_per_s: float
    burst: float
    node_rate_per_s: float = 0.0
    node_tokens: float = 0.0


class AuditRecord(Answer):
    """One change, as it is kept in the store.

    Attributes:
      number: Rises by one with each record.
      record_id: Random id by which the writer recognises its own record.
      operator: Who made the change.
      action: What was done, such as `keys-grant`.
      subject: To what, such as `north-bank/main`.
      outcome: What became of it; `attempted` when the node could not say.
      revision: Configuration revision or roster epoch that it led to; 0 when
        there is none.
      wall_time_s: Seconds since the Unix epoch.
      note: What the operator said about it.
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
