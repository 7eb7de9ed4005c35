"""Keys and values in the store.

Entries watch one prefix that holds the operator's keys and those that every entry needs. Reports
and orders change more often and have prefixes of their own.
"""

from typing import TypeVar

import msgspec
from msgspec import Struct

from chicorycrank.model.ids import EntryId, JobId, TargetId

# The operator's keys begin with the same letter, so one watch covers both.
SHARED_PREFIX = "o"
OWN_PREFIX = "own/"
JOBS_PREFIX = f"{OWN_PREFIX}jobs/"
PROGRESS_PREFIX = f"{OWN_PREFIX}progress/"
CANCELS_PREFIX = f"{OWN_PREFIX}cancel/"
LEADER_KEY = f"{OWN_PREFIX}leader"
REPORTS_PREFIX = "report/"
REPORT_STATE_PREFIX = f"{REPORTS_PREFIX}state/"
PRESENCE_PREFIX = f"{REPORTS_PREFIX}present/"
ORDERS_PREFIX = "order/"

Value = TypeVar("Value")
ENCODER = msgspec.json.Encoder()


class LeaderRecord(Struct, frozen=True, kw_only=True):
    """Holder of the leader role.

    :param term: random name of the term
    :param writes: writes of the term so far; tells whether an unanswered write was applied
    """

    entry: EntryId
    term: str
    writes: int = 0


def job_key(job_id: JobId) -> str:
    """Return the key of a submission."""
    return f"{JOBS_PREFIX}{job_id}"


def progress_key(job_id: JobId) -> str:
    """Return the key of a job's progress."""
    return f"{PROGRESS_PREFIX}{job_id}"


def cancel_key(job_id: JobId) -> str:
    """Return the key that exists once a job is cancelled."""
    return f"{CANCELS_PREFIX}{job_id}"


def report_key(worker: TargetId) -> str:
    """Return the key of a worker's report."""
    return f"{REPORT_STATE_PREFIX}{worker}"


def presence_key(worker: TargetId) -> str:
    """Return the key that exists while a worker's agent renews its lease."""
    return f"{PRESENCE_PREFIX}{worker}"


def order_key(worker: TargetId) -> str:
    """Return the key of what may run on a worker."""
    return f"{ORDERS_PREFIX}{worker}"


def encode(value: Struct) -> bytes:
    """Encode a record."""
    return ENCODER.encode(value)


def decode(data: bytes, kind: type[Value]) -> Value:
    """Decode a record.

    :raises msgspec.DecodeError: another writer's value
    """
    return msgspec.json.decode(data, type=kind)
