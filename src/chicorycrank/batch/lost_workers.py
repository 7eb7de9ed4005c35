"""Detection of workers on which nothing can be running any more."""

import logging
from collections.abc import Mapping
from math import inf

from chicorycrank.batch.keys import (
    encode,
    order_key,
    presence_key,
    report_key,
    resumption_key,
)
from chicorycrank.batch.metrics import WORKERS_LOST
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.withdrawals import ConditionalWrite
from chicorycrank.batch.workers import Worker, WorkerRegistry
from chicorycrank.model.ids import TargetId
from chicorycrank.ports.machines import MachineList, MachinesUnavailableError
from chicorycrank.ports.transactions import MISSING

# While a machine is suspended, the clock of its executor stops and the executor's lease does not
# expire. A running machine whose presence expired this long ago is assumed not to be suspended, but
# to have lost its agent.
SUSPENSION_LIMIT_S = 45.0
MACHINE_POLL_INTERVAL_S = 2.0  # each request to the machine list is billed
# A machine that is gone is not named by this many lists in a row. A single one may leave out a
# machine that has changed its page while the list was read.
LISTS_WITHOUT_REMOVED_MACHINE = 2
# An executor that has just started may not be listed yet.
MIN_LISTED_AGE_MS = 15_000

logger = logging.getLogger("absl")


class LostWorkerDetector:
    """Detector of lost workers, which consults the machine list before work is reassigned.

    :param lost_after_s: time in seconds from the expiry of a worker's presence until its executor's
        lease has expired, unless the machine is suspended; an agent that has stopped reports a
        shorter one
    """

    def __init__(self, machines: MachineList, lost_after_s: float) -> None:
        self._machines = machines
        self._lost_after_s = lost_after_s
        self._polled_at = float("-inf")
        self._listed_at = float("-inf")
        self._running_executors: frozenset[str] = frozenset()
        # Time of the loss of the presence, and lists in a row that were read after it and lack the
        # executor.
        self._lists_without: dict[TargetId, tuple[float, int]] = {}

    def find_lost(
        self, workers: WorkerRegistry, busy: set[TargetId], now_ms: int = 0
    ) -> list[TargetId]:
        """Return the workers whose work may be assigned to other workers.

        :param busy: workers that have work assigned
        :param now_ms: Unix time in milliseconds, for the age of executors; 0 if it is not known
        """
        now_s = workers.now_s
        absent = {
            worker_id: worker
            for worker_id, worker in workers.by_id.items()
            if worker_id in busy and worker.presence_expired_at is not None
        }
        self._lists_without = {
            worker_id: (expired_at, count)
            for worker_id, (expired_at, count) in self._lists_without.items()
            if worker_id in absent and expired_at == absent[worker_id].presence_expired_at
        }
        needs_list = any(
            self._is_overdue(worker, now_s) or _is_established(worker, now_ms)
            for worker in absent.values()
        )
        if needs_list and now_s - self._polled_at >= MACHINE_POLL_INTERVAL_S:
            self._polled_at = now_s
            if self._poll_machines(now_s):
                self._count_lists(absent, now_ms)
        lost_workers = []
        for worker_id, worker in absent.items():
            absent_s = now_s - (worker.presence_expired_at or now_s)
            if self._is_lost(worker_id, worker, absent_s):
                logger.warning(
                    "event=worker_lost target=%s absent_s=%.1f listed=%s list_age_s=%.1f"
                    " polled_s_ago=%.1f executors_listed=%d",
                    worker_id,
                    absent_s,
                    self._is_listed(worker),
                    now_s - self._listed_at,
                    now_s - self._polled_at,
                    len(self._running_executors),
                )
                lost_workers.append(worker_id)
        return lost_workers

    def _is_lost(self, worker_id: TargetId, worker: Worker, absent_s: float) -> bool:
        if absent_s >= SUSPENSION_LIMIT_S:
            return True
        _, lists_without = self._lists_without.get(worker_id, (0.0, 0))
        is_removed = lists_without >= LISTS_WITHOUT_REMOVED_MACHINE
        # A list from before the worker was overdue says nothing about the time since.
        overdue_at = self._overdue_at(worker)
        is_down = not self._is_listed(worker) and self._listed_at >= overdue_at
        return is_removed or is_down

    def _is_overdue(self, worker: Worker, now_s: float) -> bool:
        return now_s >= self._overdue_at(worker)

    def _is_listed(self, worker: Worker) -> bool:
        executor = worker.report.executor
        return not executor or executor in self._running_executors

    def _count_lists(self, absent: Mapping[TargetId, Worker], now_ms: int) -> None:
        for worker_id, worker in absent.items():
            expired_at = worker.presence_expired_at
            if expired_at is None or not _is_established(worker, now_ms):
                continue
            _, count = self._lists_without.get(worker_id, (expired_at, 0))
            self._lists_without[worker_id] = expired_at, 0 if self._is_listed(worker) else count + 1

    def _overdue_at(self, worker: Worker) -> float:
        """Return the time at which the executor's lease has expired, unless it is extended."""
        if worker.presence_expired_at is None:
            return inf
        overdue_at = worker.presence_expired_at + self._lost_after_s
        if worker.lease_expires_at is None:
            return overdue_at
        return min(overdue_at, max(worker.presence_expired_at, worker.lease_expires_at))

    def _poll_machines(self, now_s: float) -> bool:
        """Read the list; return whether an answer arrived."""
        try:
            self._running_executors = self._machines.running_executors()
            self._listed_at = now_s
        except MachinesUnavailableError as error:
            logger.warning("event=machines_unavailable error=%s", error)
            return False
        return True


def _is_established(worker: Worker, now_ms: int) -> bool:
    """Return whether an executor has run for so long that a list of machines names it."""
    started_at_ms = worker.report.started_at_ms
    return started_at_ms > 0 and now_ms - started_at_ms >= MIN_LISTED_AGE_MS


def reassign_work(planner: Planner, worker: TargetId, write: ConditionalWrite) -> None:
    """Take a lost worker's runs out of its order and let their units start elsewhere.

    The store decides: the presence must be missing, its agent must not have created another one
    since the leader saw it expire, and the report must be the one that the leader knows. So neither
    a pause of the leader nor a watch that receives nothing makes a worker lost.
    """
    state = planner.workers.by_id[worker]
    members = planner.members_by_worker[worker].keys()
    is_done = write(
        {order_key(worker): encode(planner.order_for(worker, excluded_tasks=members))},
        {
            presence_key(worker): MISSING,
            resumption_key(worker): state.resumption,
            report_key(worker): state.revision,
        },
    )
    logger.warning(
        "event=work_reassigned target=%s tasks=%s report_revision=%d done=%s",
        worker,
        ",".join(members),
        state.revision,
        is_done,
    )
    WORKERS_LOST.labels("lost" if is_done else "back").inc()
    if is_done:
        planner.mark_worker_lost(worker)
