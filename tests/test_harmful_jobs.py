"""Jobs whose starts are followed by the loss of one worker after the other."""

import asyncio

import pytest
from tests.scheduler_fakes import make_spec
from tests.scheduler_world import FakeCell, wait_for_reply

from chicorycrank.entry.transitions import LOST_START_WINDOW, MAX_LOST_WORKERS
from chicorycrank.model.ids import JobId
from chicorycrank.model.jobs import JobState

JOB_ID = JobId("north-j")
DETECTION_S = 40.0  # covers the loss of the gang, the fencing of its tasks and the next start
LONG_RUN_S = LOST_START_WINDOW.total_seconds() + 5.0
ROUNDS = MAX_LOST_WORKERS + 2


async def _lose_workers(run_s: float) -> tuple[FakeCell, int]:
    """Run a job and lose each of its workers some time after the start; count the losses."""
    cell = FakeCell(ROUNDS + 1)
    await cell.elect()
    await wait_for_reply(cell, cell.leader.scheduler.submit(JOB_ID, make_spec()))
    losses = 0
    for _ in range(ROUNDS):
        await cell.advance(3.0 + run_s)
        record = cell.record(JOB_ID)
        if record.state is JobState.RUNNING:
            losses += 1
            cell.lose_worker(record.placement[0].worker)
        await cell.advance(DETECTION_S)
    return cell, losses


@pytest.mark.parametrize(
    ("run_s", "state", "losses"),
    [(0.0, JobState.FAILED, MAX_LOST_WORKERS), (LONG_RUN_S, JobState.RUNNING, ROUNDS)],
    ids=["soon after the start", "after a longer run"],
)
def test_a_job_that_loses_its_workers_soon_after_its_starts_is_given_up(
    run_s: float, state: JobState, losses: int
) -> None:
    """Guards against a job that takes one worker after the other down."""

    async def scenario() -> None:
        cell, lost = await _lose_workers(run_s)
        record = cell.record(JOB_ID)
        assert (record.state, lost) == (state, losses)
        if state is JobState.FAILED:
            assert record.reason.startswith("its starts were followed by the loss of w")

    asyncio.run(scenario())
