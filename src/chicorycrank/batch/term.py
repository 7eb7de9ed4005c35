"""One term of the leader: applies stored changes, plans, and writes progress and orders."""

import logging
from collections.abc import Callable, Mapping, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from chicorycrank.batch.advice import AdviceCache
from chicorycrank.batch.cold_workers import ColdBounds
from chicorycrank.batch.drains import STOP_S
from chicorycrank.batch.evacuations import Evacuations
from chicorycrank.batch.keys import (
    PERFORMANCE_KEY,
    PRESENCE_PREFIX,
    PROGRESS_PREFIX,
    REPORT_STATE_PREFIX,
    REPORTS_PREFIX,
    RESUMPTION_PREFIX,
    cancel_key,
    decode,
    decode_progress,
    job_key,
    progress_key,
    state_key,
)
from chicorycrank.batch.known_jobs import add_jobs, cancel_jobs
from chicorycrank.batch.load_summary import LoadPublisher
from chicorycrank.batch.load_view import LoadView
from chicorycrank.batch.lost_workers import LostWorkerDetector, reassign_work
from chicorycrank.batch.performance_summary import PerformanceSummaryStore
from chicorycrank.batch.phase_timer import timed_phase
from chicorycrank.batch.placement_log import PlacementLog
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.queued_jobs import QueuedJobBuilder
from chicorycrank.batch.record_writer import COMMIT_RETRY_S, RecordWriter
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.role import ROLE_RENEWAL_INTERVAL_S, LeaderRole, RoleLostError
from chicorycrank.batch.threads import Event, keep_running, make_event
from chicorycrank.batch.urgent_waits import UrgentWaitLog
from chicorycrank.batch.view import SharedView
from chicorycrank.batch.where_calls import WhereCalls
from chicorycrank.batch.withdrawals import withdraw
from chicorycrank.model.batch import FINAL_BATCH_STATES, Progress, WorkerReport
from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.policy.interference import FoundPair
from chicorycrank.ports.advice import AdviceService
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.machines import MachineList
from chicorycrank.ports.transactions import (
    Item,
    Revision,
    StoreUnavailableError,
    TransactionalStore,
)

# Changes that arrive within this time are planned together.
PLAN_BATCHING_DELAY_S = 0.02
IDLE_WAIT_S = 0.5
REPORT_WATCH_TIMEOUT_S = 5.0
# Time for which the state of a job is kept beyond ``ended_job_retention_s``.
STATUS_RETENTION_MARGIN_S = 30.0

Answer = TypeVar("Answer")

logger = logging.getLogger("absl")


@dataclass(frozen=True, kw_only=True)
class TermDependencies:
    """Dependencies and settings of a term, apart from the store.

    :param advice: service that selects the executors that may run a step
    :param machines: list of the running machines, which is read before a worker counts as lost
    :param checkpoint_s: time between checkpoints of a task in seconds
    :param worker_lost_timeout_s: time in seconds from the expiry of a worker's presence until its
        executor's lease has expired
    :param ended_job_retention_s: time for which the state of an ended job is kept, in seconds
    :param avoids_interference: whether workloads that slow each other down are kept apart
    :param cold_bounds: limits of cold workers; None for no limit
    :param stop_s: time in seconds that an executor takes to save a checkpoint at a stop
    :param load_view: this entry's view of the load summary; None if none is to be published
    """

    advice: AdviceService
    machines: MachineList
    checkpoint_s: float
    worker_lost_timeout_s: float
    ended_job_retention_s: float
    avoids_interference: bool = True
    cold_bounds: ColdBounds | None = None
    stop_s: float = STOP_S
    load_view: LoadView | None = None


class Term:
    """Term of the leader, with state that is discarded when the term ends.

    :param replica: keeps ``view`` up to date
    :param stop: set when the process stops
    :ivar where_calls: calls of other threads that ask where a job would go
    """

    def __init__(
        self,
        store: TransactionalStore,
        view: SharedView,
        replica: Replica,
        clock: Clock,
        role: LeaderRole,
        dependencies: TermDependencies,
        stop: Event,
    ) -> None:
        self._store = store
        self._view = view
        self._replica = replica
        self._clock = clock
        self._role = role
        self._ended_job_retention_s = dependencies.ended_job_retention_s
        self._stop = stop
        self._ended = make_event()
        self._report_changes: list[Item] = []
        self._stored_progress: dict[JobId, Progress | None] = {}
        self._report_replica = Replica(
            store, REPORTS_PREFIX, self._queue_report_items, clock, wait_s=REPORT_WATCH_TIMEOUT_S
        )
        self._advice_cache = AdviceCache(dependencies.advice, clock, self._notify)
        self._lost_worker_detector = LostWorkerDetector(
            dependencies.machines, dependencies.worker_lost_timeout_s
        )
        self._planner = Planner(QueuedJobBuilder(dependencies.checkpoint_s), clock.monotonic())
        self._planner.avoids_interference = dependencies.avoids_interference
        self._planner.drains.stop_s = dependencies.stop_s
        self._urgent_wait_log = UrgentWaitLog()
        self.where_calls = WhereCalls(view.lock, clock)
        self._performance_summary = PerformanceSummaryStore()
        self._evacuations = Evacuations(dependencies.cold_bounds, replica.refresh)
        self._placement_log = PlacementLog()
        self._writer = RecordWriter(role, view, replica, clock, self._raise_if_ended, stop)
        load_view = dependencies.load_view
        self._load_publisher = LoadPublisher(load_view, self._writer.write) if load_view else None

    def serve(self) -> None:
        """Plan until the role is lost or the process stops.

        :raises RoleLostError: the role is lost, or the process stops during the start or a write
        """
        self._report_replica.start()
        keep_running(self._renew_lease, "leader-lease", self._ended)
        try:
            while not self._report_replica.is_loaded.wait(IDLE_WAIT_S):
                self._raise_if_ended()
            self._load_planner()
            while not self._stop.is_set():
                self._plan_once()
                self.where_calls.answer(self._planner)
                self._wait_for_changes()
        finally:
            self._ended.set()
            self._report_replica.stop()
            self._advice_cache.stop()

    def found_interference(self) -> tuple[FoundPair, ...]:
        """Return the pairs of workloads that are kept apart; any thread may call it."""
        return self._planner.interference.found

    def _raise_if_ended(self) -> None:
        if self._ended.is_set():
            raise RoleLostError("the lease of the leader role has expired")
        if self._stop.is_set():
            raise RoleLostError("the entry is stopping")

    def _renew_lease(self) -> None:
        while not self._ended.wait(ROLE_RENEWAL_INTERVAL_S):
            try:
                if not self._role.renew():
                    self._ended.set()
                    self._notify()
            except StoreUnavailableError as error:
                logger.warning("event=leader_renewal_failed error=%s", error)

    def _queue_report_items(self, items: Sequence[Item]) -> None:
        with self._view.lock:
            self._report_changes += items
            self._view.lock.notify_all()

    def _notify(self) -> None:
        with self._view.lock:
            self._view.lock.notify_all()

    def _load_planner(self) -> None:
        """Build the state of the planner from the stored records alone.

        Only the holder of the role writes progress, so the records do not change meanwhile.
        """
        planner = self._planner
        self._stored_progress = self._read_progress()
        # A watch that has heard nothing for a while lacks jobs and cancellations.
        self._read_until_answered(self._replica.refresh)
        performance = self._read_until_answered(lambda: self._store.read(PERFORMANCE_KEY))
        self._set_time()
        self._performance_summary.load(
            performance.value if performance else None, planner, planner.now_s
        )
        with self._view.lock:
            self._view.pop_changed_keys()
            self._apply_config()
            add_jobs(planner, self._view, self._stored_progress)
            planner.crashes.explain_restored(planner)
            cancel_jobs(planner, self._view.cancelled)
            # The previous leader may have written the progress of a job, but not its state.
            planner.changes.jobs.update(
                job_id
                for job_id in planner.jobs_by_id
                if self._writer.changed_state(planner, job_id) is not None
            )
        for job_id, progress in self._stored_progress.items():
            if progress is not None:
                logger.warning("event=progress_without_job job=%s", job_id)
        # The previous leader may not have written all of its orders, so the orders of all workers
        # with assigned work are written again, which may start that work.
        planner.changes.workers.update(planner.members_by_worker)

    def _read_progress(self) -> dict[JobId, Progress | None]:
        """Read the progress of all jobs; it is None if a record is unreadable.

        The runs of a job without readable progress are unknown, so the job must not be planned.

        :raises RoleLostError: the role is lost, or the process stops, before the store responds
        """
        items = self._read_until_answered(lambda: self._store.read_all(PROGRESS_PREFIX)).items
        return {
            JobId(item.key.removeprefix(PROGRESS_PREFIX)): _decode_progress(item) for item in items
        }

    def _read_until_answered(self, read: Callable[[], Answer]) -> Answer:
        while True:
            self._raise_if_ended()
            try:
                return read()
            except StoreUnavailableError as error:
                logger.warning("event=records_read_failed error=%s", error)
                self._stop.wait(COMMIT_RETRY_S)

    def _plan_once(self) -> None:
        """Apply pending changes, plan, and write the changed records."""
        self._set_time()
        with self._timed_phase("apply"):
            with self._view.lock:
                reports, self._report_changes = self._report_changes, []
                self._apply_changes()
            for item in reports:
                self._apply_report_item(item)
            self._evacuations.learn(self._planner, self._view)
            self._reassign_lost_work()
            withdraw(self._planner, self._write_conditionally)
            self._advice_cache.update(self._planner)
        with self._timed_phase("plan"):
            self._evacuations.limit_runs(self._planner)
            self._planner.plan()
            self._urgent_wait_log.update(self._planner)
            self._placement_log.update(self._planner)
        with self._timed_phase("write"):
            planner, deletes = self._planner, self._find_former_orders()
            summary = self._performance_summary.due_values(planner, planner.now_s)
            deletes += self._remove_expired_jobs()
            self._writer.write_changes(planner, deletes, summary)
            self._performance_summary.record_written(summary)
            if self._load_publisher is not None:
                self._load_publisher.update(planner)

    def _timed_phase(self, name: str) -> AbstractContextManager[None]:
        return timed_phase(self._clock, name, len(self._planner.active_jobs))

    def _write_conditionally(
        self, values: dict[str, bytes], expected: Mapping[str, Revision]
    ) -> bool:
        """Write an order that omits runs, after the ends that it presumes."""
        self._writer.write_ends(self._planner)
        is_written = self._writer.write(values, expected=expected)
        if not is_written:
            # What the watch of the reports has not brought yet.
            self._report_replica.apply_own(list(self._role.conflicting_items.values()))
        return is_written

    def _apply_changes(self) -> None:
        """Apply new jobs, cancellations, evacuations and the configuration."""
        self._view.pop_changed_keys()
        self._apply_config()
        self._evacuations.apply(self._planner, self._view.evacuated_zones)
        add_jobs(self._planner, self._view, self._stored_progress)
        cancel_jobs(self._planner, self._view.cancelled)

    def _apply_config(self) -> None:
        planner = self._planner
        config = self._view.config.config
        if config is not None and planner.queues_by_id is not self._view.config.queues_by_id:
            planner.set_config(self._view.config.queues_by_id, config.teams)

    def _apply_report_item(self, item: Item) -> None:
        planner = self._planner
        if item.key.startswith(PRESENCE_PREFIX):
            worker = TargetId(item.key.removeprefix(PRESENCE_PREFIX))
            planner.workers.set_present(worker, item.value is not None)
        elif item.key.startswith(RESUMPTION_PREFIX):
            worker = TargetId(item.key.removeprefix(RESUMPTION_PREFIX))
            if item.value is not None:
                planner.workers.set_resumption(worker, item.revision)
        elif item.key.startswith(REPORT_STATE_PREFIX):
            worker = TargetId(item.key.removeprefix(REPORT_STATE_PREFIX))
            if planner.workers.is_outdated(worker, item.revision):
                logger.warning("event=report_outdated target=%s revision=%d", worker, item.revision)
                return
            if item.value is None:
                planner.workers.mark_report_deleted(worker, item.revision)
                return
            try:
                report = decode(item.value, WorkerReport)
            except msgspec.DecodeError as error:
                logger.warning("event=report_unreadable target=%s error=%s", worker, error)
                return
            planner.apply_report(worker, report)
            planner.workers.by_id[worker].revision = item.revision

    def _reassign_lost_work(self) -> None:
        planner = self._planner
        busy = {worker for worker, members in planner.members_by_worker.items() if members}
        for worker in self._lost_worker_detector.find_lost(planner.workers, busy, planner.now_ms):
            reassign_work(planner, worker, self._write_conditionally)

    def _find_former_orders(self) -> list[str]:
        """Return the orders of an earlier version; agents of that version stop what they name."""
        with self._view.lock:
            return sorted(self._view.former_orders)

    def _remove_expired_jobs(self) -> list[str]:
        """Remove ended jobs whose retention time is over, and return their keys."""
        planner = self._planner
        limit_ms = planner.now_ms - round(
            (self._ended_job_retention_s + STATUS_RETENTION_MARGIN_S) * 1000
        )
        deletes: list[str] = []
        for job_id, progress in list(planner.progress_by_id.items()):
            is_expired = progress.state in FINAL_BATCH_STATES and progress.ended_at_ms < limit_ms
            if is_expired and not any(unit.places for unit in progress.units.values()):
                planner.remove_job(job_id)
                deletes += [
                    job_key(job_id),
                    state_key(job_id),
                    progress_key(job_id),
                    cancel_key(job_id),
                ]
        return deletes

    def _wait_for_changes(self) -> None:
        """Wait for changes, the next occurrence of a job or the next check for lost workers."""
        due_ms = self._planner.next_due_ms()
        wait_s = IDLE_WAIT_S
        if due_ms is not None:
            wait_s = min(wait_s, max(0.0, due_ms / 1000 - self._clock.now().timestamp()))
        with self._view.lock:
            if (
                not self._view.has_changed_keys
                and not self._report_changes
                and not self._ended.is_set()
            ):
                self._view.lock.wait(wait_s)
        if self._ended.is_set():
            raise RoleLostError("the lease of the leader role has expired")
        self._stop.wait(PLAN_BATCHING_DELAY_S)

    def _set_time(self) -> None:
        now_ms = int(self._clock.now().timestamp() * 1000)
        now_s = self._clock.monotonic()
        self._planner.set_time(now_s, now_ms, now_s - self._replica.confirmed_at)


def _decode_progress(item: Item) -> Progress | None:
    try:
        return decode_progress(item.value or b"")
    except msgspec.DecodeError as error:
        logger.warning("event=record_unreadable key=%s error=%s", item.key, error)
        return None
