"""Replay of a workload against a policy on a simulated clock."""

import heapq
import random
from dataclasses import dataclass, field, replace
from enum import IntEnum

from chicorycrank.bench.baselines import Policy
from chicorycrank.bench.workloads import BenchJob, Workload
from chicorycrank.model.ids import JobId, TargetId, TeamId
from chicorycrank.model.jobs import GangShape, JobSpec, WorkKind
from chicorycrank.policy.admission import check_job
from chicorycrank.policy.cell import Cell, QueuedJob, RunningJob
from chicorycrank.policy.decisions import Evict, EvictionCause, Start
from chicorycrank.policy.packing import PIECE_SIZES

EVICTION_TIME_S = 5.0  # time to checkpoint and stop an evicted job
OUTAGE_S = 3600.0  # time after which a lost worker is available again
LOST_WORKERS = 5  # number of workers lost while jobs arrive
CANCEL_SHARE = 0.3  # share of queued jobs that are cancelled once, halfway through the arrivals
LARGE_GANG_ACCELERATORS = 16
# Lower bound of the reference waits, since a queue that is nearly empty would give huge ratios.
MIN_REFERENCE_WAIT_S = 60.0


class EventKind(IntEnum):
    """Kinds of events; those at the same time are handled in ascending order."""

    JOB_COMPLETED = 0  # a running job has done all its work
    JOB_STOPPED = 1  # an evicted job has stopped
    WORKER_LOST = 2  # a worker is lost
    WORKER_RETURNED = 3  # a lost worker is available again
    JOBS_CANCELLED = 4  # a share of the queued jobs is cancelled
    JOB_ARRIVED = 5  # a job is submitted


@dataclass
class ReplayTotals:
    """Measurements of a replay.

    Times of capacity (free, unusable, busy and total) and lost work are in accelerator seconds.

    :param completion_s: seconds from submission to completion, per completed job
    :param slowdown: ``completion_s`` divided by the true run time, per completed job
    :param gang_ratio_serial: wait of each large gang divided by its serial reference wait
    :param gang_ratio_work: wait of each large gang divided by its work reference wait
    :param reclaim_s: seconds from the first eviction for a job to its start; 0 for a job that
        starts within its guarantee without an eviction. Evictions of overrunning jobs are not
        included.
    :param unusable_s: free capacity that the common shapes cannot use
    :param refused: number of jobs that admission refused
    :param unfinished: number of jobs that are queued at the end
    """

    completion_s: list[float] = field(default_factory=list)
    slowdown: list[float] = field(default_factory=list)
    slowdown_by_team: dict[TeamId, list[float]] = field(default_factory=dict)
    gang_ratio_serial: list[float] = field(default_factory=list)
    gang_ratio_work: list[float] = field(default_factory=list)
    reclaim_s: list[float] = field(default_factory=list)
    free_s: float = 0.0
    unusable_s: float = 0.0
    busy_s: float = 0.0
    total_s: float = 0.0
    evictions: int = 0
    lost_work_s: float = 0.0
    refused: int = 0
    cancelled: int = 0
    unfinished: int = 0


class Replay:
    """Discrete-event simulation of a cell that runs a workload."""

    def __init__(self, workload: Workload, policy: Policy, seed: int) -> None:
        self.workload = workload
        self.policy = policy
        self.rng = random.Random(f"replay/{seed}")
        self.totals = ReplayTotals()
        self.cell = Cell()
        self.cell.set_config(workload.teams, workload.guarantees)
        for worker in workload.workers:
            self.cell.set_worker(replace(worker))
        self.now_s = 0.0
        self.end_s = workload.jobs[-1].job.submitted_s
        self.queue: dict[JobId, QueuedJob] = {}
        self.bench_job_by_id: dict[JobId, BenchJob] = {
            arrival.job.job_id: arrival for arrival in workload.jobs
        }
        self.remaining_s_by_id: dict[JobId, float] = {
            arrival.job.job_id: arrival.true_run_time_s for arrival in workload.jobs
        }
        self.reference_waits_by_id: dict[JobId, tuple[float, float]] = {}
        self.first_eviction_at_s_by_beneficiary: dict[JobId, float] = {}
        # Events of an attempt that is not the current one of its job are ignored.
        self.attempt_by_id: dict[JobId, int] = {}
        self.common_shapes = [
            GangShape(members=1, accelerators=8),
            GangShape(members=2, accelerators=8),
        ]
        self._events: list[tuple[float, EventKind, int, str, int]] = []
        self._event_count = 0
        for bench_job in workload.jobs:
            self._push_event(bench_job.job.submitted_s, EventKind.JOB_ARRIVED, bench_job.job.job_id)
        for _ in range(LOST_WORKERS):
            lost = self.rng.choice(workload.workers).worker
            self._push_event(self.rng.uniform(0, self.end_s), EventKind.WORKER_LOST, lost)
        self._push_event(self.end_s / 2, EventKind.JOBS_CANCELLED, "")

    def run(self) -> ReplayTotals:
        """Handle all events and return the measurements."""
        while self._events:
            at_s = self._events[0][0]
            self._add_capacity(at_s)
            self.now_s = at_s
            while self._events and self._events[0][0] == at_s:
                _, kind, _, subject_id, attempt = heapq.heappop(self._events)
                self._handle_event(kind, subject_id, attempt)
            self._decide()
        self.totals.unfinished = len(self.queue)
        return self.totals

    def _push_event(self, at_s: float, kind: EventKind, subject_id: str, attempt: int = 0) -> None:
        """Schedule an event.

        :param subject_id: id of the job or the worker; empty for CANCEL
        :param attempt: attempt of the job to which END and STOPPED belong
        """
        self._event_count += 1
        heapq.heappush(self._events, (at_s, kind, self._event_count, subject_id, attempt))

    def _handle_event(self, kind: EventKind, subject_id: str, attempt: int) -> None:
        job_id, worker = JobId(subject_id), TargetId(subject_id)
        if kind is EventKind.JOB_ARRIVED:
            self._admit_job(self.bench_job_by_id[job_id])
        elif kind is EventKind.JOB_COMPLETED and self.attempt_by_id.get(job_id) == attempt:
            self._complete_job(job_id)
        elif kind is EventKind.JOB_STOPPED and self.attempt_by_id.get(job_id) == attempt:
            self._requeue_job(job_id)
        elif kind is EventKind.WORKER_LOST and worker in self.cell.workers_by_id:
            self._lose_worker(worker)
        elif kind is EventKind.WORKER_RETURNED:
            state_by_worker = {state.worker: state for state in self.workload.workers}
            self.cell.set_worker(replace(state_by_worker[worker]))
        elif kind is EventKind.JOBS_CANCELLED:
            for queued_id in list(self.queue):
                if self.rng.random() < CANCEL_SHARE:
                    del self.queue[queued_id]
                    self.totals.cancelled += 1

    def _admit_job(self, bench_job: BenchJob) -> None:
        job = bench_job.job
        spec = JobSpec(team=job.team, name="", shape=job.shape, run_time_s=job.run_time_s)
        if check_job(spec, self.workload.workers, self.workload.teams):
            self.totals.refused += 1
            return
        if job.shape.members * job.shape.accelerators >= LARGE_GANG_ACCELERATORS:
            self.reference_waits_by_id[job.job_id] = self._reference_waits()
        self.queue[job.job_id] = job

    def _reference_waits(self) -> tuple[float, float]:
        """Return two waits in seconds with which the wait of a new large gang is compared.

        The serial reference is the sum of the remaining run times of all queued and running jobs,
        as if they ran one after the other. The work reference is their remaining work divided by
        the accelerators of the fleet, as if they used all of them all the time.
        """
        serial = work = 0.0
        for job_id in [*self.queue, *self.cell.running_by_id]:
            bench_job = self.bench_job_by_id[job_id]
            remaining_s = self.remaining_s_by_id[job_id]
            running = self.cell.running_by_id.get(job_id)
            if running is not None:
                remaining_s = max(0.0, remaining_s - (self.now_s - running.started_s))
            serial += remaining_s
            work += remaining_s * bench_job.job.shape.members * bench_job.job.shape.accelerators
        return serial, work / sum(worker.accelerators for worker in self.workload.workers)

    def _decide(self) -> None:
        while decisions := self.policy(self.cell, list(self.queue.values()), self.now_s):
            for decision in decisions:
                if isinstance(decision, Start):
                    self._start_job(decision)
                else:
                    self._evict_job(decision)

    def _start_job(self, start: Start) -> None:
        job = self.queue.pop(start.job_id)
        self.cell.start(
            RunningJob(
                job=job,
                placement=start.placement,
                kind=start.kind,
                started_s=self.now_s,
                backfill=start.backfill,
            )
        )
        attempt = self.attempt_by_id[start.job_id] = self.attempt_by_id.get(start.job_id, 0) + 1
        self._push_event(
            self.now_s + self.remaining_s_by_id[start.job_id],
            EventKind.JOB_COMPLETED,
            start.job_id,
            attempt,
        )
        first_eviction_at_s = self.first_eviction_at_s_by_beneficiary.pop(start.job_id, None)
        if first_eviction_at_s is not None or start.kind is WorkKind.GUARANTEED:
            self.totals.reclaim_s.append(
                self.now_s - (self.now_s if first_eviction_at_s is None else first_eviction_at_s)
            )
        reference_waits = self.reference_waits_by_id.pop(start.job_id, None)
        if reference_waits is not None:
            waited_s = self.now_s - job.submitted_s
            for ratios, reference_s in (
                (self.totals.gang_ratio_serial, reference_waits[0]),
                (self.totals.gang_ratio_work, reference_waits[1]),
            ):
                ratios.append(waited_s / max(reference_s, MIN_REFERENCE_WAIT_S))

    def _evict_job(self, evict: Evict) -> None:
        self.cell.mark_stopping(evict.job_id)
        self.totals.evictions += 1
        if evict.cause is not EvictionCause.OVERRUN:
            self.first_eviction_at_s_by_beneficiary.setdefault(evict.for_job, self.now_s)
        attempt = self.attempt_by_id[evict.job_id]
        self._push_event(self.now_s + EVICTION_TIME_S, EventKind.JOB_STOPPED, evict.job_id, attempt)

    def _requeue_job(self, job_id: JobId, *, failed: bool = False) -> None:
        """Queue a job again.

        Its work is lost if it is not checkpointable or its worker failed.
        """
        running = self.cell.running_by_id[job_id]
        shape = running.job.shape
        ran_s = self.now_s - running.started_s
        job = self.bench_job_by_id[job_id].job
        if running.job.checkpointable and not failed:
            self.remaining_s_by_id[job_id] = max(1.0, self.remaining_s_by_id[job_id] - ran_s)
            declared_s = max(1.0, running.job.run_time_s - ran_s)
            job = replace(job, run_time_s=declared_s)
        else:
            self.totals.lost_work_s += ran_s * shape.members * shape.accelerators
            job = running.job
        self.cell.finish(job_id)
        self.attempt_by_id[job_id] += 1  # makes pending events of this attempt stale
        self.queue[job_id] = job

    def _lose_worker(self, worker: TargetId) -> None:
        affected = [
            job_id
            for job_id, running in self.cell.running_by_id.items()
            if any(member.worker == worker for member in running.placement)
        ]
        self.cell.remove_worker(worker)
        for job_id in affected:
            self._requeue_job(job_id, failed=True)
        self._push_event(self.now_s + OUTAGE_S, EventKind.WORKER_RETURNED, worker)

    def _complete_job(self, job_id: JobId) -> None:
        bench_job = self.bench_job_by_id[job_id]
        self.cell.finish(job_id, completed=True, now_s=self.now_s)
        self.attempt_by_id[job_id] += 1  # makes pending events of this attempt stale
        elapsed_s = self.now_s - bench_job.job.submitted_s
        self.totals.completion_s.append(elapsed_s)
        self.totals.slowdown.append(elapsed_s / bench_job.true_run_time_s)
        self.totals.slowdown_by_team.setdefault(bench_job.job.team, []).append(
            elapsed_s / bench_job.true_run_time_s
        )

    def _add_capacity(self, until_s: float) -> None:
        """Add the capacity since the last event, up to the last arrival of a job.

        The usable part of the free capacity is the average of two values: what gangs of one member
        and what gangs of two members in one rack could use, with 8 accelerators per member.
        """
        span_s = min(until_s, self.end_s) - self.now_s
        if span_s <= 0:
            return
        free = self.cell.free
        total = sum(state.accelerators for state in self.cell.workers_by_id.values())
        free_count = free.piece_totals[0]
        racks_by_piece_count = free.racks_by_piece_count[PIECE_SIZES.index(8)]
        usable_by_one_member = sum(
            count * 8 * len(racks) for count, racks in racks_by_piece_count.items()
        )
        usable_by_two_members = sum(
            count // 2 * 16 * len(racks) for count, racks in racks_by_piece_count.items()
        )
        usable = (usable_by_one_member + usable_by_two_members) / len(self.common_shapes)
        self.totals.free_s += free_count * span_s
        self.totals.unusable_s += (free_count - usable) * span_s
        self.totals.busy_s += (total - free_count) * span_s
        self.totals.total_s += total * span_s
