"""Withdrawal of runs that an agent has not accepted.

An agent accepts a run by a write that depends on the revision of its order, before it makes the
first call for the run. The leader withdraws a run by a write that depends on the revision of the
agent's report. One of the two writes fails, so a withdrawn run has never started, and its unit may
start on another worker without waiting for a lease to expire.
"""

import logging
from collections.abc import Callable, Mapping

from chicorycrank.batch.evacuation_checks import ZONE_EVACUATED
from chicorycrank.batch.keys import encode, order_key, report_key
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.units import Member
from chicorycrank.model.batch import EndKind, TaskEnd
from chicorycrank.model.ids import TargetId, TaskId
from chicorycrank.ports.transactions import Revision

# A store that is sixty times slower than usual responds in 0.25 s. An order and its acceptance need
# three responses.
ACCEPTANCE_TIMEOUT_S = 1.5
# Runs of an agent whose presence has expired are withdrawn after this time.
EXPIRED_PRESENCE_TIMEOUT_S = 0.5

logger = logging.getLogger("absl")

# Writes values under conditions; returns false if a condition does not hold.
ConditionalWrite = Callable[[dict[str, bytes], Mapping[str, Revision]], bool]


def withdraw(planner: Planner, write: ConditionalWrite) -> None:
    """Withdraw the runs that were not accepted in time, or whose zone is evacuated."""
    for worker in list(planner.members_by_worker):
        if not _is_acceptance_overdue(planner, worker):
            continue
        members = _unaccepted_members(planner, worker)
        if members:
            _withdraw_members(planner, worker, members, write)


def _is_acceptance_overdue(planner: Planner, worker: TargetId) -> bool:
    state = planner.workers.by_id.get(worker)
    if state is None:
        return False
    if planner.workers.is_evacuated(worker):
        return True
    since_order_s = planner.now_s - state.order_written_at
    if state.presence_expired_at is not None:
        return (
            min(since_order_s, planner.now_s - state.presence_expired_at)
            >= EXPIRED_PRESENCE_TIMEOUT_S
        )
    return since_order_s >= ACCEPTANCE_TIMEOUT_S


def _unaccepted_members(planner: Planner, worker: TargetId) -> dict[TaskId, Member]:
    report = planner.workers.by_id[worker].report
    return {
        task: member
        for task, member in planner.members_by_worker[worker].items()
        if report.accepted.get(task) != planner.run_number(member)
    }


def _withdraw_members(
    planner: Planner, worker: TargetId, members: Mapping[TaskId, Member], write: ConditionalWrite
) -> None:
    revision = planner.workers.by_id[worker].revision
    order = planner.order_for(worker, excluded_tasks=members.keys())
    is_done = write({order_key(worker): encode(order)}, {report_key(worker): revision})
    is_evacuated = planner.workers.is_evacuated(worker)
    logger.warning(
        "event=work_withdrawn target=%s tasks=%s report_revision=%d done=%s evacuated=%s",
        worker,
        ",".join(members),
        revision,
        is_done,
        is_evacuated,
    )
    if not is_done:
        return
    detail = ZONE_EVACUATED if is_evacuated else ""
    for task, member in members.items():
        end = TaskEnd(task, planner.run_number(member), EndKind.WITHDRAWN, "", detail)
        planner.record_end(worker, end)
