"""Replays a workload against a policy on a clock of its own."""

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

STOP_S = 5.0  # checkpoint and stop of an evicted job
OUTAGE_S = 3600.0
LOSSES = 5  # workers lost while jobs arrive
CANCEL_SHARE = 0.3  # of the waiting jobs, once, in the middle
LARGE_GANG = 16  # accelerators


class EventKind(IntEnum):
    """Kinds of events; at the same time, the lower one comes first."""

    END = 0
    STOPPED = 1
    LOSE = 2
    RETURN = 3
    CANCEL = 4
    ARRIVE = 5


@dataclass
class Tally:
    """What a replay counts."""

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
    """One run of a workload; time moves from event to event."""

    def __init__(self, workload: Workload, policy: Policy, seed: int) -> None:
        self.workload = workload
        self.policy = policy
        self.rng = random.Random(f"replay/{seed}")
        self.tally = Tally()
        self.cell = Cell()
        self.cell.set_config(workload.teams, workload.guarantees)
        for worker in workload.workers:
            self.cell.put_worker(replace(worker))
        self.now_s = 0.0
        self.end_s = workload.jobs[-1].job.submitted_s
        self.queue: dict[JobId, QueuedJob] = {}
        self.bench_by_id: dict[JobId, BenchJob] = {b.job.job_id: b for b in workload.jobs}
        self.left_s: dict[JobId, float] = {b.job.job_id: b.true_s for b in workload.jobs}
        self.bounds: dict[JobId, tuple[float, float]] = {}
        self.evicted_for: dict[JobId, float] = {}
        self.attempt: dict[JobId, int] = {}
        self.usual = [GangShape(members=1, accelerators=8), GangShape(members=2, accelerators=8)]
        self._events: list[tuple[float, EventKind, int, str, int]] = []
        self._count = 0
        for bench in workload.jobs:
            self._push(bench.job.submitted_s, EventKind.ARRIVE, bench.job.job_id)
        for _ in range(LOSSES):
            lost = self.rng.choice(workload.workers).worker
            self._push(self.rng.uniform(0, self.end_s), EventKind.LOSE, lost)
        self._push(self.end_s / 2, EventKind.CANCEL, "")

    def run(self) -> Tally:
        """Run until no event is left."""
        while self._events:
            at_s = self._events[0][0]
            self._account(at_s)
            self.now_s = at_s
            while self._events and self._events[0][0] == at_s:
                _, kind, _, name, attempt = heapq.heappop(self._events)
                self._take(kind, name, attempt)
            self._decide()
        self.tally.unfinished = len(self.queue)
        return self.tally

    def _push(self, at_s: float, kind: EventKind, name: str, attempt: int = 0) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_s, kind, self._count, name, attempt))

    def _take(self, kind: EventKind, name: str, attempt: int) -> None:
        job_id, worker = JobId(name), TargetId(name)
        if kind is EventKind.ARRIVE:
            self._arrive(self.bench_by_id[job_id])
        elif kind is EventKind.END and self.attempt.get(job_id) == attempt:
            self._complete(job_id)
        elif kind is EventKind.STOPPED and self.attempt.get(job_id) == attempt:
            self._requeue(job_id)
        elif kind is EventKind.LOSE and worker in self.cell.workers_by_id:
            self._lose(worker)
        elif kind is EventKind.RETURN:
            states = {state.worker: state for state in self.workload.workers}
            self.cell.put_worker(replace(states[worker]))
        elif kind is EventKind.CANCEL:
            for waiting in list(self.queue):
                if self.rng.random() < CANCEL_SHARE:
                    del self.queue[waiting]
                    self.tally.cancelled += 1

    def _arrive(self, bench: BenchJob) -> None:
        job = bench.job
        spec = JobSpec(team=job.team, name="", shape=job.shape, run_time_s=job.run_time_s)
        if check_job(spec, self.workload.workers, self.workload.teams):
            self.tally.refused += 1
            return
        if job.shape.members * job.shape.accelerators >= LARGE_GANG:
            self.bounds[job.job_id] = self._ahead()
        self.queue[job.job_id] = job

    def _ahead(self) -> tuple[float, float]:
        """Return the run times ahead in series, and the work ahead over the fleet."""
        serial = work = 0.0
        for job_id in [*self.queue, *self.cell.running_by_id]:
            bench = self.bench_by_id[job_id]
            left_s = self.left_s[job_id]
            running = self.cell.running_by_id.get(job_id)
            if running is not None:
                left_s = max(0.0, left_s - (self.now_s - running.started_s))
            serial += left_s
            work += left_s * bench.job.shape.members * bench.job.shape.accelerators
        return serial, work / sum(worker.accelerators for worker in self.workload.workers)

    def _decide(self) -> None:
        while decisions := self.policy(self.cell, list(self.queue.values()), self.now_s):
            for decision in decisions:
                if isinstance(decision, Start):
                    self._start(decision)
                else:
                    self._evict(decision)

    def _start(self, start: Start) -> None:
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
        attempt = self.attempt[start.job_id] = self.attempt.get(start.job_id, 0) + 1
        self._push(self.now_s + self.left_s[start.job_id], EventKind.END, start.job_id, attempt)
        asked_s = self.evicted_for.pop(start.job_id, None)
        if asked_s is not None or start.kind is WorkKind.GUARANTEED:
            self.tally.reclaim_s.append(self.now_s - (self.now_s if asked_s is None else asked_s))
        bounds = self.bounds.pop(start.job_id, None)
        if bounds is not None:
            waited_s = self.now_s - job.submitted_s
            for ratios, bound in (
                (self.tally.gang_ratio_serial, bounds[0]),
                (self.tally.gang_ratio_work, bounds[1]),
            ):
                ratios.append(waited_s / max(bound, 60.0))

    def _evict(self, evict: Evict) -> None:
        self.cell.mark_stopping(evict.job_id)
        self.tally.evictions += 1
        if evict.cause is not EvictionCause.OVERRUN:
            self.evicted_for.setdefault(evict.for_job, self.now_s)
        attempt = self.attempt[evict.job_id]
        self._push(self.now_s + STOP_S, EventKind.STOPPED, evict.job_id, attempt)

    def _requeue(self, job_id: JobId, *, failed: bool = False) -> None:
        """Queue a job again; without a checkpoint its work is lost."""
        running = self.cell.running_by_id[job_id]
        shape = running.job.shape
        done_s = self.now_s - running.started_s
        job = self.bench_by_id[job_id].job
        if running.job.checkpointable and not failed:
            self.left_s[job_id] = max(1.0, self.left_s[job_id] - done_s)
            declared_s = max(1.0, running.job.run_time_s - done_s)
            job = replace(job, run_time_s=declared_s)
        else:
            self.tally.lost_work_s += done_s * shape.members * shape.accelerators
            job = running.job
        self.cell.finish(job_id)
        self.attempt[job_id] += 1
        self.queue[job_id] = job

    def _lose(self, worker: TargetId) -> None:
        hit = [
            job_id
            for job_id, running in self.cell.running_by_id.items()
            if any(member.worker == worker for member in running.placement)
        ]
        self.cell.remove_worker(worker)
        for job_id in hit:
            self._requeue(job_id, failed=True)
        self._push(self.now_s + OUTAGE_S, EventKind.RETURN, worker)

    def _complete(self, job_id: JobId) -> None:
        bench = self.bench_by_id[job_id]
        self.cell.finish(job_id, completed=True, now_s=self.now_s)
        self.attempt[job_id] += 1
        taken_s = self.now_s - bench.job.submitted_s
        self.tally.completion_s.append(taken_s)
        self.tally.slowdown.append(taken_s / bench.true_s)
        self.tally.slowdown_by_team.setdefault(bench.job.team, []).append(taken_s / bench.true_s)

    def _account(self, until_s: float) -> None:
        """Add the time since the last event while jobs still arrive."""
        span_s = min(until_s, self.end_s) - self.now_s
        if span_s <= 0:
            return
        free = self.cell.free
        total = sum(state.accelerators for state in self.cell.workers_by_id.values())
        free_count = free.totals[0]
        whole = free.racks_by_count[PIECE_SIZES.index(8)]
        single = sum(count * 8 * len(racks) for count, racks in whole.items())
        double = sum(count // 2 * 16 * len(racks) for count, racks in whole.items())
        usable = (single + double) / len(self.usual)
        self.tally.free_s += free_count * span_s
        self.tally.unusable_s += (free_count - usable) * span_s
        self.tally.busy_s += (total - free_count) * span_s
        self.tally.total_s += total * span_s
