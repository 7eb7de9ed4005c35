"""Load summary: the leader computes it from the planner's state and publishes it in the store."""

import logging
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from msgspec import structs

from chicorycrank.batch.keys import LOAD_KEY, encode
from chicorycrank.batch.load_view import LoadView
from chicorycrank.batch.metrics import LOAD_SUMMARIES, LOAD_WAIT
from chicorycrank.batch.planner_state import PlannerState
from chicorycrank.batch.units import due_occurrences, parse_unit_key, unit_count
from chicorycrank.batch.workers import ClosedCause
from chicorycrank.model.batch import Step, Unit, UnitState
from chicorycrank.model.ids import JobId, TeamId
from chicorycrank.model.load import LoadSummary, Resource, need_of
from chicorycrank.policy.load_rates import RATE_WINDOW_S, Arrival, JobLoad, summarize_load

# Entries watch the record, so it may not change more often.
MIN_INTERVAL_S = 1.0
# Entries ignore a record after 5 s. The rest is for the plan and the write that come before.
REFRESH_INTERVAL_S = 3.0
CHANGE_SHARE = 0.1
# The summary is published while at least this much work of the whole fleet waits, until less than
# half of it does. The shortest limit of a job is three times the target latency of 0.5 s, and a
# summary may be refreshed after 3 s, so a shorter wait cannot make a job late for good.
LOADED_WAIT_S = 2.0
# Entries pay for each byte of a record that each of them receives every second.
MAX_SUMMARY_BYTES = 1000
# Workers closed for these causes have capacity: they are closed for a moment, or are at work.
OPEN_CAUSES = (
    None,
    ClosedCause.BACKOFF,
    ClosedCause.STALLED,
    ClosedCause.TEST,
    ClosedCause.FULL_ORDER,
)

# Writes values and deletes keys under the leader's role.
WriteRecords = Callable[[Mapping[str, bytes], Sequence[str]], object]

logger = logging.getLogger("absl")


@dataclass(kw_only=True)
class JobWork:
    """Remaining work of a job by resource, in units of the resource times seconds."""

    team: TeamId
    priority: int
    running: list[float] = field(default_factory=lambda: [0.0] * len(Resource))
    waiting: list[float] = field(default_factory=lambda: [0.0] * len(Resource))


class LoadPublisher:
    """Publisher of the load summary of one term.

    :param load_view: this entry's view of the stored summary, which an earlier leader may have left
    :param write: writes under the leader's role until the store confirms it
    """

    def __init__(self, load_view: LoadView, write: WriteRecords) -> None:
        self._load_view = load_view
        self._write = write
        self._published: LoadSummary | None = None
        self._next_at = float("-inf")
        self._written_at = float("-inf")

    def update(self, planner: PlannerState) -> None:
        """Publish, refresh or remove the summary if that is due."""
        if planner.now_s < self._next_at:
            return
        self._next_at = planner.now_s + MIN_INTERVAL_S
        try:
            summary = summarize(planner)
        except Exception:
            # A job that is set aside may fail here, too; the leader still has to plan the others.
            logger.exception("event=load_summary_failed")
            return
        for number, priority in enumerate(summary.priorities):
            wait_s = summary.waiting[number] / summary.capacity if summary.capacity else 0.0
            LOAD_WAIT.labels(str(priority)).set(wait_s)
        if not self._is_loaded(summary):
            if self._load_view.has_record:
                self._write({}, [LOAD_KEY])
                LOAD_SUMMARIES.labels("removed").inc()
                logger.info("event=load_summary_removed")
            self._published = None
            return
        is_recent = planner.now_s - self._written_at < REFRESH_INTERVAL_S
        if is_recent and self._published and not has_changed(self._published, summary):
            return
        self._write({LOAD_KEY: encode(summary)}, ())
        LOAD_SUMMARIES.labels("published").inc()
        self._published, self._written_at = summary, planner.now_s
        logger.info(
            "event=load_summary_published resource=%s capacity=%d running=%s waiting=%s teams=%d",
            summary.resource.name.lower(),
            summary.capacity,
            ",".join(map(str, summary.running)),
            ",".join(map(str, summary.waiting)),
            summary.team_count,
        )

    def _is_loaded(self, summary: LoadSummary) -> bool:
        limit_s = LOADED_WAIT_S / 2 if self._published else LOADED_WAIT_S
        return summary.capacity > 0 and sum(summary.waiting) >= limit_s * summary.capacity


def has_changed(old: LoadSummary, new: LoadSummary) -> bool:
    """Return whether a value has changed by more than a tenth.

    What runs and what waits count together, as an entry decides by their sum. Work changes by at
    least a tenth of what the fleet does in the shortest wait that is published: the loads of small
    teams vary all the time and decide nothing.
    """
    if (old.resource, old.priorities) != (new.resource, new.priorities):
        return True
    least = LOADED_WAIT_S * new.capacity
    pairs = [(old.capacity, new.capacity, 0.0)]
    old_work, new_work = (map(sum, zip(s.running, s.waiting, strict=True)) for s in (old, new))
    pairs += [(a, b, least) for a, b in zip(old_work, new_work, strict=True)]
    for team in old.teams.keys() | new.teams.keys():
        works = [sum(s.teams[team].work) if team in s.teams else 0 for s in (old, new)]
        pairs.append((works[0], works[1], least))
    return any(abs(a - b) > CHANGE_SHARE * max(a, least) for a, b, least in pairs)


def summarize(planner: PlannerState) -> LoadSummary:
    """Return the load of the fleet on its scarcest resource."""
    works = [_work_of(planner, job_id) for job_id in planner.active_jobs]
    capacities = _capacities(planner)
    resource = _scarcest(capacities, works)
    return _bounded(
        summarize_load(
            resource,
            capacities[resource],
            [JobLoad(w.team, w.priority, w.running[resource], w.waiting[resource]) for w in works],
            _arrivals(planner, resource),
            _quota_used(planner),
        )
    )


def _bounded(summary: LoadSummary) -> LoadSummary:
    """Leave out the teams with the least work until the record is small enough.

    To entries, these are teams below their share, which are always admitted.
    """
    teams = dict(sorted(summary.teams.items(), key=lambda item: (-sum(item[1].work), item[0])))
    while teams and len(encode(structs.replace(summary, teams=teams))) > MAX_SUMMARY_BYTES:
        teams.popitem()
    return structs.replace(summary, teams=teams)


def _scarcest(capacities: Sequence[float], works: Iterable[JobWork]) -> Resource:
    totals = [0.0] * len(Resource)
    for work in works:
        for resource in Resource:
            totals[resource] += work.running[resource] + work.waiting[resource]
    waits = {r: totals[r] / capacities[r] for r in Resource if capacities[r] > 0}
    return max(waits, key=lambda r: (waits[r], -r), default=Resource.ACCELERATORS)


def _capacities(planner: PlannerState) -> list[float]:
    """Return the capacity of the open workers by resource, without what runs without end.

    What runs without end in an evacuated zone stays there and takes nothing from the others.
    """
    totals = [0.0] * len(Resource)
    for worker_id, worker in planner.cell.workers_by_id.items():
        if planner.workers.closed_cause(worker_id) in OPEN_CAUSES:
            speed = planner.performance.speed_of(worker_id)
            totals[Resource.ACCELERATORS] += worker.accelerators * speed
            totals[Resource.CORES] += worker.cores / 1000 * speed
            # The cell of the batch jobs counts memory in MB. Slow workers do not have less of it,
            # but hold it for longer.
            totals[Resource.MEMORY] += worker.memory_gb / 1000 * speed
    for job_id in planner.active_jobs:
        job = planner.jobs_by_id[job_id]
        if any(step.long_running for step in job.steps):
            for number, unit in _placed_units(planner, job_id):
                step = job.steps[number]
                if step.long_running:
                    workers = [p.worker for p in unit.places if p.worker in planner.workers.by_id]
                    tasks = len(workers) - sum(map(planner.workers.is_evacuated, workers))
                    for resource in Resource:
                        totals[resource] -= tasks * need_of(step, resource)
    return totals


def _work_of(planner: PlannerState, job_id: JobId) -> JobWork:
    """Return the remaining work of the units of a job that are due."""
    job, units = planner.jobs_by_id[job_id], planner.units_by_id[job_id]
    work = JobWork(team=job.team, priority=planner.queue_of(job).priority)
    occurrences = len(due_occurrences(job, planner.now_ms))
    placed_by_step = [0] * len(job.steps)
    for number, unit in _placed_units(planner, job_id):
        step = job.steps[number]
        placed_by_step[number] += 1
        if not step.long_running:
            elapsed_s = max(0.0, (planner.now_ms - unit.started_at_ms) / 1000)
            left_s = max(0.0, step.run_time_s - elapsed_s) * len(unit.places)
            for resource in Resource:
                work.running[resource] += left_s * need_of(step, resource)
    for number, step in enumerate(job.steps):
        if step.long_running:
            continue
        begun = units.done_count(number) + placed_by_step[number]
        waiting = max(0, occurrences * unit_count(step) - begun)
        if waiting:
            for resource in Resource:
                work.waiting[resource] += waiting * _unit_work(step, resource)
    return work


def _arrivals(planner: PlannerState, resource: Resource) -> Iterator[Arrival]:
    """Yield the jobs that were submitted lately, also those that have ended."""
    for job_id, job in planner.jobs_by_id.items():
        age_s = max(0.0, (planner.now_ms - job.submitted_at_ms) / 1000)
        if age_s < RATE_WINDOW_S:
            units = planner.units_by_id[job_id]
            begun = [units.done_count(number) for number in range(len(job.steps))]
            for number, _ in _placed_units(planner, job_id):
                begun[number] += 1
            work = sum(
                count * _unit_work(step, resource)
                for count, step in zip(begun, job.steps, strict=True)
                if not step.long_running
            )
            yield Arrival(job.team, planner.queue_of(job).priority, work, age_s)


def _unit_work(step: Step, resource: Resource) -> float:
    tasks = step.count if step.gang else 1
    return tasks * step.run_time_s * need_of(step, resource)


def _placed_units(planner: PlannerState, job_id: JobId) -> Iterator[tuple[int, Unit]]:
    """Yield the units of a job that have places on workers, with the numbers of their steps."""
    for key, unit in planner.progress_by_id[job_id].units.items():
        if unit.places and unit.state is not UnitState.DONE:
            yield parse_unit_key(job_id, key).step, unit


def _quota_used(planner: PlannerState) -> dict[TeamId, int]:
    """Return the accelerators of urgent jobs inside the quota, by team."""
    used: dict[TeamId, int] = {}
    for job_id in planner.job_builder.units_within_quota(planner).job_ids:
        job = planner.jobs_by_id[job_id]
        accelerators = max(step.count * step.accelerators for step in job.steps)
        used[job.team] = used.get(job.team, 0) + accelerators
    return used
