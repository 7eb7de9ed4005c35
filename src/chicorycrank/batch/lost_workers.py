"""Detection of workers on which nothing can be running any more."""

import logging

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

    def find_lost(self, workers: WorkerRegistry, busy: set[TargetId]) -> list[TargetId]:
        """Return the workers whose work may be assigned to other workers.

        :param busy: workers that have work assigned
        """
        now_s = workers.now_s
        overdue_at_by_worker = {
            worker_id: overdue_at
            for worker_id, worker in workers.by_id.items()
            if worker_id in busy
            and (overdue_at := self._overdue_at(worker)) is not None
            and now_s >= overdue_at
        }
        if overdue_at_by_worker and now_s - self._polled_at >= MACHINE_POLL_INTERVAL_S:
            self._polled_at = now_s
            self._poll_machines(now_s)
        lost_workers = []
        for worker_id, overdue_at in overdue_at_by_worker.items():
            worker = workers.by_id[worker_id]
            absent_s = now_s - (worker.presence_expired_at or now_s)
            executor = worker.report.executor
            is_listed = not executor or executor in self._running_executors
            # A list from before the worker was overdue says nothing about the time since.
            is_machine_down = not is_listed and self._listed_at >= overdue_at
            if is_machine_down or absent_s >= SUSPENSION_LIMIT_S:
                logger.warning(
                    "event=worker_lost target=%s absent_s=%.1f listed=%s list_age_s=%.1f"
                    " polled_s_ago=%.1f executors_listed=%d",
                    worker_id,
                    absent_s,
                    is_listed,
                    now_s - self._listed_at,
                    now_s - self._polled_at,
                    len(self._running_executors),
                )
                lost_workers.append(worker_id)
        return lost_workers

    def _overdue_at(self, worker: Worker) -> float | None:
        """Return the time at which the executor's lease has expired; None if it may be extended."""
        if worker.presence_expired_at is None:
            return None
        overdue_at = worker.presence_expired_at + self._lost_after_s
        if worker.lease_expires_at is None:
            return overdue_at
        return min(overdue_at, max(worker.presence_expired_at, worker.lease_expires_at))

    def _poll_machines(self, now_s: float) -> None:
        try:
            self._running_executors = self._machines.running_executors()
            self._listed_at = now_s
        except MachinesUnavailableError as error:
            logger.warning("event=machines_unavailable error=%s", error)


def reassign_work(planner: Planner, worker: TargetId, write: ConditionalWrite) -> None:
    """Take a lost worker's runs out of its order and let their units start elsewhere.

    The store decides: the presence must be missing, its agent must not have created another one
    since the leader saw it expire, and the report must be the one that the leader knows. So neither
    a pause of the leader nor a watch that hears nothing makes a worker lost.
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
