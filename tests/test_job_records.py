"""Job records and submissions during failures of the store."""

import asyncio
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.scheduler_fakes import LeaderHarness, make_spec

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

JOB_ID = JobId("north-j")
JOB_ID_IN_SAME_SHARD = next(
    JobId(f"north-k{n}")
    for n in range(10_000)
    if shard_number(JobId(f"north-k{n}")) == shard_number(JOB_ID)
)
JOB_ID_IN_OTHER_SHARD = JobId("north-other")
SHARD_KEY = f"jobs/north/{shard_number(JOB_ID)}"


@pytest.fixture
def harness() -> Iterator[LeaderHarness]:
    harness = LeaderHarness()
    yield harness
    harness.close()


def make_record(harness: LeaderHarness, job_id: str, **fields: Any) -> JobRecord:
    now = harness.clock.now()
    values: dict[str, Any] = {"state": JobState.QUEUED, "submitted_at": now} | fields
    return JobRecord(
        job_id=JobId(job_id), spec=make_spec(), generation=Generation(1), epoch=Epoch(1), **values
    )


def read_stored_record(harness: LeaderHarness, job_id: JobId) -> JobRecord | None:
    """Return a job's record as it is in the store."""
    value = harness.store.value_by_key.get(f"jobs/north/{shard_number(job_id)}", (b"", 0))[0]
    records = decode(value, ShardDocument).records if value else []
    return next((record for record in records if record.job_id == job_id), None)


@given("a leader at epoch 1")
def leader(harness: LeaderHarness) -> None:
    harness.run_now(harness.scheduler.acquire_role(Epoch(1)))


@given("a leader at epoch 1 with job j running")
def leader_with_job(harness: LeaderHarness) -> None:
    leader(harness)
    placement = (MemberPlacement(TargetId("w"), (0,)),)
    harness.records.add(
        make_record(harness, JOB_ID, state=JobState.RUNNING, attempt=1, placement=placement)
    )
    harness.advance(1)


@given("a leader at epoch 1 with 250 jobs that ended 25 hours ago and 5 that ended now")
def leader_with_old_jobs(harness: LeaderHarness) -> None:
    leader(harness)
    for number in range(255):
        ended_at = harness.clock.now() - timedelta(hours=25 if number < 250 else 0)
        record = make_record(
            harness, f"north-{number}", state=JobState.COMPLETED, ended_at=ended_at
        )
        harness.records.add(record)


@given("records in the cells north, north/a and northeast")
def other_cells(harness: LeaderHarness) -> None:
    for cell in ("north", "north/a", "northeast"):
        data = encode(ShardDocument(Epoch(1), 1, [make_record(harness, f"{cell}-job")]))
        harness.run_now(harness.store.put(f"jobs/{cell}/3", data, if_version=Version(0)))


@when(parsers.parse("{failure} and job j is submitted"), target_fixture="answer")
def submit_with_failure(harness: LeaderHarness, failure: str) -> "asyncio.Task[Any]":
    store, records = harness.store, harness.records
    spec = make_spec()
    if "lost" in failure or "check" in failure:
        store.loses_reply = lambda key: key == SHARD_KEY
    if "check" in failure:
        store.fails_call = lambda operation, key: operation == "get" and key == SHARD_KEY
    if "hangs" in failure:
        harness.start_task(harness.scheduler.submit(JOB_ID_IN_OTHER_SHARD, spec))
        store.blocks_write = lambda key: key != SHARD_KEY
        harness.advance(0.1)
    if "known" in failure:
        store.is_down = True
        harness.start_task(harness.scheduler.submit(JOB_ID_IN_OTHER_SHARD, spec))
        harness.advance(4)
    if "full" in failure:
        free_bytes = MAX_SHARD_BYTES - len(encode(make_record(harness, JOB_ID_IN_SAME_SHARD))) - 100
        assert records.add(make_record(harness, JOB_ID_IN_SAME_SHARD, reason="x" * free_bytes))
    if "another" in failure:
        harness.start_task(harness.scheduler.submit(JOB_ID, make_spec(urgent=True)))
        harness.advance(1)
    return harness.start_task(harness.scheduler.submit(JOB_ID, spec))


@when("the record of job j changes before the store answers again")
def change_record(harness: LeaderHarness) -> None:
    harness.advance(0.5)
    assert SHARD_KEY in harness.store.writes
    harness.records.records_by_id[JOB_ID].reason = "changed"
    harness.records.mark_changed(JOB_ID)
    end_failure(harness)


@then("the change of job j is stored within 2 seconds")
def check_change(harness: LeaderHarness) -> None:
    harness.advance(2)
    record = read_stored_record(harness, JOB_ID)
    assert record is not None
    assert record.reason == "changed"


@when("another entry loads the records at epoch 2")
def load_in_other_entry(harness: LeaderHarness) -> None:
    harness.run_now(JobRecords(harness.store, harness.clock, CellId("north")).load(Epoch(2)))


@when(
    parsers.parse("the store is {state} and the end of job j is reported"), target_fixture="answer"
)
def report_end(harness: LeaderHarness, state: str) -> "asyncio.Task[Any]":
    harness.store.is_down = state == "down"
    harness.advance(2)
    message = GangEnded(JOB_ID, 1, GangOutcome.COMPLETED, 60.0)
    answer = harness.start_task(harness.scheduler.handle_gang_event(message))
    harness.advance(2)
    return answer


@when("the cell north is loaded")
def load_records(harness: LeaderHarness) -> None:
    harness.run_now(harness.records.load(Epoch(2)))


@when("the records are pruned")
def prune_records(harness: LeaderHarness) -> None:
    harness.records.prune()


@then(parsers.parse("the answer is {code:w} within {seconds:d} seconds"))
def check_answer(
    harness: LeaderHarness, answer: "asyncio.Task[Any]", code: str, seconds: int
) -> None:
    harness.advance(seconds)
    assert answer.done()
    reply = answer.result()
    assert code == (reply.code if isinstance(reply, Refused) else "accepted")


@then(parsers.parse("after the failure job j is {later:w}"))
def check_later(harness: LeaderHarness, later: str) -> None:
    end_failure(harness)
    harness.advance(4)
    record, stored_record = harness.scheduler.find_job(JOB_ID), read_stored_record(harness, JOB_ID)
    if later == "unknown":
        assert record is None
        assert stored_record is None
        return
    assert record == stored_record
    assert stored_record is not None
    assert stored_record.spec.urgent == (later == "another")
    reply = harness.start_task(harness.scheduler.submit(JOB_ID, stored_record.spec))
    assert reply.result() == stored_record


def end_failure(harness: LeaderHarness) -> None:
    """End all failures of the store."""
    harness.store.is_down = False
    harness.store.loses_reply, harness.store.fails_call = (lambda _: False), (lambda *_: False)
    harness.store.blocks_write = lambda _: False


@then("the leader was not deposed")
def check_not_deposed(harness: LeaderHarness) -> None:
    assert harness.superseded == []


@then("the leader was deposed")
def check_deposed(harness: LeaderHarness) -> None:
    assert len(harness.superseded) == 1


@then("job j is not in the store")
def check_not_stored(harness: LeaderHarness) -> None:
    assert read_stored_record(harness, JOB_ID) is None


@then(parsers.parse("the report is answered by {code:w}"))
def check_report(answer: "asyncio.Task[Any]", code: str) -> None:
    assert answer.result() == (Ok() if code == "ok" else Refused(code))


@then("job j is stored as completed")
def check_completed(harness: LeaderHarness) -> None:
    record = read_stored_record(harness, JOB_ID)
    assert record is not None
    assert record.state is JobState.COMPLETED


@then("only the job of the cell north is known")
def check_cell(harness: LeaderHarness) -> None:
    assert list(harness.records.records_by_id) == ["north-job"]


@then(parsers.parse("{count:d} records are left"))
def check_count(harness: LeaderHarness, count: int) -> None:
    assert len(harness.records.records_by_id) == count
