"""Short requests and their outcomes."""

from enum import Enum

from msgspec import Struct

from chicorycrank.model.ids import (
    Incarnation,
    Nonce,
    RegionId,
    RequestKey,
    ServiceId,
    TargetId,
    TeamId,
)


class Outcome(Enum):
    """The four possible outcomes of a request."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RequestClass(Enum):
    """Urgency class of a service."""

    URGENT = "urgent"
    PATIENT = "patient"


class Request(Struct, frozen=True, kw_only=True):
    """A request as the entry accepted it.

    :param key: the caller's idempotency key, or one the entry made
    :param deadline_s: time left for the answer in seconds
    """

    key: RequestKey
    team: TeamId
    service: ServiceId
    request_class: RequestClass
    repeatable: bool
    deadline_s: float
    body: bytes


class Answer(Struct, frozen=True, kw_only=True):
    """Outcome of a request.

    :param detail: reason for people when the outcome is not ``completed``
    :param body: the target's answer, complete
    :param retry_after_s: hint in seconds for ``not_run``
    :param target: executor that ran the request
    """

    outcome: Outcome
    detail: str = ""
    body: bytes = b""
    content_type: str = "application/json"
    retry_after_s: float | None = None
    target: TargetId | None = None


class ClaimState(Enum):
    """State of a claim on a request key.

    A released claim was never run and never will be; the key may be claimed again.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"


class Claim(Struct, frozen=True, kw_only=True):
    """Durable mark that one agent may run a non-repeatable request.

    :param claimed_at: seconds since the epoch
    :param region: region of the agent
    :param digest: digest of team, service and body; empty in records of older versions
    """

    key: RequestKey
    nonce: Nonce
    target: TargetId
    incarnation: Incarnation
    state: ClaimState
    claimed_at: float
    answer: Answer | None = None
    region: RegionId = RegionId("")
    digest: str = ""
