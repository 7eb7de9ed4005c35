"""Random sessions of jobs, leader changes, lost replies and lost workers.

Guards against a job that is lost, that runs twice at once, that leaves a final state, or whose
generation jumps, under any order of failures.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.scheduler_fakes import make_spec
from tests.scheduler_world import World, ask

from chicorycrank.adapters.codec import decode
from chicorycrank.entry.job_records import ShardDocument, shard_number
from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.model.jobs import FINAL_STATES, JobRecord, JobState
from chicorycrank.model.messages import GangEnded, GangOutcome, GangStarted

WORKERS = 5
JOBS = 4
# Covers the lease of lost tasks, the wait for lost gangs, the longest delay and 8 attempts.
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
    """A world and what its callers know.

    :ivar accepted: jobs whose submission was answered with a record
    :ivar stored_by_id: records as the store holds them
    """

    world: World
    accepted: set[JobId] = field(default_factory=set)
    stored_by_id: dict[JobId, JobRecord] = field(default_factory=dict)

    async def run(self, kind: str, *args: Any) -> None:
        """Take one step."""
        await getattr(self, kind)(*args)
        await self.world.advance(0.5)
        self.check()

    async def submit(self, job: int) -> None:
        """Submit a job; a repetition names the same specification."""
        job_id = JobId(f"north-{job}")
        spec = make_spec(members=1 + job % 3)
        reply = await ask(self.world, self.world.leader.scheduler.submit(job_id, spec))
        if isinstance(reply, JobRecord):
            self.accepted.add(job_id)

    async def cancel(self, job: int) -> None:
        """Cancel a job."""
        await ask(self.world, self.world.leader.scheduler.cancel(JobId(f"north-{job}")))

    async def elect(self, kind: str) -> None:
        """Replace the leader; one that is not killed goes on without being told."""
        if kind != "replace":
            await self.world.kill_leader()
        await self.store("up")  # the store elects leaders
        await self.world.elect(connected=kind != "restart")

    async def lose_replies(self, worker: int) -> None:
        """Lose the replies of an agent, or no longer."""
        agent = self.world.agents[f"w{worker}"]
        agent.lose_replies = not agent.lose_replies

    async def lose_worker(self, worker: int) -> None:
        """End a worker's agent, or let it return once its tasks have ended."""
        agent = self.world.agents[f"w{worker}"]
        if agent.alive:
            self.world.lose_worker(agent.worker)
        elif not agent.tasks:
            agent.alive = True

    async def store(self, fault: str) -> None:
        """Change what the store does."""
        self.world.store.down = fault == "down"
        self.world.store.lose = lambda key: fault == "lossy" and "jobs/" in key

    async def end(self, outcome: GangOutcome, number: int) -> None:
        """End one of the running gangs."""
        running = sorted(self.world.running())
        if running:
            gang = running[number % len(running)]
            self.world.end_gang(gang, outcome)
            if outcome is GangOutcome.FAILED:
                blamed = TargetId(f"w{number % WORKERS}")
                self.world.events[gang] = GangEnded(*gang, outcome, 1.0, "failed", blamed)

    async def end_unseen(self, outcome: GangOutcome, number: int) -> None:
        """End a gang while the store is down; the leader that was told dies before it is back."""
        await self.store("down")
        await self.end(outcome, number)
        await self.world.advance(2)
        await self.elect("kill")

    async def repeat_start(self, number: int) -> None:
        """Send the start of a running gang again, as a restarted head does."""
        running = sorted(self.world.running())
        if running:
            job_id, attempt = running[number % len(running)]
            record = self.world.leader.scheduler.find(job_id)
            if record is not None and record.state is JobState.RUNNING:
                generation = record.generation
                await self.world.leader.scheduler.take_gang_event(GangStarted(job_id, attempt))
                assert record.generation == generation, "a repeated start changed the record"

    async def wait(self, seconds: float) -> None:
        """Let time pass."""
        await self.world.advance(seconds)

    async def finish(self) -> None:
        """End all failures and complete every gang until all jobs have ended."""
        await self.store("up")
        for agent in self.world.agents.values():
            agent.lose_replies = False
        await self.world.advance(15)
        for agent in self.world.agents.values():
            agent.alive = True
        left = DRAIN_S
        while left > 0 and not self.is_finished():
            for gang in self.world.running():
                self.world.end_gang(gang, GangOutcome.COMPLETED)
            await self.world.advance(2)
            left -= 2
            self.check()

    def is_finished(self) -> bool:
        """Return whether all accepted jobs have ended."""
        records = self.world.leader.records.records_by_id
        return all(j in records and records[j].state in FINAL_STATES for j in self.accepted)

    def check(self) -> None:
        """Check the promises that hold after each step."""
        assert self.world.faults == []
        assert self.accepted <= self.stored_by_id.keys(), "an accepted job is lost"

    def note_written(self, key: str, value: bytes) -> None:
        """Check a write to a shard against what the shard held."""
        if not key.startswith("jobs/"):
            return
        records = {record.job_id: record for record in decode(value, ShardDocument).records}
        for job_id, old in self.stored_by_id.items():
            if f"jobs/north/{shard_number(job_id)}" != key:
                continue
            new = records.get(job_id)
            if new is None:
                self.world.faults.append(f"{job_id} vanished")
            elif new.generation < old.generation:
                self.world.faults.append(f"{job_id} fell to generation {new.generation}")
            elif old.state in FINAL_STATES and new.generation != old.generation:
                self.world.faults.append(f"{job_id} left {old.state}")
        self.stored_by_id.update(records)


async def play(script: list[tuple[Any, ...]]) -> None:
    world = World(WORKERS)
    await world.elect()
    session = Session(world=world)
    world.store.on_write = session.note_written
    for job in range(JOBS - 1):
        await session.run("submit", job)
    for step in script:
        await session.run(*step)
    await session.finish()
    assert session.is_finished(), world.leader.records.records_by_id
    assert len(world.starts) == len(set(world.starts)), world.starts


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
