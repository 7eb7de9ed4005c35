"""Random sequences of submissions, cancellations, leader changes and failures.

Guards against a job that is lost, that runs twice at a time, that leaves a final state, or whose
generation does not increase by one.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.scheduler_fakes import make_spec
from tests.scheduler_world import FakeCell, wait_for_reply

from chicorycrank.adapters.codec import decode
from chicorycrank.entry.job_records import ShardDocument, shard_number
from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.model.jobs import FINAL_STATES, JobRecord, JobState
from chicorycrank.model.messages import GangEnded, GangOutcome, GangStarted

WORKERS = 5
JOBS = 4
# Covers the lease of lost tasks, the wait for lost gangs, the longest backoff and 8 attempts.
DRAIN_S = 400.0

jobs = st.integers(0, JOBS - 1)
workers = st.integers(0, WORKERS - 1)
steps = st.one_of(
    st.tuples(st.just("submit"), jobs),
    st.tuples(st.just("cancel"), jobs),
    st.tuples(st.just("elect"), st.sampled_from(["kill", "replace", "restart"])),
    st.tuples(st.just("lose_replies"), workers),
    st.tuples(st.just("lose_worker"), workers),
    st.tuples(st.just("store"), st.sampled_from(["down", "lossy", "up"])),
    st.tuples(st.just("end"), st.sampled_from(list(GangOutcome)), st.integers(0, 9)),
    st.tuples(st.just("repeat_start"), st.integers(0, 9)),
    st.tuples(st.just("end_unseen"), st.sampled_from(list(GangOutcome)), st.integers(0, 9)),
    st.tuples(st.just("wait"), st.sampled_from([0.5, 2.0, 12.0])),
)


@dataclass(kw_only=True)
class Session:
    """Cell in memory, and the state against which it is checked.

    :ivar accepted: jobs whose submission was answered with a record
    :ivar stored_by_id: records that are in the store
    """

    cell: FakeCell
    accepted: set[JobId] = field(default_factory=set)
    stored_by_id: dict[JobId, JobRecord] = field(default_factory=dict)

    async def run(self, kind: str, *args: Any) -> None:
        """Run one step and check the invariants."""
        await getattr(self, kind)(*args)
        await self.cell.advance(0.5)
        self.check()

    async def submit(self, job: int) -> None:
        """Submit a job; a repeated submission has the same specification."""
        job_id = JobId(f"north-{job}")
        spec = make_spec(members=1 + job % 3)
        reply = await wait_for_reply(self.cell, self.cell.leader.scheduler.submit(job_id, spec))
        if isinstance(reply, JobRecord):
            self.accepted.add(job_id)

    async def cancel(self, job: int) -> None:
        """Cancel a job."""
        await wait_for_reply(self.cell, self.cell.leader.scheduler.cancel(JobId(f"north-{job}")))

    async def elect(self, kind: str) -> None:
        """Replace the leader; an old leader that is not killed continues without notice."""
        if kind != "replace":
            await self.cell.kill_leader()
        await self.store("up")  # the store elects leaders
        await self.cell.elect(connected=kind != "restart")

    async def lose_replies(self, worker: int) -> None:
        """Start or stop losing the replies of an agent."""
        agent = self.cell.agents[f"w{worker}"]
        agent.loses_replies = not agent.loses_replies

    async def lose_worker(self, worker: int) -> None:
        """End a worker's agent, or start it again once its tasks have ended."""
        agent = self.cell.agents[f"w{worker}"]
        if agent.is_alive:
            self.cell.lose_worker(agent.worker)
        elif not agent.tasks:
            agent.is_alive = True

    async def store(self, fault: str) -> None:
        """Set the failure of the store."""
        self.cell.store.is_down = fault == "down"
        self.cell.store.loses_reply = lambda key: fault == "lossy" and "jobs/" in key

    async def end(self, outcome: GangOutcome, number: int) -> None:
        """End one of the running gangs."""
        running = sorted(self.cell.running())
        if running:
            gang = running[number % len(running)]
            self.cell.end_gang(gang, outcome)
            if outcome is GangOutcome.FAILED:
                blamed = TargetId(f"w{number % WORKERS}")
                self.cell.events[gang] = GangEnded(*gang, outcome, 1.0, "failed", blamed)

    async def end_unseen(self, outcome: GangOutcome, number: int) -> None:
        """End a gang while the store is down, and kill the leader before the store is back.

        The leader that received the end cannot record it.
        """
        await self.store("down")
        await self.end(outcome, number)
        await self.cell.advance(2)
        await self.elect("kill")

    async def repeat_start(self, number: int) -> None:
        """Repeat the start event of a running gang, as a restarted head does."""
        running = sorted(self.cell.running())
        if running:
            job_id, attempt = running[number % len(running)]
            record = self.cell.leader.scheduler.find_job(job_id)
            if record is not None and record.state is JobState.RUNNING:
                generation = record.generation
                await self.cell.leader.scheduler.handle_gang_event(GangStarted(job_id, attempt))
                assert record.generation == generation, "a repeated start changed the record"

    async def wait(self, seconds: float) -> None:
        """Advance the time."""
        await self.cell.advance(seconds)

    async def finish(self) -> None:
        """End all failures and complete every gang until all jobs have ended."""
        await self.store("up")
        for agent in self.cell.agents.values():
            agent.loses_replies = False
        await self.cell.advance(15)
        for agent in self.cell.agents.values():
            agent.is_alive = True
        remaining_s = DRAIN_S
        while remaining_s > 0 and not self.is_finished():
            for gang in self.cell.running():
                self.cell.end_gang(gang, GangOutcome.COMPLETED)
            await self.cell.advance(2)
            remaining_s -= 2
            self.check()

    def is_finished(self) -> bool:
        """Return whether all accepted jobs have ended."""
        records = self.cell.leader.records.records_by_id
        return all(j in records and records[j].state in FINAL_STATES for j in self.accepted)

    def check(self) -> None:
        """Check the invariants that hold after each step."""
        assert self.cell.violations == []
        assert self.accepted <= self.stored_by_id.keys(), "an accepted job is lost"

    def check_written(self, key: str, value: bytes) -> None:
        """Check a write to a shard against its previous content."""
        if not key.startswith("jobs/"):
            return
        records = {record.job_id: record for record in decode(value, ShardDocument).records}
        for job_id, old in self.stored_by_id.items():
            if f"jobs/north/{shard_number(job_id)}" != key:
                continue
            new = records.get(job_id)
            if new is None:
                self.cell.violations.append(f"{job_id} is missing from its shard")
            elif new.generation < old.generation:
                self.cell.violations.append(f"{job_id} went back to generation {new.generation}")
            elif old.state in FINAL_STATES and new.generation != old.generation:
                self.cell.violations.append(f"{job_id} changed after its final state {old.state}")
        self.stored_by_id.update(records)


async def play(script: list[tuple[Any, ...]]) -> None:
    cell = FakeCell(WORKERS)
    await cell.elect()
    session = Session(cell=cell)
    cell.store.on_write = session.check_written
    for job in range(JOBS - 1):
        await session.run("submit", job)
    for step in script:
        await session.run(*step)
    await session.finish()
    assert session.is_finished(), cell.leader.records.records_by_id
    assert len(cell.starts) == len(set(cell.starts)), cell.starts


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(steps, min_size=3, max_size=25))
def test_jobs_end_once(script: list[tuple[Any, ...]]) -> None:
    loop = asyncio.new_event_loop()
    try:
        loop.run_until_complete(play(script))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
