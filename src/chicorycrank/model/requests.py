"""Short requests, their outcomes and the claims on request keys."""

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
    """Outcome of a request."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"  # it is certain that the request has not run
    UNKNOWN = "unknown"  # the request may have run or may still run


class RequestClass(Enum):
    """Urgency class of a service."""

    URGENT = "urgent"
    PATIENT = "patient"  # dequeued after urgent requests


class Request(Struct, frozen=True, kw_only=True):
    """Request that an entry has accepted.

    :param key: idempotency key of the caller, or one that the entry generated
    :param repeatable: running the request more than once is safe
    :param deadline_s: remaining time in seconds until the deadline
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

    :param detail: explanation for people if the outcome is not ``completed``
    :param body: complete response body of the target
    :param retry_after_s: suggested delay before a retry in seconds, for ``not_run``
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

    The request of a released claim has not run and cannot run any more, so the key may be
    claimed again.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"


class Claim(Struct, frozen=True, kw_only=True):
    """Stored record that permits one agent to run a non-repeatable request.

    :param nonce: value unique to the claim
    :param target: target of the agent
    :param incarnation: incarnation of the agent
    :param claimed_at: Unix time in seconds
    :param region: region of the agent
    :param digest: digest of team, service and body, which must be equal in all requests with the
        key; empty in records of older versions
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
