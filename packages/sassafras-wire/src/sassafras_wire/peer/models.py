"""Validated models of the messages between nodes.

Unknown fields are ignored, so that nodes of two versions work together during
a rolling upgrade.
"""

from typing import Literal

import pydantic

from sassafras_base import registry


class Message(pydantic.BaseModel):
    """Base of all messages; `type` selects the model."""

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, defer_build=True
    )

    type: str


message_types: registry.Registry[type[Message]] = registry.Registry(
    "peer message"
)


@message_types.register("hello")
class Hello(Message):
    """Opens a link with the identity and the nonce of the opener."""

    type: Literal["hello"] = "hello"
    node_id: str
    incarnation: int
    availability_zone: str
    nonce: bytes = pydantic.Field(min_length=16, max_length=64)


@message_types.register("challenge")
class Challenge(Message):
    """The identity, nonce and proof of the listener."""

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
    """A request for the receiving node's local target."""

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
    """The complete response to a call."""

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
class RetryRequest(Message):
    """Requests one more retry from the node of the root request.

    Attributes:
      call_id: Call on whose connection it is sent.
      ask_id: Increases with each retry request of a call, so that a late or
        duplicate grant does not match another one.
    """

    type: Literal["retry_ask"] = "retry_ask"
    call_id: int
    ask_id: int = 0


@message_types.register("retry_grant")
class RetryGrant(Message):
    """The response to a retry request."""

    type: Literal["retry_grant"] = "retry_grant"
    call_id: int
    ask_id: int = 0
    granted: bool


@message_types.register("record_claim")
class RecordClaim(Message):
    """Requests the idempotency record of a key from its previous home node.

    Attributes:
      epoch: Roster epoch in which the sender is the home node.
      service: Service of the route.
      scope: Digest of organisation, route and key.
    """

    type: Literal["record_claim"] = "record_claim"
    epoch: int
    service: str
    scope: str = pydantic.Field(max_length=64)


@message_types.register("record_handover")
class RecordHandover(Message):
    """The response to a claim; the sender no longer holds the record.

    Attributes:
      scope: The key of the claim.
      holding: `none`, `held` or `unknown`.
      fingerprint: Digest of the request.
      kept: Whether the stored response is complete.
      answer: The stored response.
    """

    type: Literal["record_handover"] = "record_handover"
    scope: str
    holding: str
    fingerprint: bytes = b""
    kept: bool = True
    answer: AnswerMessage | None = None


class StoredRecordModel(pydantic.BaseModel):
    """An idempotency record as sent between nodes."""

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, defer_build=True
    )

    scope: str = pydantic.Field(max_length=64)
    fingerprint: bytes
    kept: bool
    remaining_ms: int = pydantic.Field(ge=0)
    answer: AnswerMessage


@message_types.register("records_transfer")
class RecordsTransfer(Message):
    """One part of the idempotency records of a node.

    Attributes:
      found: Whether the sender holds a complete deposit; True in a deposit.
      records: The records, in order of expiry.
      is_last: Whether no further part follows.
    """

    type: Literal["records_transfer"] = "records_transfer"
    found: bool = True
    records: list[StoredRecordModel] = []
    is_last: bool = True


@message_types.register("records_ack")
class RecordsAck(Message):
    """The response to one part of a deposit."""

    type: Literal["records_ack"] = "records_ack"
    accepted: bool


@message_types.register("records_fetch")
class RecordsFetch(Message):
    """Requests the next part of the sender's own deposit."""

    type: Literal["records_fetch"] = "records_fetch"
    is_first: bool


class NodeRecordModel(pydantic.BaseModel):
    """A membership record as sent between nodes."""

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, defer_build=True
    )

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


class _HeartbeatContent(Message):
    """The contents of a heartbeat and of its response."""

    node_id: str
    config_revision: int
    roster_epoch: int = 0
    changes: list[NodeRecordModel] = []


@message_types.register("heartbeat")
class Heartbeat(_HeartbeatContent):
    """Shows that the sender is alive, with its changes since the last one."""

    type: Literal["heartbeat"] = "heartbeat"


@message_types.register("heartbeat_ack")
class HeartbeatAck(_HeartbeatContent):
    """The response to a heartbeat, with the changes of the other node."""

    type: Literal["heartbeat_ack"] = "heartbeat_ack"


@message_types.register("document_fetch")
class DocumentFetch(Message):
    """Requests a complete document."""

    type: Literal["document_fetch"] = "document_fetch"
    kind: str


@message_types.register("document")
class DocumentMessage(Message):
    """A complete document; empty content when the sender has none."""

    type: Literal["document"] = "document"
    kind: str
    content: bytes


class ReportSeries(pydantic.BaseModel):
    """Recorded figures of one service and organisation."""

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, defer_build=True
    )

    service: str
    organisation: str
    windows: dict[int, tuple[int, int]]
    latency_ms: bytes


@message_types.register("report_fetch")
class ReportFetch(Message):
    """Requests a node's recorded figures."""

    type: Literal["report_fetch"] = "report_fetch"


@message_types.register("report")
class Report(Message):
    """A node's recorded figures."""

    type: Literal["report"] = "report"
    node_id: str
    series: list[ReportSeries] = []


@message_types.register("status_fetch")
class StatusFetch(Message):
    """Requests the state of a node, on behalf of an operator."""

    type: Literal["status_fetch"] = "status_fetch"


@message_types.register("status")
class StatusMessage(Message):
    """The state of a node and of its local target."""

    type: Literal["status"] = "status"
    node_id: str
    incarnation: int
    config_revision: int
    roster_epoch: int = 0
    target_address: str = ""
    target_state: str = "absent"
    calls_in_flight: int = 0


@message_types.register("token_ask")
class TokenRequestMessage(Message):
    """Requests tokens of an organisation from their holder."""

    type: Literal["token_ask"] = "token_ask"
    number: int
    organisation: str
    wanted: float = pydantic.Field(gt=0, allow_inf_nan=False)


@message_types.register("token_grant")
class TokenGrant(Message):
    """The response to a token request; the holder has deducted the grant."""

    type: Literal["token_grant"] = "token_grant"
    number: int
    granted: float = pydantic.Field(ge=0, allow_inf_nan=False)
    lifetime_ms: float = pydantic.Field(ge=0, allow_inf_nan=False)
    next_at_ms: float = pydantic.Field(ge=0, allow_inf_nan=False)
