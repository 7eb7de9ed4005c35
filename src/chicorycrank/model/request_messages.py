"""Messages for short requests."""

from enum import Enum

from chicorycrank.model.ids import (
    AttemptId,
    Incarnation,
    Nonce,
    RequestKey,
    TargetId,
)
from chicorycrank.model.message import Message
from chicorycrank.model.requests import Answer, Request
from chicorycrank.model.targets import (
    ExecutorLoad,
)


class ExecutorReport(Message, frozen=True):
    """Load of the sender's executor."""

    load: ExecutorLoad


class RunRequest(Message, frozen=True):
    """Call to an agent to run a request; answered by RunResult or Refused.

    :param incarnation: agent incarnation that may run the request
    """

    attempt_id: AttemptId
    nonce: Nonce
    incarnation: Incarnation
    request: Request


class RunResult(Message, frozen=True):
    """Reply with the outcome of an attempt."""

    attempt_id: AttemptId
    answer: Answer


class QueryAttempt(Message, frozen=True):
    """Query for the outcome of an attempt after a lost connection.

    The receiver refuses an unknown attempt from then on.
    """

    attempt_id: AttemptId
    incarnation: Incarnation


class QueryKey(Message, frozen=True):
    """Query whether the request of a claimed key has run; answered by :class:`KeyState`.

    The agent refuses an unknown nonce from then on.
    """

    key: RequestKey
    nonce: Nonce
    incarnation: Incarnation


class QueryKeyAt(Message, frozen=True):
    """Request to an entry to send a :class:`QueryKey` to an agent of its region."""

    target: TargetId
    key: RequestKey
    nonce: Nonce
    incarnation: Incarnation


class KeyStatus(Enum):
    """State of a key or attempt at the receiver of a query."""

    NEVER_RAN = "never_ran"  # not received, and refused from now on
    RUNNING = "running"
    DONE = "done"
    OTHER_INCARNATION = "other_incarnation"  # the agent has restarted since the attempt


class KeyState(Message, frozen=True):
    """Reply to :class:`QueryKey` and :class:`QueryAttempt`."""

    status: KeyStatus
    answer: Answer | None = None


class ForwardRequest(Message, frozen=True):
    """Call to an entry to run a request in its region; answered by RunResult or Refused."""

    attempt_id: AttemptId
    request: Request
