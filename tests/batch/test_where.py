"""Answer to where a job would go now, by the leader of the batch jobs."""

import json
import random
import threading
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec
import pytest
from tests.batch.fakes import RED, ManualClock, make_job, make_queue, make_report
from tests.batch.leader_harness import JOB, WORKER, LeaderHarness
from tests.batch.test_planner import WORKERS, make_planner, submit, tasks_by_worker

from chicorycrank.batch import where_calls
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.where import MAX_STEPS_EXPLAINED, explain_placement
from chicorycrank.batch.where_calls import NotAnsweredError, WhereCalls
from chicorycrank.model.batch import Advice, EndKind, Step, Submission, TaskEnd, WorkerState
from chicorycrank.model.ids import JobId, RackId, ServiceId, TargetId, TaskId, ZoneId
from chicorycrank.platform.server import Request
from chicorycrank.platform.where_handler import answer_where
from chicorycrank.policy.where import MAX_WORKERS_LISTED, PlacementAnswer

WHOLE_WORKER = Step(count=1, accelerators=8, cores=1000, run_time_s=5.0)
HALF_WORKER = Step(count=1, accelerators=4, cores=1000, run_time_s=5.0)
PAIR = Step(count=2, accelerators=8, cores=1000, run_time_s=5.0, gang=True)
URGENT = make_queue(priority=0, name="urgent")
RUNNING = "b" * 16
Change = Callable[[Planner], None]


def no_change(_: Planner) -> None:
    pass


def reported(**changes: object) -> Change:
    """Return a change of all reports."""

    def change(planner: Planner) -> None:
        for worker in WORKERS:
            planner.apply_report(worker, make_report(f"i-{worker}:1", **changes))

    return change


def running(step: Step) -> Change:
    """Return the start of a job on all workers."""

    def change(planner: Planner) -> None:
        submit(planner, make_job([step], name=RUNNING))

    return change


def make_absent(planner: Planner) -> None:
    for worker in WORKERS:
        planner.workers.set_present(worker, False)


def make_backoff(planner: Planner) -> None:
    for worker in WORKERS:
        end = TaskEnd(TaskId("t"), 1, EndKind.WITHDRAWN)
        planner.workers.record_end(worker, JobId(RUNNING), end)
    planner.plan()


def make_quarantined(planner: Planner) -> None:
    for worker in WORKERS:
        for number in range(2):
            planner.workers.quarantine.record_failure(worker, JobId(f"{worker}{number}"), "failed")
    planner.plan()


def evacuate(planner: Planner) -> None:
    planner.workers.evacuated_zones = frozenset({ZoneId("z")})
    reported(zone="z")(planner)


def limit_runs(planner: Planner) -> None:
    planner.cell.free.run_room = lambda _: 0


def explain_one(planner: Planner, submission: Submission) -> PlacementAnswer:
    (answer,) = explain_placement(planner, submission)
    return answer


@pytest.mark.parametrize(
    ("change", "step", "cause", "reason"),
    [
        (make_absent, WHOLE_WORKER, "all-closed", "absent"),
        (reported(lease_left_s=5.0), WHOLE_WORKER, "all-closed", "stopped"),
        (reported(state=WorkerState.DRAINING), WHOLE_WORKER, "all-closed", "not-ready"),
        (reported(is_unreachable=True), WHOLE_WORKER, "all-closed", "unreachable"),
        (evacuate, WHOLE_WORKER, "evacuated", "evacuated"),
        (make_backoff, WHOLE_WORKER, "all-closed", "backoff"),
        (reported(suspects={TaskId("t"): 40}), WHOLE_WORKER, "all-closed", "stalled"),
        (make_quarantined, WHOLE_WORKER, "all-closed", "quarantine"),
        (reported(service=ServiceId("other")), WHOLE_WORKER, "no-suitable-worker", "service"),
        (no_change, Step(count=1, label="x"), "no-suitable-worker", "constraint"),
        (no_change, Step(count=1, accelerators=9), "exceeds-capacity", "too-small"),
        (no_change, Step(count=1, cores=64001), "exceeds-capacity", "too-small"),
        (running(Step(count=3, accelerators=5)), HALF_WORKER, "reserved", "accelerators"),
        (running(Step(count=3, cores=64000)), HALF_WORKER, "reserved", "cores"),
        (
            running(Step(count=3, memory_mb=256000)),
            Step(count=1, memory_mb=1),
            "no-room",
            "memory",
        ),
        (limit_runs, WHOLE_WORKER, "reserved", "run-limit"),
    ],
)
def test_each_worker_has_the_reason_against_it(
    change: Change, step: Step, cause: str, reason: str
) -> None:
    """Guards against an answer that names another reason than the one that keeps a worker out."""
    planner = make_planner()
    change(planner)
    answer = explain_one(planner, make_job([step]))
    assert (answer.starts_now, answer.cause, answer.workers) == (False, cause, ())
    assert answer.rejected_by_reason == {reason: len(WORKERS)}
    assert [(item.worker, item.reason) for item in answer.rejected] == [
        (worker, reason) for worker in WORKERS
    ]


def test_values_are_given_with_a_lack_of_room() -> None:
    """Guards against a reason that does not say how much is missing."""
    planner = make_planner()
    running(Step(count=3, accelerators=5))(planner)
    (first, *_) = explain_one(planner, make_job([HALF_WORKER])).rejected
    assert first.detail == "3 free, 4 needed"


def test_a_job_that_starts_names_its_workers_and_those_not_chosen() -> None:
    """Guards against an answer that differs from what a submission then does."""
    planner = make_planner()
    answer = explain_one(planner, make_job([PAIR]))
    assert (answer.starts_now, answer.cause, answer.worker_count) == (True, "starts-now", 2)
    assert answer.rejected_by_reason == {"part-of-gang": 1}
    job = submit(planner, make_job([PAIR]))
    assert [chosen.worker for chosen in answer.workers] == sorted(tasks_by_worker(planner))
    assert len(planner.progress_by_id[job.job_id].units) == 1


def test_a_free_worker_that_another_one_is_preferred_to_is_not_chosen() -> None:
    """Guards against a reason of lacking room for a worker that has room."""
    answer = explain_one(make_planner(), make_job([WHOLE_WORKER]))
    assert answer.rejected_by_reason == {"not-chosen": 2}


def test_data_rack_excludes_workers_of_other_racks() -> None:
    """Guards against a worker that is left out for the rack of the data without a reason."""
    planner = make_planner()
    planner.apply_report(WORKERS[2], make_report(f"i-{WORKERS[2]}:1", rack=RackId("r2")))
    answer = explain_one(planner, make_job([Step(count=1, accelerators=8, data_rack="r2")]))
    assert [chosen.worker for chosen in answer.workers] == [WORKERS[2]]
    assert answer.rejected_by_reason == {"data-rack": 2}


def test_a_queue_with_advice_has_no_tickets_before_the_submission() -> None:
    """Guards against an answer that a job starts whose tickets are still to be issued."""
    queue = make_queue(advice=Advice(decision_s=0.1, per_worker_s=0.0, validity_s=1.0))
    answer = explain_one(make_planner(), make_job([WHOLE_WORKER], queue=queue))
    assert answer.rejected_by_reason == {"no-ticket": 3}


def test_reserved_workers_are_reserved_for_others() -> None:
    """Guards against `not-chosen` for a worker that is kept for a job that waits longer."""
    planner = make_planner()
    submit(planner, make_job([Step(count=1, accelerators=8, run_time_s=50.0)], name=RUNNING))
    gang = Step(count=3, accelerators=8, cores=1000, run_time_s=50.0, gang=True)
    submit(planner, make_job([gang], name="c" * 16))
    answer = explain_one(planner, make_job([Step(count=1, accelerators=8, run_time_s=500.0)]))
    assert not answer.starts_now
    assert answer.rejected_by_reason == {"accelerators": 1, "reserved-for-others": 2}


def test_an_urgent_job_names_what_would_be_stopped_for_it() -> None:
    """Guards against an answer that hides evictions."""
    planner = make_planner(quota=24)
    running(Step(count=3, accelerators=8, run_time_s=50.0))(planner)
    answer = explain_one(planner, make_job([WHOLE_WORKER], queue=URGENT))
    assert (answer.starts_now, answer.cause, len(answer.evictions)) == (False, "evictions", 1)
    assert answer.evictions[0].startswith(RUNNING)


def snapshot(planner: Planner) -> object:
    """Return all that plans, records and orders follow from."""
    cell = planner.cell
    pools = [
        (dict(pool.masks), dict(pool.cores), dict(pool.memory_gb), list(pool.piece_totals))
        for pool in (cell.free, cell.reclaimable, cell.guarantee_placements.pool)
    ]
    return (
        pools,
        dict(cell.reservations_by_id),
        set(cell.waiting_for_evictions),
        cell.jobs_within_quota,
        dict(cell.running_by_id),
        dict(cell.borrowed),
        dict(cell.stopping),
        {team: list(used) for team, used in cell.usage_by_team.items()},
        {worker: dict(masks) for worker, masks in cell.masks_by_worker.items() if masks},
        list(planner.jobs_by_id),
        list(planner.active_jobs),
        list(planner.units_by_id),
        {job_id: msgspec.json.encode(item) for job_id, item in planner.progress_by_id.items()},
        (set(planner.changes.jobs), set(planner.changes.workers)),
        set(planner.jobs_with_ends),
        tasks_by_worker(planner),
    )


def make_busy(planner: Planner) -> None:
    """Run jobs, and let a gang wait with a reservation."""
    submit(planner, make_job([Step(count=1, accelerators=8, run_time_s=50.0)], name=RUNNING))
    gang = Step(count=3, accelerators=8, cores=1000, run_time_s=50.0, gang=True)
    submit(planner, make_job([gang], name="c" * 16))


@pytest.mark.parametrize(
    "submission",
    [
        make_job([WHOLE_WORKER]),
        make_job([WHOLE_WORKER, HALF_WORKER, PAIR]),
        make_job([PAIR], queue=URGENT),
        make_job([Step(count=1, accelerators=9)]),
        make_job([Step(count=100_000, accelerators=1, run_time_s=500.0)]),
    ],
)
def test_nothing_changes(submission: Submission) -> None:
    """Guards against reservations, evictions or starts that an answer leaves behind."""
    planner, other = make_planner(quota=24), make_planner(quota=24)
    for each in (planner, other):
        make_busy(each)
    assert planner.cell.reservations_by_id
    before = snapshot(planner)
    explain_placement(planner, submission)
    assert snapshot(planner) == before
    for each in (planner, other):
        each.set_time(each.now_s + 1.0, 1000)
        submit(each, make_job([HALF_WORKER], name="d" * 16, queue=URGENT))
    assert snapshot(planner) == snapshot(other)


def random_job(source: random.Random, name: str) -> Submission:
    is_gang = source.random() < 0.4
    step = Step(
        count=source.randint(1, 4),
        accelerators=source.choice([0, 1, 2, 4, 8]),
        cores=source.choice([0, 1000, 30_000]),
        memory_mb=source.choice([0, 1000, 200_000]),
        run_time_s=source.choice([1.0, 5.0, 50.0, 500.0]),
        gang=is_gang,
        same_rack=is_gang,
        max_per_worker=0 if is_gang else source.choice([0, 1]),
    )
    priority = source.randint(0, 2)
    return make_job([step], name=name, queue=make_queue(priority=priority, name=f"q{priority}"))


@pytest.mark.parametrize("seed", range(20))
def test_answers_between_plans_change_no_plan(seed: int) -> None:
    """Guards against an answer after which later plans differ, in states with evictions."""
    source = random.Random(seed)
    workers = [TargetId(f"w{number}") for number in range(source.randint(1, 8))]
    quota = source.choice([0, 8, 24])
    planner, other = (make_planner(workers, quota=quota, headroom=0.3) for _ in range(2))
    for number in range(12):
        job = random_job(source, f"{number:016x}")
        for each in (planner, other):
            each.set_time(each.now_s + 1.0, 1000 * (number + 1))
            submit(each, job)
        explain_placement(planner, random_job(source, "f" * 16))
        assert snapshot(planner) == snapshot(other)
        for by_id in ("running_by_id", "borrowed", "stopping"):
            assert [*getattr(planner.cell, by_id)] == [*getattr(other.cell, by_id)]


def test_an_error_leaves_nothing_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a job that stays in the planner after deciding on it has failed."""
    planner = make_planner()
    make_busy(planner)
    before = snapshot(planner)
    builder = planner.job_builder
    monkeypatch.setattr(builder, "make_queue", lambda *_: 1 // 0)
    with pytest.raises(ZeroDivisionError):
        explain_placement(planner, JOB)
    assert snapshot(planner) == before


def test_the_size_of_an_answer_is_bounded() -> None:
    """Guards against answers that grow with the fleet, and counts that leave out workers."""
    planner = make_planner([TargetId(f"w{number:03}") for number in range(300)])
    steps = [Step(count=1, accelerators=9)] * (MAX_STEPS_EXPLAINED + 3)
    answers = explain_placement(planner, make_job(steps))
    assert len(answers) == MAX_STEPS_EXPLAINED
    for answer in answers:
        assert len(answer.rejected) == MAX_WORKERS_LISTED
        assert answer.rejected_by_reason == {"too-small": 300}
    gang = Step(count=300, accelerators=8, gang=True)
    answer = explain_one(planner, make_job([gang]))
    assert (len(answer.workers), answer.worker_count) == (MAX_WORKERS_LISTED, 300)


def test_a_job_that_is_not_due_has_no_answers() -> None:
    """Guards against a place for a job whose first occurrence is in the future."""
    job = make_job([WHOLE_WORKER], repeat_count=2, first_at_ms=10_000, interval_ms=1000)
    assert explain_placement(make_planner(), job) == ()


def test_the_planner_answers_calls_of_other_threads() -> None:
    """Guards against a call that gets no answer, or one that ends the term."""
    harness = LeaderHarness()
    calls, answers = harness.term.where_calls, []
    asking = threading.Thread(target=lambda: answers.append(calls.ask(JOB)))
    asking.start()
    while asking.is_alive():
        harness.plan()
        calls.answer(harness.term._planner)
        asking.join(0.01)
    assert answers[0][0].workers[0].worker == WORKER
    assert harness.term._planner.jobs_by_id == {}


def test_a_call_without_a_plan_ends_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a thread of the metrics port that waits for ever, and later calls with it."""
    monkeypatch.setattr(where_calls, "ANSWER_TIMEOUT_S", 0.0)
    calls = WhereCalls(threading.Condition(), ManualClock())
    for _ in range(2):
        with pytest.raises(NotAnsweredError, match="in time"):
            calls.ask(JOB)


def call(
    body: object, leads: bool = True, method: str = "POST"
) -> tuple[HTTPStatus, dict[str, Any]]:
    harness = LeaderHarness()
    harness.leader.hear()
    harness.plan()
    planner = harness.term._planner
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    response = answer_where(
        Request(method, "/where", "host", {}, data),
        harness.leader.view,
        lambda job: explain_placement(planner, job) if leads else None,
    )
    return response.status, json.loads(response.body)


DOCUMENT = {"queue": "q", "team": RED, "job": {"steps": [{"gpus": 8, "estimatedMs": 5000}]}}


def test_the_call_takes_a_job_document_of_the_platform() -> None:
    """Guards against a call that decodes jobs otherwise than a submission."""
    status, answer = call(DOCUMENT)
    assert status is HTTPStatus.OK
    (step,) = answer["steps"]
    assert step | {"workers": 0} == {
        "job": "step 0",
        "starts_now": True,
        "cause": "starts-now",
        "workers": 0,
        "worker_count": 1,
        "evictions": [],
        "rejected": [],
        "rejected_by_reason": {},
    }


@pytest.mark.parametrize(
    ("body", "leads", "method", "status", "text"),
    [
        (DOCUMENT, False, "POST", HTTPStatus.MISDIRECTED_REQUEST, '"leader": "leader"'),
        (DOCUMENT, True, "GET", HTTPStatus.METHOD_NOT_ALLOWED, "{}"),
        (DOCUMENT | {"queue": "x"}, True, "POST", HTTPStatus.NOT_FOUND, "no queue x"),
        (DOCUMENT | {"team": "x"}, True, "POST", HTTPStatus.NOT_FOUND, "no team x"),
        (DOCUMENT | {"job": {}}, True, "POST", HTTPStatus.BAD_REQUEST, "number of steps"),
        (DOCUMENT | {"jobs": 1}, True, "POST", HTTPStatus.BAD_REQUEST, "jobs"),
        (b"{", True, "POST", HTTPStatus.BAD_REQUEST, "error"),
    ],
)
def test_calls_without_an_answer_say_why(
    body: object, leads: bool, method: str, status: HTTPStatus, text: str
) -> None:
    """Guards against an entry that does not lead and answers from an old state, or says nothing."""
    found, answer = call(body, leads, method)
    assert found is status
    assert text in json.dumps(answer)
