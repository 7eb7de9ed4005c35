"""Writing of the leader's records: progress and states of jobs, and orders of workers."""

import logging
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import chain

from chicorycrank.batch.keys import (
    CANCELS_PREFIX,
    WATCHED_PREFIX,
    StateRecord,
    cancel_key,
    encode,
    encode_progress,
    order_key,
    progress_key,
    state_key,
)
from chicorycrank.batch.known_jobs import cancel_jobs
from chicorycrank.batch.metrics import STARTS_PREVENTED
from chicorycrank.batch.orders import MAX_JOBS_STARTED_PER_ORDER, MAX_KEYS_PER_WRITE
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.role import NO_CONDITIONS, LeaderRole
from chicorycrank.batch.threads import Event
from chicorycrank.batch.units import state_of
from chicorycrank.batch.view import NOT_STARTED, SharedView
from chicorycrank.model.batch import BatchState
from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import MISSING, Item, Revision, StoreUnavailableError

COMMIT_RETRY_S = 0.1
NO_VALUES: Mapping[str, bytes] = {}

logger = logging.getLogger("absl")


@dataclass(kw_only=True)
class PartialWrite:
    """Values, deletions and conditions that go into one write of the leader."""

    values: dict[str, bytes] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)
    expected: dict[str, Revision] = field(default_factory=dict)

    def joined(self, other: "PartialWrite") -> "PartialWrite":
        """Return the write that does what both do."""
        return PartialWrite(
            values={**self.values, **other.values},
            deletes=[*self.deletes, *other.deletes],
            expected={**self.expected, **other.expected},
        )

    @property
    def fits(self) -> bool:
        """Whether the store accepts that many keys."""
        return len(self.values) + len(self.deletes) + len(self.expected) <= MAX_KEYS_PER_WRITE


def join_writes(parts: Iterable[PartialWrite]) -> Iterator[PartialWrite]:
    """Join consecutive writes as far as the store accepts them; no single one is split."""
    joined = PartialWrite()
    for part in parts:
        longer = joined.joined(part)
        if not longer.fits:
            yield joined
            longer = part
        joined = longer
    yield joined


class RecordWriter:
    """Writer of the records of one term.

    :param replica: keeps ``view`` up to date
    :param raise_if_ended: raises :class:`RoleLostError` once the term has ended
    :param stop: set when the process stops
    """

    def __init__(
        self,
        role: LeaderRole,
        view: SharedView,
        replica: Replica,
        clock: Clock,
        raise_if_ended: Callable[[], None],
        stop: Event,
    ) -> None:
        self._role = role
        self._view = view
        self._replica = replica
        self._clock = clock
        self._raise_if_ended = raise_if_ended
        self._stop = stop

    def changed_state(self, planner: Planner, job_id: JobId) -> StateRecord | None:
        """Return the state of a job if its record in the store has to be written."""
        progress = planner.progress_by_id[job_id]
        state = state_of(progress)
        reason = planner.failing_jobs.reason_by_id.get(job_id, "")
        record = StateRecord(state, progress.reason if state is BatchState.FAILED else reason)
        written = self._view.state_by_id.get(job_id, NOT_STARTED)
        return None if record == written else record

    def write_changes(
        self,
        planner: Planner,
        deletes: Sequence[str],
        other_values: Mapping[str, bytes] = NO_VALUES,
    ) -> None:
        """Write the changed records of a planner and other values, and delete keys.

        If the store holds a cancellation of a job that is to be started, the job is cancelled, and
        the changed records are written without its start.
        """
        if not planner.changes and not deletes and not other_values:
            return
        while not self._try_write(planner, deletes, other_values):
            self._cancel_conflicting_jobs(planner)
        changes = planner.changes
        for worker in changes.workers & planner.workers.by_id.keys():
            planner.workers.by_id[worker].order_written_at = self._clock.monotonic()
        changes.clear()

    def write_ends(self, planner: Planner) -> None:
        """Write the changed progress of all jobs, with the ends that reports have brought.

        An agent takes an order that omits a run as the proof that the end of the run is stored, so
        this comes before such an order.
        """
        parts = self._progress_writes(planner)
        if parts:
            for part in join_writes(parts):
                self.write(part.values)
        planner.changes.jobs.clear()

    def write(
        self,
        values: Mapping[str, bytes],
        deletes: Sequence[str] = (),
        expected: Mapping[str, Revision] = NO_CONDITIONS,
    ) -> bool:
        """Write until the store confirms it; return false if a condition does not hold.

        :raises RoleLostError: the role is lost, or the process stops
        """
        while True:
            self._raise_if_ended()
            try:
                is_written = self._role.write(values, deletes, expected)
            except StoreUnavailableError as error:
                logger.warning("event=leader_write_failed error=%s", error)
                self._stop.wait(COMMIT_RETRY_S)
            else:
                if is_written:
                    self._apply_written(values, deletes)
                return is_written

    def _try_write(
        self, planner: Planner, deletes: Sequence[str], other_values: Mapping[str, bytes]
    ) -> bool:
        """Write the changed records; return false if a job that starts has been cancelled."""
        workers = planner.changes.workers
        parts = chain(
            self._progress_writes(planner),
            chain.from_iterable(self._order_writes(planner, worker) for worker in workers),
            (PartialWrite(deletes=[key]) for key in deletes),
            (PartialWrite(values={key: value}) for key, value in other_values.items()),
        )
        return all(
            self.write(part.values, part.deletes, part.expected) for part in join_writes(parts)
        )

    def _progress_writes(self, planner: Planner) -> list[PartialWrite]:
        """Return the writes of the changed progress records, and of the states that differ."""
        changed_jobs = planner.changes.jobs & planner.progress_by_id.keys()
        with self._view.lock:
            states = {job_id: self.changed_state(planner, job_id) for job_id in changed_jobs}
        values: dict[str, bytes] = {}
        for job_id, state in states.items():
            values[progress_key(job_id)] = encode_progress(planner.progress_by_id[job_id])
            if state is not None:
                values[state_key(job_id)] = encode(state)
        return [PartialWrite(values={key: value}) for key, value in values.items()]

    def _order_writes(self, planner: Planner, worker: TargetId) -> Iterator[PartialWrite]:
        """Yield the writes of a worker's order, each of which starts no cancelled job.

        A later write may come long after an earlier one, so each order depends on the missing
        cancellations of all jobs that it starts. If these are more than a write can depend on, the
        order grows from write to write.
        """
        tasks_by_job = planner.unaccepted_tasks(worker)
        jobs = list(tasks_by_job)
        for first in range(0, max(1, len(jobs)), MAX_JOBS_STARTED_PER_ORDER):
            later = jobs[first + MAX_JOBS_STARTED_PER_ORDER :]
            excluded = {task for job_id in later for task in tasks_by_job[job_id]}
            order = planner.order_for(worker, excluded_tasks=excluded)
            started = jobs[first : first + MAX_JOBS_STARTED_PER_ORDER]
            yield PartialWrite(
                values={order_key(worker): encode(order)},
                expected={cancel_key(job_id): MISSING for job_id in started},
            )

    def _cancel_conflicting_jobs(self, planner: Planner) -> None:
        items = self._role.conflicting_items
        job_ids = {
            JobId(key.removeprefix(CANCELS_PREFIX))
            for key in items
            if key.startswith(CANCELS_PREFIX)
        }
        logger.warning(
            "event=start_prevented jobs=%s view_age_s=%.1f",
            ",".join(sorted(job_ids)),
            planner.view_age_s,
        )
        STARTS_PREVENTED.inc(len(job_ids))
        self._replica.apply_own(list(items.values()))
        cancel_jobs(planner, job_ids)
        if not job_ids:
            self._stop.wait(COMMIT_RETRY_S)

    def _apply_written(self, values: Mapping[str, bytes], deletes: Sequence[str]) -> None:
        """Apply what was written to the view, which would learn of it by its watch alone."""
        revision = self._role.revision
        items = [Item(key=key, value=value, revision=revision) for key, value in values.items()]
        items += [Item(key=key, value=None, revision=revision) for key in deletes]
        self._replica.apply_own([item for item in items if item.key.startswith(WATCHED_PREFIX)])
