"""Messages of short requests."""

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
    """Runs a request on the agent's executor; answered by :class:`RunResult`."""

    attempt_id: AttemptId
    nonce: Nonce
    incarnation: Incarnation
    request: Request


class RunResult(Message, frozen=True):
    """Outcome of an attempt."""

    attempt_id: AttemptId
    answer: Answer


class QueryAttempt(Message, frozen=True):
    """Asks for the outcome of an attempt after a lost connection."""

    attempt_id: AttemptId
    incarnation: Incarnation


class QueryKey(Message, frozen=True):
    """Asks whether a claimed key has run; an unseen nonce is refused from then on."""

    key: RequestKey
    nonce: Nonce
    incarnation: Incarnation


class QueryKeyAt(Message, frozen=True):
    """Entry to entry: put a :class:`QueryKey` to an agent of the receiver's region."""

    target: TargetId
    key: RequestKey
    nonce: Nonce
    incarnation: Incarnation


class KeyStatus(Enum):
    """What an agent knows of a key or an attempt."""

    NEVER_RAN = "never_ran"
    RUNNING = "running"
    DONE = "done"
    OTHER_INCARNATION = "other_incarnation"


class KeyState(Message, frozen=True):
    """Reply to :class:`QueryKey` and :class:`QueryAttempt`."""

    status: KeyStatus
    answer: Answer | None = None


class ForwardRequest(Message, frozen=True):
    """Runs a request in the receiving entry's region; answered by :class:`RunResult`."""

    attempt_id: AttemptId
    request: Request
