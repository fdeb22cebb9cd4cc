"""Validated models of the messages between nodes.

Unknown fields are ignored, so that two versions can run side by side during a
rolling upgrade.
"""

from typing import Literal

import pydantic

from sassafras_base import registry


class Message(pydantic.BaseModel):
    """Base of all messages; `type` selects the model."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    type: str


message_types: registry.Registry[type[Message]] = registry.Registry(
    "peer message"
)


@message_types.register("hello")
class Hello(Message):
    """Opens a link and says who speaks."""

    type: Literal["hello"] = "hello"
    node_id: str
    incarnation: int
    availability_zone: str
    nonce: bytes = pydantic.Field(min_length=16, max_length=64)


@message_types.register("challenge")
class Challenge(Message):
    """The listener's hello and its proof."""

    type: Literal["challenge"] = "challenge"
    node_id: str
    incarnation: int
    availability_zone: str
    nonce: bytes = pydantic.Field(min_length=16, max_length=64)
    proof: bytes


@message_types.register("proof")
class Proof(Message):
    """The opener's proof."""

    type: Literal["proof"] = "proof"
    proof: bytes


@message_types.register("welcome")
class Welcome(Message):
    """The listener accepted the opener's proof."""

    type: Literal["welcome"] = "welcome"


@message_types.register("call")
class Call(Message):
    """A request for the target beside the receiving node."""

    type: Literal["call"] = "call"
    call_id: int
    root_id: str = pydantic.Field(max_length=64)
    organisation: str
    priority: int = pydantic.Field(ge=0)
    bucket: int = pydantic.Field(ge=0, le=127)
    deadline_ms: int
    depth: int = pydantic.Field(ge=0)
    at_most_once: bool
    idempotency_key: str = ""
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


@message_types.register("answer")
class AnswerMessage(Message):
    """The whole answer to a call."""

    type: Literal["answer"] = "answer"
    call_id: int
    outcome: str
    reason: str = ""
    status: int = pydantic.Field(ge=100, le=599)
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    retry_after_ms: int = 0
    levels: dict[str, int] = {}
    load: float = 0.0
    leaving: bool = False
    retryable: bool = False
    sub_call_failed: bool = False


@message_types.register("retry_ask")
class RetryAsk(Message):
    """Asks the first node for one more retry, on the call's connection.

    Attributes:
      call_id: The call whose connection it travels on.
      ask_id: Rises with each ask of a call, so that a late or doubled grant
        is not taken for the answer to another ask.
    """

    type: Literal["retry_ask"] = "retry_ask"
    call_id: int
    ask_id: int = 0


@message_types.register("retry_grant")
class RetryGrant(Message):
    """Answers a retry ask."""

    type: Literal["retry_grant"] = "retry_grant"
    call_id: int
    ask_id: int = 0
    granted: bool


@message_types.register("record_claim")
class RecordClaim(Message):
    """Asks an earlier home of a key for its idempotency record.

    Attributes:
      epoch: Roster epoch that makes the sender the home.
      service: Service of the route.
      scope: Digest of organisation, route and key.
    """

    type: Literal["record_claim"] = "record_claim"
    epoch: int
    service: str
    scope: str = pydantic.Field(max_length=64)


@message_types.register("record_handover")
class RecordHandover(Message):
    """Answers a claim; the sender keeps the record no longer.

    Attributes:
      scope: The key of the claim.
      holding: `none`, `held` or `unknown`.
      fingerprint: Digest of the request.
      kept: Whether the answer is whole.
      answer: The stored answer.
    """

    type: Literal["record_handover"] = "record_handover"
    scope: str
    holding: str
    fingerprint: bytes = b""
    kept: bool = True
    answer: AnswerMessage | None = None


class StoredRecordModel(pydantic.BaseModel):
    """An idempotency record as it travels between nodes."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    scope: str = pydantic.Field(max_length=64)
    fingerprint: bytes
    kept: bool
    remaining_ms: int = pydantic.Field(ge=0)
    answer: AnswerMessage


@message_types.register("records_transfer")
class RecordsTransfer(Message):
    """A part of the idempotency records of one node.

    Attributes:
      found: Whether the sender holds a whole deposit; True in a deposit.
      records: The records, in order of expiry.
      is_last: Whether no further part follows.
    """

    type: Literal["records_transfer"] = "records_transfer"
    found: bool = True
    records: list[StoredRecordModel] = []
    is_last: bool = True


@message_types.register("records_ack")
class RecordsAck(Message):
    """Answers a part of a deposit."""

    type: Literal["records_ack"] = "records_ack"
    accepted: bool


@message_types.register("records_fetch")
class RecordsFetch(Message):
    """Asks for the next part of the sender's own deposit."""

    type: Literal["records_fetch"] = "records_fetch"
    is_first: bool


class NodeRecordModel(pydantic.BaseModel):
    """A membership record as it travels between nodes."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    node_id: str
    availability_zone: str
    incarnation: int
    version: int
    status: int = pydantic.Field(ge=0, le=3)
    caller_address: str = ""
    service: str = ""
    target_address: str = ""
    target_state: str = "absent"
    slots: int = 0
    cold_start_s: float = 0.0
    config_revision: int = 0
    roster_epoch: int = 0


class _NodeNews(Message):
    """What both sides of a heartbeat tell each other."""

    node_id: str
    config_revision: int
    roster_epoch: int = 0
    changes: list[NodeRecordModel] = []


@message_types.register("heartbeat")
class Heartbeat(_NodeNews):
    """Says that the sender is alive and what changed since the last one."""

    type: Literal["heartbeat"] = "heartbeat"


@message_types.register("heartbeat_ack")
class HeartbeatAck(_NodeNews):
    """Answers a heartbeat with the same contents from the other side."""

    type: Literal["heartbeat_ack"] = "heartbeat_ack"


@message_types.register("document_fetch")
class DocumentFetch(Message):
    """Asks for a whole document."""

    type: Literal["document_fetch"] = "document_fetch"
    kind: str


@message_types.register("document")
class DocumentMessage(Message):
    """A whole document; empty content when the sender has none."""

    type: Literal["document"] = "document"
    kind: str
    content: bytes


class ReportSeries(pydantic.BaseModel):
    """Recordings of one service and organisation."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    service: str
    organisation: str
    windows: dict[int, tuple[int, int]]
    latency_ms: bytes


@message_types.register("report_fetch")
class ReportFetch(Message):
    """Asks a node for its recordings."""

    type: Literal["report_fetch"] = "report_fetch"


@message_types.register("report")
class Report(Message):
    """A node's recordings."""

    type: Literal["report"] = "report"
    node_id: str
    series: list[ReportSeries] = []


@message_types.register("status_fetch")
class StatusFetch(Message):
    """Asks for the state of a node, at an operator's request."""

    type: Literal["status_fetch"] = "status_fetch"


@message_types.register("status")
class StatusMessage(Message):
    """The state of a node and of the target beside it."""

    type: Literal["status"] = "status"
    node_id: str
    incarnation: int
    config_revision: int
    roster_epoch: int = 0
    target_address: str = ""
    target_state: str = "absent"
    calls_in_flight: int = 0


@message_types.register("token_ask")
class TokenAsk(Message):
    """Asks a holder for tokens of an organisation."""

    type: Literal["token_ask"] = "token_ask"
    number: int
    organisation: str
    wanted: float = pydantic.Field(gt=0, allow_inf_nan=False)


@message_types.register("token_grant")
class TokenGrant(Message):
    """Answers a token ask; the holder has deducted what it grants."""

    type: Literal["token_grant"] = "token_grant"
    number: int
    granted: float = pydantic.Field(ge=0, allow_inf_nan=False)
    lifetime_ms: float = pydantic.Field(ge=0, allow_inf_nan=False)
    next_at_ms: float = pydantic.Field(ge=0, allow_inf_nan=False)
