"""Explanation of where the units of a job would go now if it were submitted.

The job is decided on together with the waiting units, by the rules of a plan, and nothing of that
is applied or kept.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import islice

from msgspec import structs

from chicorycrank.batch.job_units import JobUnits
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.queued_jobs import GONE_CAUSES
from chicorycrank.batch.start_checks import can_begin
from chicorycrank.batch.units import UnitRef
from chicorycrank.batch.urgent_waits import WaitCause, find_room, wait_cause
from chicorycrank.model.batch import Progress, Submission
from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.policy.cell import QueuedJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Decision, Evict, Start
from chicorycrank.policy.where import (
    PlacementAnswer,
    RejectedWorker,
    headroom_for_others,
    make_answer,
    reject_open_worker,
    reserved_masks,
    restored,
)

# Ids of jobs have 16 hexadecimal digits, so no job has this one.
EXPLAINED_JOB = JobId("where")
# Bounds the size of an answer; steps that may run first are rarely more.
MAX_STEPS_EXPLAINED = 4


def explain_placement(planner: Planner, submission: Submission) -> tuple[PlacementAnswer, ...]:
    """Return where one unit of each step that may run first would go now.

    :returns: at most ``MAX_STEPS_EXPLAINED`` answers; none if no occurrence is due
    """
    job = structs.replace(submission, job_id=EXPLAINED_JOB, submitted_at_ms=planner.now_ms)
    waiting = dict.fromkeys(planner.waiting_units())
    with restored(planner.cell), _added(planner, job):
        refs = [
            *islice(planner.units_by_id[job.job_id].waiting(planner.now_ms, 1), MAX_STEPS_EXPLAINED)
        ]
        planner.cell.jobs_within_quota = planner.job_builder.units_within_quota(planner)
        queue = planner.job_builder.make_queue(planner, [*waiting, *refs])
        decisions = decide(planner.cell, list(queue.values()), planner.now_s)
        return tuple(_explain_unit(planner, ref, queue[ref], decisions) for ref in refs)


@contextmanager
def _added(planner: Planner, job: Submission) -> Iterator[None]:
    """Add a job to the planner for a while."""
    progress = Progress()
    planner.jobs_by_id[job.job_id] = job
    planner.progress_by_id[job.job_id] = progress
    planner.units_by_id[job.job_id] = JobUnits(job, progress)
    planner.active_jobs[job.job_id] = None
    try:
        yield
    finally:
        for by_id in (planner.jobs_by_id, planner.progress_by_id, planner.units_by_id):
            by_id.pop(job.job_id)
        planner.active_jobs.pop(job.job_id)
        planner.job_builder.discard_job(job.job_id)
        # They have an entry for each label, which a caller of this may choose freely.
        planner.job_builder.clear_worker_caches()


def _explain_unit(
    planner: Planner, ref: UnitRef, job: QueuedJob, decisions: list[Decision]
) -> PlacementAnswer:
    placement = None
    evictions: list[JobId] = []
    for decision in decisions:
        if isinstance(decision, Start) and decision.job_id == ref.name:
            members = Counter(member.worker for member in decision.placement)
            if can_begin(planner, ref.name, members, ()):
                placement = decision.placement
        elif isinstance(decision, Evict) and decision.for_job == ref.name:
            evictions.append(decision.job_id)
    cause = WaitCause.STARTS_NOW
    if placement is None:
        cause = wait_cause(planner, ref, job, find_room(planner, job))
    return make_answer(
        f"step {ref.step}",
        cause=cause.value,
        placement=placement,
        evictions=evictions,
        rejected=_rejected_workers(planner, ref, job),
    )


def _rejected_workers(planner: Planner, ref: UnitRef, job: QueuedJob) -> list[RejectedWorker]:
    reserved = reserved_masks(planner.cell, ref.name)
    headroom = headroom_for_others(planner.cell, job)
    rejected = []
    for worker in sorted(planner.workers.by_id):
        reason = _rule_against(planner, ref, job, worker)
        if reason:
            rejected.append(RejectedWorker(worker=worker, reason=reason))
        else:
            rejected.append(reject_open_worker(planner.cell, job, worker, reserved, headroom))
    return rejected


def _rule_against(planner: Planner, ref: UnitRef, job: QueuedJob, worker: TargetId) -> str:
    """Return why a unit may not use a worker however much of it is free, or an empty string."""
    report, step = planner.workers.by_id[worker].report, planner.step_of(ref)
    queue = planner.queue_of(planner.jobs_by_id[ref.job_id])
    cause = planner.workers.closed_cause(worker)
    # The service and the labels of a worker that is not there may be out of date.
    if cause in GONE_CAUSES:
        return cause.value
    if report.service != queue.service:
        return "service"
    if step.label and step.label not in report.labels:
        return "constraint"
    if cause is not None:
        return cause.value
    if job.rule.workers is None or worker in job.rule.workers:
        return ""
    if queue.advice is not None:
        return "no-ticket"  # tickets are issued for submitted jobs only
    if step.data_rack and report.rack != step.data_rack:
        return "data-rack"
    return "slow" if worker in planner.cell.speed_by_worker else "excluded"
