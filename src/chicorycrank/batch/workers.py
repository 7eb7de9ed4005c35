"""Workers as reported by their agents, and their availability for new work."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from chicorycrank.batch.run_progress import START_STALL_TIMEOUT_S
from chicorycrank.model.batch import EndKind, TaskEnd, WorkerReport
from chicorycrank.model.batch import WorkerState as ExecutorState
from chicorycrank.model.ids import Incarnation, JobId, TargetId, TaskId, ZoneId
from chicorycrank.model.jobs import MemberPlacement
from chicorycrank.policy.cell import Cell, WorkerState
from chicorycrank.policy.packing import MAX_ACCELERATORS_PER_WORKER
from chicorycrank.policy.quarantine import Quarantine, QuarantineRules
from chicorycrank.ports.transactions import MISSING, Revision

# Time until the stall of a task reaches the leader.
STALL_REPORT_MARGIN_S = 1.0
# Batch jobs run for seconds, so a quarantined worker is probed again after seconds.
SHORT_JOB_RULES = QuarantineRules(
    max_failed_jobs=2,
    max_failures_per_job=2,
    probe_delay_min_s=3.0,
    probe_delay_max_s=12.0,
    stall_probation_s=START_STALL_TIMEOUT_S + STALL_REPORT_MARGIN_S,
)
# A worker that rejected a start gets no work until its report is likely to be up to date.
REJECTION_BACKOFF_S = 0.5
# An agent that did not accept its work in time gets none until its presence has likely expired.
WITHDRAWAL_BACKOFF_S = 1.5


logger = logging.getLogger("absl")


class ClosedCause(Enum):
    """Why a worker gets no new work."""

    ABSENT = "absent"  # its agent does not reach the store
    STOPPED = "stopped"  # its agent has stopped
    NOT_READY = "not-ready"
    UNREACHABLE = "unreachable"
    EVACUATED = "evacuated"  # the operator has evacuated its zone
    BACKOFF = "backoff"
    STALLED = "stalled"  # a task there makes no progress
    TEST = "test"
    FULL_ORDER = "full-order"
    QUARANTINE = "quarantine"


@dataclass(kw_only=True)
class Worker:
    """Worker as reported by its agent.

    :param presence_expired_at: monotonic time at which its agent's presence expired; None while the
        presence is valid
    :param backoff_until: monotonic time until which it gets no new work
    :param checkpoints: run number and saved progress by task
    :param revision: revision of its report in the store
    :param lease_expires_at: monotonic time at which the lease of its executor has expired, if its
        agent has stopped; None while the agent may extend the lease
    :param resumption: revision of the key that its agent writes with each new presence
    :param order_written_at: monotonic time at which its order was last written
    """

    report: WorkerReport
    presence_expired_at: float | None = None
    lease_expires_at: float | None = None
    backoff_until: float = 0.0
    checkpoints: dict[TaskId, tuple[int, str]] = field(default_factory=dict)
    revision: Revision = MISSING
    resumption: Revision = MISSING
    order_written_at: float = float("inf")


class WorkerRegistry:
    """Workers known to the leader, kept in sync with the cell.

    :param on_change: called when a worker was added or its capacity, labels or service changed
    :ivar testing: workers that get no other start, as a run there may crash them
    :ivar evacuated_zones: zones whose workers get no new work
    """

    def __init__(self, cell: Cell, now_s: float, on_change: Callable[[], None]) -> None:
        self.by_id: dict[TargetId, Worker] = {}
        self.now_s = now_s
        self.quarantine = Quarantine(lambda: self.now_s, SHORT_JOB_RULES)
        self.testing: set[TargetId] = set()
        self.full: set[TargetId] = set()
        self.evacuated_zones: frozenset[ZoneId] = frozenset()
        self._cell = cell
        self._on_change = on_change

    def replaced_incarnation(self, worker: TargetId, report: WorkerReport) -> Incarnation | None:
        """Return the ready incarnation that a report shows to have ended without notice."""
        state = self.by_id.get(worker)
        if (
            state is None
            or not state.report.incarnation
            or state.report.incarnation == report.incarnation
            or state.report.state is not ExecutorState.READY
        ):
            return None
        return state.report.incarnation

    def apply_report(self, worker: TargetId, report: WorkerReport) -> None:
        """Apply a report; :meth:`update_cell` passes it on to the cell."""
        state = self.by_id.get(worker)
        if state is None:
            state = self.by_id[worker] = Worker(report=report, presence_expired_at=self.now_s)
        # The checkpoints of an earlier incarnation of the executor are kept until they are used.
        state.checkpoints = {**state.report.checkpoints, **report.checkpoints}
        has_other_kind = _kind(state.report) != _kind(report)
        state.report = report
        state.lease_expires_at = (
            None if report.lease_left_s is None else self.now_s + report.lease_left_s
        )
        if has_other_kind:
            self._on_change()

    def mark_report_deleted(self, worker: TargetId, revision: Revision) -> None:
        """Make a worker unavailable after its report was deleted at a revision of the store."""
        state = self.by_id.get(worker)
        if state is not None:
            state.report.state, state.revision = ExecutorState.GONE, revision
            self.update_cell(worker)

    def is_outdated(self, worker: TargetId, revision: Revision) -> bool:
        """Return whether a report of this revision or of a later one has been applied."""
        state = self.by_id.get(worker)
        return state is not None and revision <= state.revision

    def set_present(self, worker: TargetId, is_present: bool) -> None:
        """Record that the presence of an agent was created or has expired."""
        state = self.by_id.get(worker)
        if state is None:
            state = self.by_id[worker] = Worker(report=WorkerReport())
        if is_present:
            state.presence_expired_at = None
        elif state.presence_expired_at is None:
            state.presence_expired_at = self.now_s
        self.update_cell(worker)

    def set_resumption(self, worker: TargetId, revision: Revision) -> None:
        """Record that an agent has created a new presence, which may have expired since.

        The time for which the presence is missing begins again.
        """
        state = self.by_id.get(worker)
        if state is None:
            state = Worker(report=WorkerReport(), presence_expired_at=self.now_s)
            self.by_id[worker] = state
        if revision > state.resumption:
            state.resumption = revision
            if state.presence_expired_at is not None:
                state.presence_expired_at = self.now_s

    def reported_checkpoint(self, worker: TargetId, task: TaskId, run: int) -> str:
        """Return the checkpoint that was reported for a run, or an empty string."""
        number, checkpoint = self.by_id[worker].checkpoints.get(task, (0, ""))
        return checkpoint if number == run else ""

    def record_end(self, worker: TargetId, job_id: JobId, end: TaskEnd) -> None:
        """Record the end of a run for the quarantine and the backoff of its worker."""
        if end.kind is EndKind.FAILED:
            self.quarantine.record_failure(worker, job_id, "failed")
            return
        place = MemberPlacement(worker, ())
        self.quarantine.record_attempt_end(job_id, [place], ok=end.kind is EndKind.DONE)
        state = self.by_id.get(worker)
        if end.kind is EndKind.REJECTED and state is not None:
            state.backoff_until = self.now_s + REJECTION_BACKOFF_S
        if end.kind is EndKind.WITHDRAWN and state is not None:
            state.backoff_until = self.now_s + WITHDRAWAL_BACKOFF_S

    def update_all_availability(self) -> None:
        """Update the availability of all workers in the cell."""
        for worker in self.by_id:
            if worker in self._cell.workers_by_id:
                self._update_availability(worker)

    def update_cell(self, worker: TargetId) -> None:
        """Update the capacity and the availability of a worker in the cell."""
        report = self.by_id[worker].report
        if not report.incarnation:
            return
        worker_state = WorkerState(
            worker=worker,
            rack=report.rack,
            zone=ZoneId(report.zone),
            accelerators=min(report.accelerators, MAX_ACCELERATORS_PER_WORKER),
            cores=report.cores,
            memory_gb=report.memory_mb,  # the cell of the batch jobs counts memory in MB
        )
        old = self._cell.workers_by_id.get(worker)
        if old is None or _capacity(old) != _capacity(worker_state):
            self._cell.set_worker(worker_state)
            self._cell.renumber_accelerators(worker)
            self._on_change()
            if old is not None:
                logger.info(
                    "event=capacity_changed target=%s accelerators=%d cores=%d memory_mb=%d",
                    worker,
                    worker_state.accelerators,
                    worker_state.cores,
                    worker_state.memory_gb,
                )
        self._update_availability(worker)

    def closed_cause(self, worker: TargetId) -> ClosedCause | None:
        """Return the first cause for which a worker gets no new work, or None."""
        state = self.by_id[worker]
        report = state.report
        if state.presence_expired_at is not None:
            return ClosedCause.ABSENT
        if report.lease_left_s is not None:
            return ClosedCause.STOPPED
        if report.state is not ExecutorState.READY or not report.incarnation:
            return ClosedCause.NOT_READY
        if report.is_unreachable:
            return ClosedCause.UNREACHABLE
        if self.is_evacuated(worker):
            return ClosedCause.EVACUATED
        if state.backoff_until > self.now_s:
            return ClosedCause.BACKOFF
        if report.suspects:
            return ClosedCause.STALLED
        if worker in self.testing:
            return ClosedCause.TEST
        if worker in self.full:
            return ClosedCause.FULL_ORDER
        if self.quarantine.rejects_jobs(worker):
            return ClosedCause.QUARANTINE
        return None

    def is_evacuated(self, worker: TargetId) -> bool:
        """Return whether the operator has evacuated the zone of a worker."""
        if not self.evacuated_zones:
            return False
        return ZoneId(self.by_id[worker].report.zone) in self.evacuated_zones

    def _update_availability(self, worker: TargetId) -> None:
        is_available = self.closed_cause(worker) is None
        if self._cell.workers_by_id[worker].available != is_available:
            self._cell.set_available(worker, is_available)


def _kind(report: WorkerReport) -> tuple[str, tuple[str, ...]]:
    return report.service, report.labels


def _capacity(worker_state: WorkerState) -> tuple[str, int, int, int]:
    return worker_state.rack, worker_state.accelerators, worker_state.cores, worker_state.memory_gb
