"""Which job is given up when executors crash, and which is not."""

import time
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

import pytest
from tests.batch.fakes import RED, make_job, make_report
from tests.batch.test_planner import end_task, make_planner, progress_of, submit, tasks_by_worker

from chicorycrank.batch.crash_records import PROOF_TIMEOUT_MS
from chicorycrank.batch.crash_tracker import CLEARANCE_MARGIN_MS, MAX_TEST_MS
from chicorycrank.batch.crash_verdict import MAX_ATTRIBUTED_CRASHES, MAX_CRASHES
from chicorycrank.batch.keys import decode_progress, encode_progress
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.queued_jobs import QueuedJobBuilder
from chicorycrank.model.batch import (
    BatchState,
    BatchTeam,
    EndKind,
    Step,
    Submission,
    TaskEnd,
    WorkerState,
)
from chicorycrank.model.ids import JobId, TargetId, TaskId
from chicorycrank.policy.crashes import OUTAGE_WINDOW_MS

FLEET = [TargetId(f"w{number}") for number in range(8)]
TASK = Step(count=1, accelerators=2, run_time_s=20.0)
WHOLE_WORKER = Step(count=1, accelerators=8, run_time_s=20.0)
JUST_STARTED_MS = 10
RUNNING_MS = 5000
RECOVERY_S = 12.0  # in which the platform expects requests to be served again


class SimulatedFleet:
    """Planner with a clock, and workers whose executors crash."""

    def __init__(self, workers: Sequence[TargetId] = FLEET) -> None:
        self.planner = make_planner(workers)
        self.workers = workers
        self.now_ms = 1_000_000
        self.lives = dict.fromkeys(workers, 1)
        self.crashes: dict[str, int] = {}
        self.has_answers = True  # of the executors to the starts
        self.survived_ms = 0  # of the runs on executors that crash
        self.labels: dict[TargetId, tuple[str, ...]] = {}
        self.advance(0)

    def advance(self, passed_ms: int) -> None:
        """Let time pass and plan."""
        self.now_ms += passed_ms
        self.planner.set_time(self.now_ms / 1000, self.now_ms)
        self.planner.plan()

    def submit(self, name: str, step: Step = TASK, **changes: Any) -> Submission:
        """Submit a job and plan."""
        return submit(self.planner, make_job([step], name=name * 16, **changes))

    def worker_of(self, task: str) -> TargetId:
        """Return the worker of a task."""
        return next(w for w, members in self.planner.members_by_worker.items() if task in members)

    def has_run(self, job: Submission) -> bool:
        """Return whether a task of a job is assigned."""
        rows = tasks_by_worker(self.planner).values()
        return any(task.startswith(job.job_id) for tasks in rows for task, *_ in tasks)

    def crash(self, *workers: TargetId, ages_ms: dict[str, int], is_witnessed: bool = True) -> None:
        """Crash executors, which are back at once as new incarnations.

        :param ages_ms: age of the runs by prefix of the task; others have run for a while
        :param is_witnessed: the agents were running at the crash
        """
        for worker in workers:
            ends = []
            for task, member in self.planner.members_by_worker.get(worker, {}).items():
                run = self.planner.run_number(member)
                age_ms = next((a for p, a in ages_ms.items() if task.startswith(p)), RUNNING_MS)
                end = TaskEnd(
                    task,
                    run,
                    EndKind.CRASHED,
                    age_ms=age_ms,
                    is_witnessed=is_witnessed,
                    has_started=self.has_answers,
                    survived_ms=self.survived_ms,
                )
                ends.append(end)
                self.crashes[task] = self.crashes.get(task, 0) + 1
            self.lives[worker] += 1
            report = make_report(
                f"i-{worker}:{self.lives[worker]}",
                ends=ends,
                labels=self.labels.get(worker, ("a", "r1")),
            )
            self.planner.apply_report(worker, report)
        self.planner.plan()

    def crash_on_start(self, job: Submission, *, rounds: int = 20, pause_ms: int = 4000) -> None:
        """Crash each executor that starts a task of a job, until nothing of it starts."""
        for _ in range(rounds):
            harmful = {
                worker
                for worker, members in self.planner.members_by_worker.items()
                if any(task.startswith(job.job_id) for task in members)
            }
            if harmful:
                self.crash(*sorted(harmful), ages_ms={job.job_id: JUST_STARTED_MS})
            self.clear_runs(except_of=job)
            self.advance(pause_ms)

    def clear_runs(self, except_of: Submission | None = None) -> None:
        """Let the agents report that all runs have outlasted their probation."""
        for worker, members in self.planner.members_by_worker.items():
            report = self.planner.workers.by_id[worker].report
            report.ends = []
            report.cleared = {
                task: self.planner.run_number(member)
                for task, member in members.items()
                if except_of is None or member.ref.job_id != except_of.job_id
            }
            self.planner.apply_report(worker, report)

    def state(self, job: Submission) -> BatchState:
        """Return the state of a job."""
        return progress_of(self.planner, job).state

    def take_over(self, *jobs: Submission) -> None:
        """Replace the planner by one that knows only the stored records."""
        old = self.planner
        records = {job.job_id: encode_progress(progress_of(old, job)) for job in jobs}
        reports = {worker: state.report for worker, state in old.workers.by_id.items()}
        self.planner = Planner(QueuedJobBuilder(1.0, 0.0), self.now_ms / 1000)
        self.planner.set_config({}, [BatchTeam(team=RED)])
        self.planner.set_time(self.now_ms / 1000, self.now_ms)
        for job in jobs:
            self.planner.add_job(job, decode_progress(records[job.job_id]))
        self.planner.crashes.explain_restored(self.planner)
        for worker, report in reports.items():
            report.ends = []
            self.planner.apply_report(worker, report)
            self.planner.workers.set_present(worker, True)
        self.planner.plan()


@pytest.fixture
def fleet() -> SimulatedFleet:
    return SimulatedFleet()


@dataclass(frozen=True, kw_only=True)
class LastMoments:
    """What is known of a run when its executor crashes.

    :param age_ms: maximum time in milliseconds from its start until the crash
    :param survived_ms: minimum time in milliseconds for which it has lived
    :param has_started: the executor has confirmed the start
    """

    age_ms: int = 300
    survived_ms: int = 0
    has_started: bool = True


AT_START = LastMoments()
UNANSWERED = LastMoments(has_started=False)
LATE_ORDER = LastMoments(age_ms=8000, has_started=False)
SECONDS_AFTER_START = LastMoments(age_ms=5000, survived_ms=4000)


def crash_alone(fleet: SimulatedFleet, job: Submission, moments: Sequence[LastMoments]) -> None:
    """Crash one executor after the other on which a job of one task is alone."""
    for moment in moments:
        fleet.has_answers, fleet.survived_ms = moment.has_started, moment.survived_ms
        worker = fleet.worker_of(f"{job.job_id}.0.0.0")
        fleet.crash(worker, ages_ms={job.job_id: moment.age_ms})
        fleet.advance(OUTAGE_WINDOW_MS + 1000)


@pytest.mark.parametrize(
    "moments",
    [
        [UNANSWERED, LastMoments(age_ms=2513)],
        [AT_START, AT_START],
        [UNANSWERED] * 4,
        [SECONDS_AFTER_START] * 4,
        [AT_START, AT_START, LastMoments(age_ms=4000, survived_ms=3000), AT_START, AT_START],
        [LastMoments(age_ms=s * 1000, survived_ms=s * 1000 - 1000) for s in (9, 12, 4, 15, 6, 18)],
    ],
    ids=["unanswered", "at-start", "no-answers", "seconds", "outlived", "irregular"],
)
def test_a_job_is_not_given_up_for_crashes_that_chance_explains(
    fleet: SimulatedFleet, moments: Sequence[LastMoments]
) -> None:
    """Guards against a job that is lost as executors crash under it from outside."""
    job = fleet.submit("a", WHOLE_WORKER)
    crash_alone(fleet, job, moments)
    assert fleet.state(job) is BatchState.RUNNING
    assert fleet.has_run(job)


@pytest.mark.parametrize(
    ("moment", "max_crashes"),
    [(AT_START, 3), (UNANSWERED, 5), (LATE_ORDER, 5), (SECONDS_AFTER_START, 5)],
    ids=["at-start", "unanswered", "late-order", "seconds"],
)
def test_a_task_that_crashes_each_executor_is_given_up(
    fleet: SimulatedFleet, moment: LastMoments, max_crashes: int
) -> None:
    """Guards against a harmful task that is started again without a bound."""
    job = fleet.submit("a", WHOLE_WORKER)
    crash_alone(fleet, job, [moment] * (max_crashes - 1))
    assert fleet.state(job) is BatchState.RUNNING
    crash_alone(fleet, job, [moment])
    assert fleet.state(job) is BatchState.FAILED


@pytest.mark.parametrize(
    ("step", "changes"),
    [
        (TASK, {}),
        (WHOLE_WORKER, {}),
        (Step(count=6, accelerators=2, run_time_s=20.0), {}),
        (Step(count=3, accelerators=4, run_time_s=20.0, gang=True), {}),
        (Step(count=3, accelerators=8, run_time_s=20.0, gang=True), {}),
        (Step(count=2, accelerators=2, long_running=True), {}),
        (Step(count=2, accelerators=2, long_running=True, max_unavailable=1), {}),
        (TASK, {"repeat_count": 5, "first_at_ms": 1_000_000, "interval_ms": 1000}),
    ],
    ids=["task", "whole-worker", "wide", "gang", "wide-gang", "lasting", "available", "timed"],
)
@pytest.mark.parametrize("takes_over", [False, True])
def test_a_harmful_job_is_given_up_and_no_other(
    fleet: SimulatedFleet, step: Step, changes: dict[str, int], takes_over: bool
) -> None:
    """Guards against endless starts of a harmful task, also if the leader changes on the way."""
    others = [fleet.submit(name, Step(count=4, accelerators=1)) for name in "bcd"]
    fleet.advance(RUNNING_MS)
    harmful = fleet.submit("a", step, **changes)
    for _ in range(4 if takes_over else 1):
        fleet.crash_on_start(harmful, rounds=1 if takes_over else 20, pause_ms=1000)
        if takes_over:
            fleet.take_over(harmful, *others)
    fleet.crash_on_start(harmful)
    assert fleet.state(harmful) is BatchState.FAILED
    assert "crashed" in progress_of(fleet.planner, harmful).reason
    own = [n for task, n in fleet.crashes.items() if task.startswith(harmful.job_id)]
    assert max(own) >= 2
    assert max(own) <= MAX_CRASHES
    assert all(fleet.state(other) is BatchState.RUNNING for other in others)
    assert all(fleet.has_run(other) for other in others)


def test_a_wide_harmful_job_starts_one_task_at_a_time_after_its_first_crash(
    fleet: SimulatedFleet,
) -> None:
    """Guards against a harmful job that crashes a large part of the fleet again and again."""
    harmful = fleet.submit("a", Step(count=30, accelerators=1, run_time_s=20.0))
    workers = list(tasks_by_worker(fleet.planner))
    assert len(workers) > 1
    fleet.crash(*map(TargetId, workers), ages_ms={harmful.job_id: JUST_STARTED_MS})
    running = [t for rows in tasks_by_worker(fleet.planner).values() for t in rows]
    assert len(running) == 1


def test_a_task_that_shared_executors_with_two_culprits_is_not_given_up(
    fleet: SimulatedFleet,
) -> None:
    """Guards against an innocent task that was on two executors that others crashed."""
    innocent = fleet.submit("b")
    for name in "acd":
        worker = fleet.worker_of(f"{innocent.job_id}.0.0.0")
        harmful = fleet.submit(name)
        assert fleet.worker_of(f"{harmful.job_id}.0.0.0") == worker
        fleet.crash(worker, ages_ms={"": JUST_STARTED_MS})
        fleet.crash_on_start(harmful)
        assert fleet.state(harmful) is BatchState.FAILED
        fleet.advance(RUNNING_MS)
    assert fleet.crashes[f"{innocent.job_id}.0.0.0"] >= 3
    assert fleet.state(innocent) is BatchState.RUNNING
    assert progress_of(fleet.planner, innocent).units["0.0.0"].crashes == []


@pytest.mark.parametrize("is_witnessed", [True, False])
def test_outages_of_many_executors_give_up_no_job(
    fleet: SimulatedFleet, is_witnessed: bool
) -> None:
    """Guards against jobs that are given up because the whole fleet lost power repeatedly."""
    jobs = [fleet.submit(name, WHOLE_WORKER) for name in "abcdefgh"]
    for _ in range(MAX_CRASHES - 1):
        fleet.crash(*FLEET, ages_ms={"": JUST_STARTED_MS}, is_witnessed=is_witnessed)
        fleet.advance(OUTAGE_WINDOW_MS + 1000)
        for _ in range(8):
            fleet.advance(500)
    assert {fleet.state(job) for job in jobs} == {BatchState.RUNNING}


def test_two_outages_of_a_sixth_of_the_fleet_give_up_no_job() -> None:
    """Guards against a job that is given up because its tests met the second of two outages."""
    fleet = SimulatedFleet([TargetId(f"w{number}") for number in range(64)])
    job = fleet.submit("a", Step(count=2, accelerators=1, run_time_s=20.0))
    neighbour = fleet.submit("b")
    for number in range(50):
        fleet.planner.add_job(make_job([WHOLE_WORKER], name=f"{number:016x}"), None)
    fleet.advance(0)
    tasks = [f"{job.job_id}.0.0.{index}" for index in range(2)]
    assert fleet.worker_of(f"{neighbour.job_id}.0.0.0") == fleet.worker_of(tasks[0])
    crashed: set[TargetId] = set()
    for _ in range(2):
        crashing = sorted({fleet.worker_of(task) for task in tasks})
        others = [worker for worker in fleet.workers if worker not in {*crashing, *crashed}]
        crashing += others[-10:]
        crashed.update(crashing)
        fleet.crash(*crashing, ages_ms={"": JUST_STARTED_MS})
        fleet.clear_runs(except_of=job)
        fleet.advance(OUTAGE_WINDOW_MS + 1000)
    assert fleet.state(job) is BatchState.RUNNING


def test_a_worker_that_crashes_without_a_task_too_is_no_evidence_against_it() -> None:
    """Guards against a task that is given up for the crashes of a faulty worker."""
    fleet = SimulatedFleet(FLEET[:1])
    (worker,) = fleet.workers
    fleet.crash(worker, ages_ms={})
    job = fleet.submit("a", WHOLE_WORKER)
    for _ in range(MAX_CRASHES - 1):
        fleet.crash(worker, ages_ms={"": JUST_STARTED_MS})
        fleet.advance(OUTAGE_WINDOW_MS + 1000)
    assert fleet.state(job) is BatchState.RUNNING


def test_an_outage_before_the_crashes_of_a_task_does_not_excuse_it(fleet: SimulatedFleet) -> None:
    """Guards against a harmful task that crashes more executors because all had restarted."""
    fleet.crash(*FLEET, ages_ms={})
    fleet.advance(OUTAGE_WINDOW_MS + 1000)
    harmful = fleet.submit("a")
    fleet.crash_on_start(harmful)
    assert fleet.state(harmful) is BatchState.FAILED
    assert fleet.crashes[f"{harmful.job_id}.0.0.0"] == MAX_ATTRIBUTED_CRASHES


def test_harmful_jobs_on_most_of_a_small_fleet_do_not_excuse_each_other() -> None:
    """Guards against simultaneous crashes by known suspects that count as an outage."""
    fleet = SimulatedFleet(FLEET[:6])
    jobs = []
    for name in "abc":
        jobs.append(fleet.submit(name, WHOLE_WORKER))
        task = f"{jobs[-1].job_id}.0.0.0"
        fleet.advance(0)
        for _ in range(MAX_ATTRIBUTED_CRASHES - 1):
            fleet.crash(fleet.worker_of(task), ages_ms={task: JUST_STARTED_MS})
            fleet.advance(OUTAGE_WINDOW_MS + 1000)
    busy = [worker for worker, members in fleet.planner.members_by_worker.items() if members]
    assert len(busy) == len(jobs)
    fleet.crash(*busy, ages_ms={"": JUST_STARTED_MS})
    fleet.advance(OUTAGE_WINDOW_MS)
    assert {fleet.state(job) for job in jobs} == {BatchState.FAILED}


@pytest.mark.parametrize(
    "step", [Step(count=2, accelerators=1), Step(count=2, accelerators=1, gang=True)]
)
def test_a_start_without_an_answer_counts_for_one_of_the_tasks_only(
    fleet: SimulatedFleet, step: Step
) -> None:
    """Guards against a job that fails although two tasks have crashed one executor each."""
    job = fleet.submit("a", step)
    fleet.has_answers = False
    crashes = 0
    while fleet.state(job) is BatchState.RUNNING:
        crashes += 1
        (worker, *_) = tasks_by_worker(fleet.planner)
        tasks = fleet.planner.members_by_worker[TargetId(worker)]
        is_sole = len(tasks) == 1
        fleet.crash(TargetId(worker), ages_ms={"": JUST_STARTED_MS})
        fleet.advance(OUTAGE_WINDOW_MS + 1000)
    assert (fleet.state(job), crashes) == (BatchState.FAILED, MAX_CRASHES)
    assert is_sole is not step.gang


@pytest.mark.parametrize("has_answers", [True, False])
def test_the_verdict_on_another_harmful_job_gains_no_starts(has_answers: bool) -> None:
    """Guards against a harmful task whose first crash is put down to another one there."""
    fleet = SimulatedFleet()
    fleet.has_answers = has_answers
    other, harmful = fleet.submit("a"), fleet.submit("b")
    tasks = [f"{job.job_id}.0.0.0" for job in (other, harmful)]
    (worker,) = {fleet.worker_of(task) for task in tasks}
    fleet.crash(worker, ages_ms={"": JUST_STARTED_MS})
    for _ in range(2 * MAX_CRASHES):
        for job, task in zip((other, harmful), tasks, strict=True):
            fleet.advance(OUTAGE_WINDOW_MS + 1000)
            if fleet.has_run(job):
                fleet.crash(fleet.worker_of(task), ages_ms={"": JUST_STARTED_MS})
    assert fleet.state(other) is fleet.state(harmful) is BatchState.FAILED
    assert fleet.crashes[tasks[1]] <= MAX_CRASHES


@pytest.mark.parametrize("has_company", [False, True])
def test_starts_that_never_reached_a_crashed_executor_count_against_no_task(
    has_company: bool,
) -> None:
    """Guards against a job that is given up though no executor has ever begun its task."""
    fleet = SimulatedFleet()
    job = fleet.submit("a", WHOLE_WORKER)
    company = fleet.submit("b") if has_company else None
    for _ in range(MAX_CRASHES + 1):
        task = f"{job.job_id}.0.0.0"
        worker = fleet.worker_of(task)
        run = progress_of(fleet.planner, job).units["0.0.0"].run
        fleet.lives[worker] += 1
        ends = [TaskEnd(TaskId(task), run, EndKind.LOST)]
        report = make_report(f"i-{worker}:{fleet.lives[worker]}", ends=ends)
        fleet.planner.apply_report(worker, report)
        fleet.advance(4000)
    assert progress_of(fleet.planner, job).units["0.0.0"].run == MAX_CRASHES + 2
    assert progress_of(fleet.planner, job).units["0.0.0"].crashes == []
    assert fleet.state(job) is BatchState.RUNNING
    assert company is None or fleet.state(company) is BatchState.RUNNING


def test_an_unexplained_crash_of_the_worker_does_not_excuse_a_suspect_there() -> None:
    """Guards against a harmful task that gets more starts as crashes of others are unsolved."""
    fleet = SimulatedFleet(FLEET[:2])
    others = [fleet.submit(name, Step(count=1, accelerators=1)) for name in "bc"]
    worker = fleet.worker_of(f"{others[0].job_id}.0.0.0")
    fleet.crash(worker, ages_ms={"": RUNNING_MS})
    fleet.advance(OUTAGE_WINDOW_MS + 1000)
    harmful = fleet.submit("a", WHOLE_WORKER)
    for other in others:
        fleet.planner.cancel(JobId(other.job_id))
        end_task(fleet.planner, f"{other.job_id}.0.0.0", EndKind.STOPPED, run=2)
    fleet.crash_on_start(harmful)
    assert fleet.state(harmful) is BatchState.FAILED
    assert fleet.crashes[f"{harmful.job_id}.0.0.0"] == MAX_ATTRIBUTED_CRASHES


def test_crashes_without_a_witness_end_after_the_fifth(fleet: SimulatedFleet) -> None:
    """Guards against a harmful task whose agent is killed at each of its crashes."""
    harmful = fleet.submit("a")
    for _ in range(10):
        if fleet.has_run(harmful):
            worker = fleet.worker_of(f"{harmful.job_id}.0.0.0")
            fleet.crash(worker, ages_ms={"": JUST_STARTED_MS}, is_witnessed=False)
        fleet.advance(OUTAGE_WINDOW_MS + 1000)
    assert fleet.state(harmful) is BatchState.FAILED
    assert fleet.crashes[f"{harmful.job_id}.0.0.0"] == MAX_CRASHES


def test_a_test_run_gets_no_company_until_it_is_cleared(fleet: SimulatedFleet) -> None:
    """Guards against a second crash that two starts explain."""
    job = fleet.submit("a")
    task = f"{job.job_id}.0.0.0"
    fleet.crash(fleet.worker_of(task), ages_ms={"": JUST_STARTED_MS})
    worker = fleet.worker_of(task)
    others = [fleet.submit(name) for name in "bcd"]
    assert set(fleet.planner.members_by_worker[worker]) == {task}
    (assignment,) = fleet.planner.order_for(worker).assignments
    assert assignment.probation_ms == JUST_STARTED_MS + CLEARANCE_MARGIN_MS
    fleet.clear_runs()
    assert fleet.planner.crashes.testing_workers(fleet.planner) == set()
    assert progress_of(fleet.planner, job).units["0.0.0"].crashes == []
    assert all(fleet.has_run(other) for other in others)


def test_an_executor_that_is_back_as_another_kind_gets_no_unsuitable_task(
    fleet: SimulatedFleet,
) -> None:
    """Guards against a retry on an executor that lost the label, and a lost crash record."""
    for worker in FLEET[2:]:
        fleet.labels[worker] = ("b", "r1")
    fleet.crash(*FLEET[2:], ages_ms={})
    fleet.advance(OUTAGE_WINDOW_MS + 1000)
    job = fleet.submit("a", Step(count=1, accelerators=2, run_time_s=20.0, label="a"))
    task = f"{job.job_id}.0.0.0"
    first = fleet.worker_of(task)
    fleet.labels[first] = ("b", "r1")
    fleet.crash(first, ages_ms={"": JUST_STARTED_MS})
    second = fleet.worker_of(task)
    assert {first, second} == set(FLEET[:2])
    for _ in range(MAX_ATTRIBUTED_CRASHES - 1):
        assert fleet.worker_of(task) == second
        fleet.crash(second, ages_ms={"": JUST_STARTED_MS})
        fleet.advance(OUTAGE_WINDOW_MS)
    assert fleet.state(job) is BatchState.FAILED


@pytest.mark.parametrize("state", [WorkerState.DRAINING, WorkerState.GONE])
def test_an_executor_that_leaves_as_planned_counts_against_no_task(state: WorkerState) -> None:
    """Guards against a task that is given up because its executors were replaced."""
    fleet = SimulatedFleet()
    job = fleet.submit("a")
    task = f"{job.job_id}.0.0.0"
    for _ in range(MAX_CRASHES + 1):
        worker = fleet.worker_of(task)
        member = fleet.planner.members_by_worker[worker][TaskId(task)]
        accepted = {TaskId(task): fleet.planner.run_number(member)}
        life = fleet.lives[worker]
        report = make_report(f"i-{worker}:{life}", state=state, accepted=accepted)
        fleet.planner.apply_report(worker, report)
        fleet.lives[worker] += 1
        report = make_report(f"i-{worker}:{fleet.lives[worker]}")
        fleet.planner.apply_report(worker, report)
        fleet.advance(OUTAGE_WINDOW_MS)
    assert fleet.state(job) is BatchState.RUNNING
    assert progress_of(fleet.planner, job).units["0.0.0"].crashes == []


def test_a_cancelled_job_stays_an_explanation(fleet: SimulatedFleet) -> None:
    """Guards against a task that is blamed for a crash that a cancelled job may have caused."""
    cancelled, other = fleet.submit("a"), fleet.submit("b")
    worker = fleet.worker_of(f"{other.job_id}.0.0.0")
    assert fleet.worker_of(f"{cancelled.job_id}.0.0.0") == worker
    fleet.crash(worker, ages_ms={"": JUST_STARTED_MS})
    fleet.planner.cancel(JobId(cancelled.job_id))
    fleet.crash(fleet.worker_of(f"{other.job_id}.0.0.0"), ages_ms={"": JUST_STARTED_MS})
    fleet.advance(OUTAGE_WINDOW_MS)
    assert fleet.state(other) is BatchState.RUNNING


def test_a_task_that_ends_as_done_is_cleared(fleet: SimulatedFleet) -> None:
    """Guards against a record of a crash that outlives the proof that the task is harmless."""
    job, other = fleet.submit("a"), fleet.submit("b")
    task = f"{job.job_id}.0.0.0"
    fleet.crash(fleet.worker_of(task), ages_ms={"": JUST_STARTED_MS})
    end_task(fleet.planner, task, EndKind.DONE, run=2)
    assert fleet.state(job) is BatchState.COMPLETED
    (event,) = fleet.planner.crashes.ledger.events_by_id.values()
    assert event.suspects == {other.job_id}


def test_a_crash_of_a_large_fleet_delays_no_plan_beyond_the_recovery_time() -> None:
    """Guards against a plan that compares every crash with every other for each task."""
    workers = [TargetId(f"w{number}") for number in range(180)]
    fleet = SimulatedFleet(workers)
    step = Step(count=6, accelerators=4, run_time_s=20.0)
    for number in range(60):
        submit(fleet.planner, make_job([step], name=f"{number:016x}"))
    started_at = time.monotonic()
    fleet.crash(*workers, ages_ms={"": JUST_STARTED_MS})
    assert time.monotonic() - started_at < RECOVERY_S


@pytest.mark.parametrize("takes_over", [False, True])
def test_a_crash_that_another_job_explains_still_counts_towards_the_limit(
    fleet: SimulatedFleet, takes_over: bool
) -> None:
    """Guards against a sixth start of a harmful task that once crashed beside another one."""
    job, other = fleet.submit("a"), fleet.submit("b")
    worker = fleet.worker_of(f"{job.job_id}.0.0.0")
    assert fleet.worker_of(f"{other.job_id}.0.0.0") == worker
    fleet.crash(worker, ages_ms={"": JUST_STARTED_MS})
    crash_alone(fleet, other, [AT_START] * MAX_ATTRIBUTED_CRASHES)
    assert fleet.state(other) is BatchState.FAILED
    if takes_over:
        fleet.take_over(job, other)
    crash_alone(fleet, job, [UNANSWERED] * (MAX_CRASHES - 2))
    assert fleet.state(job) is BatchState.RUNNING
    crash_alone(fleet, job, [UNANSWERED])
    assert fleet.state(job) is BatchState.FAILED


def test_a_wide_harmful_job_is_given_up_after_few_crashes(fleet: SimulatedFleet) -> None:
    """Guards against a harmful job that crashes as many executors as it has tasks."""
    job = fleet.submit("a", Step(count=30, accelerators=1, run_time_s=20.0))
    crashes = 0
    while fleet.state(job) is BatchState.RUNNING:
        crashed = [TargetId(worker) for worker in tasks_by_worker(fleet.planner)]
        fleet.crash(*crashed, ages_ms={"": JUST_STARTED_MS})
        fleet.advance(OUTAGE_WINDOW_MS + 1000)
        crashes += 1
    assert crashes == MAX_ATTRIBUTED_CRASHES


@pytest.mark.parametrize("is_crash_later", [False, True])
def test_a_member_of_a_gang_that_runs_on_does_not_clear_the_one_that_crashes(
    fleet: SimulatedFleet, is_crash_later: bool
) -> None:
    """Guards against a harmful task that starts without end, as its gang has sound members."""
    job = fleet.submit("a", Step(count=2, accelerators=8, run_time_s=20.0, gang=True))
    sound, harmful = f"{job.job_id}.0.0.0", f"{job.job_id}.0.0.1"
    for _ in range(MAX_ATTRIBUTED_CRASHES):
        worker = fleet.worker_of(sound)
        member = fleet.planner.members_by_worker[worker][TaskId(sound)]
        run = fleet.planner.run_number(member)
        crash = partial(fleet.crash, fleet.worker_of(harmful), ages_ms={"": JUST_STARTED_MS})
        if not is_crash_later:
            crash()
        report = fleet.planner.workers.by_id[worker].report
        report.cleared = {TaskId(sound): run}
        fleet.planner.apply_report(worker, report)
        if is_crash_later:
            crash()
        report.ends, report.cleared = [TaskEnd(TaskId(sound), run, EndKind.STOPPED)], {}
        fleet.planner.apply_report(worker, report)
        fleet.advance(OUTAGE_WINDOW_MS + 1000)
        report.ends = []
    assert fleet.state(job) is BatchState.FAILED


@pytest.mark.parametrize("state", [WorkerState.READY, WorkerState.DRAINING])
def test_a_unit_returns_to_a_worker_that_crashed_if_the_others_cannot_hold_it(
    state: WorkerState,
) -> None:
    """Guards against a job that waits for good as an executor has crashed under it once."""
    fleet = SimulatedFleet(FLEET[:2])
    job = fleet.submit("a", WHOLE_WORKER)
    worker = fleet.worker_of(f"{job.job_id}.0.0.0")
    (other,) = set(FLEET[:2]) - {worker}
    incarnation = fleet.planner.workers.by_id[other].report.incarnation
    report = make_report(incarnation, state=state, labels=("a", "r1"), accelerators=4)
    fleet.planner.apply_report(other, report)
    fleet.crash(worker, ages_ms={"": JUST_STARTED_MS})
    fleet.advance(OUTAGE_WINDOW_MS + 1000)
    assert fleet.worker_of(f"{job.job_id}.0.0.0") == worker


def crash_runs(fleet: SimulatedFleet, worker: TargetId, ends: dict[str, dict[str, Any]]) -> None:
    """Crash an executor, which is back at once as a new incarnation.

    :param ends: what is known of its runs, by job
    """
    reported = []
    for task, member in fleet.planner.members_by_worker[worker].items():
        known = ends[member.ref.job_id]
        run = fleet.planner.run_number(member)
        reported.append(TaskEnd(task, run, EndKind.CRASHED, **known))
        fleet.crashes[task] = fleet.crashes.get(task, 0) + 1
    fleet.lives[worker] += 1
    report = make_report(f"i-{worker}:{fleet.lives[worker]}", ends=reported, labels=("a", "r1"))
    fleet.planner.apply_report(worker, report)
    fleet.planner.plan()


@pytest.mark.parametrize("neighbour_age_ms", [10_000, 90_000])
@pytest.mark.parametrize("takes_over", [False, True])
def test_a_start_without_a_witness_beside_a_witnessed_run_counts_towards_the_limit(
    neighbour_age_ms: int, takes_over: bool
) -> None:
    """Guards against endless starts of a harmful task that crashes before anything comes back."""
    fleet = SimulatedFleet(FLEET[:1])
    (worker,) = fleet.workers
    neighbour = fleet.submit("b", Step(count=1, accelerators=1, long_running=True))
    harmful = fleet.submit("a")
    ends: dict[str, dict[str, Any]] = {
        neighbour.job_id: {"age_ms": neighbour_age_ms, "survived_ms": neighbour_age_ms - 1000},
        harmful.job_id: {"age_ms": JUST_STARTED_MS, "is_witnessed": False, "has_started": False},
    }
    for _ in range(MAX_CRASHES + 2):
        if fleet.has_run(harmful):
            crash_runs(fleet, worker, ends)
        fleet.advance(OUTAGE_WINDOW_MS + 1000)
        if takes_over:
            fleet.take_over(harmful, neighbour)
        fleet.clear_runs(except_of=harmful)
    assert fleet.crashes[f"{harmful.job_id}.0.0.0"] == MAX_CRASHES
    assert fleet.state(harmful) is BatchState.FAILED
    assert fleet.state(neighbour) is BatchState.RUNNING


@pytest.mark.parametrize("ages_s", [(30, 20, 25, 15, 10), (50, 20, 40, 5, 30, 20, 45, 10)])
def test_a_long_job_is_not_given_up_for_crashes_after_different_times(
    fleet: SimulatedFleet, ages_s: Sequence[int]
) -> None:
    """Guards against a long first run that keeps the later ones from refuting the next crashes."""
    job = fleet.submit("a", WHOLE_WORKER)
    moments = [LastMoments(age_ms=s * 1000, survived_ms=s * 1000 - 1000) for s in ages_s]
    for moment in moments:
        crash_alone(fleet, job, [moment])
        assert fleet.state(job) is BatchState.RUNNING


@pytest.mark.parametrize("takes_over", [False, True])
def test_a_run_with_only_explained_crashes_is_no_test_after_a_takeover(
    fleet: SimulatedFleet, takes_over: bool
) -> None:
    """Guards against a worker that is closed, and a job that is blamed alone, without a test."""
    job, culprit = fleet.submit("a"), fleet.submit("b")
    task = f"{job.job_id}.0.0.0"
    assert fleet.worker_of(task) == fleet.worker_of(f"{culprit.job_id}.0.0.0")
    fleet.crash(fleet.worker_of(task), ages_ms={"": JUST_STARTED_MS})
    crash_alone(fleet, culprit, [AT_START] * MAX_ATTRIBUTED_CRASHES)
    assert fleet.state(culprit) is BatchState.FAILED
    run = progress_of(fleet.planner, job).units["0.0.0"].run
    end_task(fleet.planner, task, EndKind.STOPPED, run=run)
    fleet.advance(0)
    assert fleet.has_run(job)
    if takes_over:
        fleet.take_over(job, culprit)
    crashes = progress_of(fleet.planner, job).units["0.0.0"].crashes
    assert [crash.is_explained for crash in crashes] == [True]
    assert fleet.planner.crashes.testing_workers(fleet.planner) == set()


def test_a_late_start_beside_a_test_is_not_blamed_on_the_test() -> None:
    """Guards against a job in test that is given up for starts that executors carry out late."""
    fleet = SimulatedFleet(FLEET[:1])
    (worker,) = fleet.workers
    tested = fleet.submit("b", Step(count=1, accelerators=1))
    other = fleet.submit("a")
    ends: dict[str, dict[str, Any]] = {
        tested.job_id: {"age_ms": JUST_STARTED_MS},
        other.job_id: {"age_ms": LATE_ORDER.age_ms, "has_started": False},
    }
    for _ in range(MAX_ATTRIBUTED_CRASHES + 1):
        crash_runs(fleet, worker, ends)
        fleet.advance(OUTAGE_WINDOW_MS + 1000)
    assert fleet.state(tested) is BatchState.RUNNING


@pytest.mark.parametrize("is_proven", [True, False])
def test_a_job_does_not_wait_for_the_clock_of_the_leader_before(
    fleet: SimulatedFleet, is_proven: bool
) -> None:
    """Guards against a job that is held for as long as the clock of an earlier leader was ahead."""
    job = fleet.submit("a", WHOLE_WORKER)
    crash_alone(fleet, job, [AT_START] * (MAX_ATTRIBUTED_CRASHES - 1))
    worker = fleet.worker_of(f"{job.job_id}.0.0.0")
    fleet.crash(worker, ages_ms={"": JUST_STARTED_MS})
    if not is_proven:
        crashed = progress_of(fleet.planner, job).units["0.0.0"].crashes[-1].incarnation
        fleet.planner.workers.by_id[worker].report.incarnation = crashed
        fleet.planner.workers.by_id[worker].report.is_unreachable = True
    fleet.now_ms -= 600_000
    fleet.take_over(job)
    fleet.advance(PROOF_TIMEOUT_MS)
    assert (fleet.state(job) is BatchState.FAILED) is is_proven
    assert fleet.has_run(job) is not is_proven


def test_a_test_closes_its_worker_for_a_few_seconds_only(fleet: SimulatedFleet) -> None:
    """Guards against jobs that could run and wait for the long probations of others."""
    job = fleet.submit("a")
    crash_alone(fleet, job, [LATE_ORDER] * 2)
    worker = fleet.worker_of(f"{job.job_id}.0.0.0")
    (assignment,) = fleet.planner.order_for(worker).assignments
    assert assignment.probation_ms > MAX_TEST_MS
    assert fleet.planner.crashes.testing_workers(fleet.planner) == {worker}
    fleet.advance(MAX_TEST_MS)
    assert fleet.planner.crashes.testing_workers(fleet.planner) == set()
    assert len(progress_of(fleet.planner, job).units["0.0.0"].crashes) == 2


def test_the_probation_of_a_task_is_its_own(fleet: SimulatedFleet) -> None:
    """Guards against a task that stays in test for the crash of another task of its job."""
    job = fleet.submit("a", Step(count=2, accelerators=8, run_time_s=20.0))
    first, second = (f"{job.job_id}.0.0.{index}" for index in range(2))
    fleet.crash(fleet.worker_of(first), ages_ms={first: 10_000})
    fleet.advance(OUTAGE_WINDOW_MS + 1000)
    fleet.crash(fleet.worker_of(second), ages_ms={second: JUST_STARTED_MS})
    fleet.advance(MAX_TEST_MS)
    (assignment,) = fleet.planner.order_for(fleet.worker_of(second)).assignments
    assert assignment.probation_ms == JUST_STARTED_MS + CLEARANCE_MARGIN_MS
