"""Job records and submissions with failures of the store."""

import asyncio
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.scheduler_fakes import LeaderRun, make_spec

from chicorycrank.adapters.codec import decode, encode
from chicorycrank.entry.job_records import (
    MAX_SHARD_BYTES,
    JobRecords,
    ShardDocument,
    shard_number,
)
from chicorycrank.model.ids import CellId, Epoch, Generation, JobId, TargetId, Version
from chicorycrank.model.jobs import JobRecord, JobState, MemberPlacement
from chicorycrank.model.messages import GangEnded, GangOutcome, Ok, Refused

scenarios("features/job_records.feature")

J = JobId("north-j")
SAME_SHARD = next(
    JobId(f"north-k{n}")
    for n in range(10_000)
    if shard_number(JobId(f"north-k{n}")) == shard_number(J)
)
OTHER_SHARD = JobId("north-other")
KEY = f"jobs/north/{shard_number(J)}"


@pytest.fixture
def run() -> Iterator[LeaderRun]:
    run = LeaderRun()
    yield run
    run.close()


def make_record(run: LeaderRun, job_id: str, **fields: Any) -> JobRecord:
    now = run.clock.now()
    values: dict[str, Any] = {"state": JobState.QUEUED, "submitted_at": now} | fields
    return JobRecord(
        job_id=JobId(job_id), spec=make_spec(), generation=Generation(1), epoch=Epoch(1), **values
    )


def stored(run: LeaderRun, job_id: JobId) -> JobRecord | None:
    value = run.store.value_by_key.get(f"jobs/north/{shard_number(job_id)}", (b"", 0))[0]
    records = decode(value, ShardDocument).records if value else []
    return next((record for record in records if record.job_id == job_id), None)


@given("a leader at epoch 1")
def leader(run: LeaderRun) -> None:
    run.do(run.scheduler.take_role(Epoch(1)))


@given("a leader at epoch 1 with job j running")
def leader_with_job(run: LeaderRun) -> None:
    leader(run)
    placement = (MemberPlacement(TargetId("w"), (0,)),)
    run.records.add(make_record(run, J, state=JobState.RUNNING, attempt=1, placement=placement))
    run.advance(1)


@given("a leader at epoch 1 with 250 jobs that ended 25 hours ago and 5 that ended now")
def leader_with_old_jobs(run: LeaderRun) -> None:
    leader(run)
    for number in range(255):
        ended_at = run.clock.now() - timedelta(hours=25 if number < 250 else 0)
        record = make_record(run, f"north-{number}", state=JobState.COMPLETED, ended_at=ended_at)
        run.records.add(record)


@given("records in the cells north, north/a and northeast")
def other_cells(run: LeaderRun) -> None:
    for cell in ("north", "north/a", "northeast"):
        data = encode(ShardDocument(Epoch(1), 1, [make_record(run, f"{cell}-job")]))
        run.do(run.store.put(f"jobs/{cell}/3", data, if_version=Version(0)))


@when(parsers.parse("{failure} and job j is submitted"), target_fixture="answer")
def submit_with_failure(run: LeaderRun, failure: str) -> "asyncio.Task[Any]":
    store, records = run.store, run.records
    spec = make_spec()
    if "lost" in failure or "check" in failure:
        store.lose = lambda key: key == KEY
    if "check" in failure:
        store.fail = lambda operation, key: operation == "get" and key == KEY
    if "hangs" in failure:
        run.begin(run.scheduler.submit(OTHER_SHARD, spec))
        store.hold = lambda key: key != KEY
        run.advance(0.1)
    if "known" in failure:
        store.down = True
        run.begin(run.scheduler.submit(OTHER_SHARD, spec))
        run.advance(4)
    if "full" in failure:
        room = MAX_SHARD_BYTES - len(encode(make_record(run, SAME_SHARD))) - 100
        assert records.add(make_record(run, SAME_SHARD, reason="x" * room))
    if "another" in failure:
        run.begin(run.scheduler.submit(J, make_spec(urgent=True)))
        run.advance(1)
    return run.begin(run.scheduler.submit(J, spec))


@when("the record of job j changes before the store answers again")
def change_record(run: LeaderRun) -> None:
    run.advance(0.5)
    assert KEY in run.store.writes
    run.records.records_by_id[J].reason = "changed"
    run.records.mark_changed(J)
    end_failure(run)


@then("the change of job j is stored within 2 seconds")
def check_change(run: LeaderRun) -> None:
    run.advance(2)
    record = stored(run, J)
    assert record is not None
    assert record.reason == "changed"


@when("another entry loads the records at epoch 2")
def load_elsewhere(run: LeaderRun) -> None:
    run.do(JobRecords(run.store, run.clock, CellId("north")).load(Epoch(2)))


@when(
    parsers.parse("the store is {state} and the end of job j is reported"), target_fixture="answer"
)
def report_end(run: LeaderRun, state: str) -> "asyncio.Task[Any]":
    run.store.down = state == "down"
    run.advance(2)
    message = GangEnded(J, 1, GangOutcome.COMPLETED, 60.0)
    answer = run.begin(run.scheduler.take_gang_event(message))
    run.advance(2)
    return answer


@when("the cell north is loaded")
def load(run: LeaderRun) -> None:
    run.do(run.records.load(Epoch(2)))


@when("the records are pruned")
def prune(run: LeaderRun) -> None:
    run.records.prune()


@then(parsers.parse("the answer is {code:w} within {seconds:d} seconds"))
def check_answer(run: LeaderRun, answer: "asyncio.Task[Any]", code: str, seconds: int) -> None:
    run.advance(seconds)
    assert answer.done()
    reply = answer.result()
    assert code == (reply.code if isinstance(reply, Refused) else "accepted")


@then(parsers.parse("after the failure job j is {later:w}"))
def check_later(run: LeaderRun, later: str) -> None:
    end_failure(run)
    run.advance(4)
    record, kept = run.scheduler.find(J), stored(run, J)
    if later == "unknown":
        assert record is None
        assert kept is None
        return
    assert record == kept
    assert kept is not None
    assert kept.spec.urgent == (later == "another")
    reply = run.begin(run.scheduler.submit(J, kept.spec))
    assert reply.result() == kept


def end_failure(run: LeaderRun) -> None:
    run.store.down = False
    run.store.lose, run.store.fail = (lambda _: False), (lambda *_: False)
    run.store.hold = lambda _: False


@then("the leader was not deposed")
def check_not_deposed(run: LeaderRun) -> None:
    assert run.superseded == []


@then("the leader was deposed")
def check_deposed(run: LeaderRun) -> None:
    assert len(run.superseded) == 1


@then("job j is not in the store")
def check_not_stored(run: LeaderRun) -> None:
    assert stored(run, J) is None


@then(parsers.parse("the report is answered by {code:w}"))
def check_report(answer: "asyncio.Task[Any]", code: str) -> None:
    assert answer.result() == (Ok() if code == "ok" else Refused(code))


@then("job j is stored as completed")
def check_completed(run: LeaderRun) -> None:
    record = stored(run, J)
    assert record is not None
    assert record.state is JobState.COMPLETED


@then("only the job of the cell north is known")
def check_cell(run: LeaderRun) -> None:
    assert list(run.records.records_by_id) == ["north-job"]


@then(parsers.parse("{count:d} records are left"))
def check_count(run: LeaderRun, count: int) -> None:
    assert len(run.records.records_by_id) == count
