"""Outcomes of calls and their reasons, as reported to callers."""

import enum


class Outcome(enum.StrEnum):
    """Whether the request was executed by a target."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a call did not run or why its outcome is unknown."""

    NONE = ""
    BAD_REQUEST = "bad-request"
    NO_ROUTE = "no-route"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    ORGANISATION_LIMIT = "organisation-limit"
    OVERLOAD = "overload"
    NO_TARGET = "no-target"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    TURNED_AWAY = "turned-away"
    DEADLINE = "deadline"
    RETRIES_EXHAUSTED = "retries-exhausted"
    CONNECTION_LOST = "connection-lost"
    TARGET_PROTOCOL = "target-protocol"
    HOME_UNAVAILABLE = "home-unavailable"
    DUPLICATE = "duplicate"
    BODY_TOO_LARGE = "body-too-large"
    MEMORY = "memory"
    NO_CONFIGURATION = "no-configuration"
    EVACUATED = "evacuated-zone"
    COLD_TARGET = "cold-target"
