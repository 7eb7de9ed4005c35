"""Keys and encoding of the records in the store.

Entries watch one prefix that covers the operator's keys and the records that every entry needs.
Reports, orders and the progress of jobs change more often, so they have separate prefixes.
"""

from typing import TypeVar

import msgspec
from msgspec import Struct, field

from chicorycrank.model.batch import BatchState, Progress, Unit
from chicorycrank.model.ids import EntryId, JobId, TargetId

# The operator's keys start with the same letter, so one watch covers both.
WATCHED_PREFIX = "o"
OWN_PREFIX = "own/"
JOBS_PREFIX = f"{OWN_PREFIX}jobs/"
STATES_PREFIX = f"{OWN_PREFIX}state/"
CANCELS_PREFIX = f"{OWN_PREFIX}cancel/"
LEADER_KEY = f"{OWN_PREFIX}leader"
LOAD_KEY = f"{OWN_PREFIX}load"
REPORTS_PREFIX = "report/"
REPORT_STATE_PREFIX = f"{REPORTS_PREFIX}state/"
PRESENCE_PREFIX = f"{REPORTS_PREFIX}present/"
RESUMPTION_PREFIX = f"{REPORTS_PREFIX}resumed/"
ORDERS_PREFIX = "work-order/"
# Orders of versions whose entries watched them.
FORMER_ORDERS_PREFIX = "order/"
PROGRESS_PREFIX = "progress/"
PERFORMANCE_KEY = "performance/summary"

Value = TypeVar("Value")
ENCODER = msgspec.json.Encoder()


class LeaderRecord(Struct, frozen=True, kw_only=True):
    """Record of the entry that holds the leader role.

    :param term: random identifier of the term
    :param writes: number of writes in the term; shows whether an unanswered write was applied
    """

    entry: EntryId
    term: str
    writes: int = 0


class StateRecord(Struct, frozen=True, omit_defaults=True):
    """State of a job apart from its cancellation; a job without a record is queued.

    :param reason: why the job has failed, or why it is not planned
    """

    state: BatchState
    reason: str = ""


class ProgressRecord(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Stored form of :class:`Progress`.

    :param units: units with their keys; a mapping in records of versions without ``done``. These
        versions cannot read a list, so they do not start units that are done.
    """

    state: BatchState = BatchState.QUEUED
    units: list[tuple[str, Unit]] | dict[str, Unit] = field(default_factory=dict)
    done: list[tuple[int, int]] = []
    ended_at_ms: int = 0
    reason: str = ""


def encode_progress(progress: Progress) -> bytes:
    """Encode the progress of a job."""
    record = ProgressRecord(
        state=progress.state,
        units=list(progress.units.items()),
        done=progress.done,
        ended_at_ms=progress.ended_at_ms,
        reason=progress.reason,
    )
    return encode(record)


def decode_progress(data: bytes) -> Progress:
    """Decode the progress of a job.

    :raises msgspec.DecodeError: the value is no progress record
    """
    record = decode(data, ProgressRecord)
    return Progress(
        state=record.state,
        units=dict(record.units),
        done=record.done,
        ended_at_ms=record.ended_at_ms,
        reason=record.reason,
    )


def job_key(job_id: JobId) -> str:
    """Return the key of a submission."""
    return f"{JOBS_PREFIX}{job_id}"


def state_key(job_id: JobId) -> str:
    """Return the key of a job's state, which changes less often than its progress."""
    return f"{STATES_PREFIX}{job_id}"


def progress_key(job_id: JobId) -> str:
    """Return the key of a job's progress."""
    return f"{PROGRESS_PREFIX}{job_id}"


def cancel_key(job_id: JobId) -> str:
    """Return the key that exists if a job is cancelled."""
    return f"{CANCELS_PREFIX}{job_id}"


def report_key(worker: TargetId) -> str:
    """Return the key of a worker's report."""
    return f"{REPORT_STATE_PREFIX}{worker}"


def presence_key(worker: TargetId) -> str:
    """Return the key that exists while a worker's agent renews its presence lease."""
    return f"{PRESENCE_PREFIX}{worker}"


def resumption_key(worker: TargetId) -> str:
    """Return the key that an agent writes together with each new presence key, without a lease."""
    return f"{RESUMPTION_PREFIX}{worker}"


def order_key(worker: TargetId) -> str:
    """Return the key of a worker's order."""
    return f"{ORDERS_PREFIX}{worker}"


def encode(value: Struct) -> bytes:
    """Encode a record as JSON."""
    return ENCODER.encode(value)


def decode(data: bytes, kind: type[Value]) -> Value:
    """Decode a record from JSON.

    :raises msgspec.DecodeError: the value is not a record of this kind
    """
    return msgspec.json.decode(data, type=kind)
