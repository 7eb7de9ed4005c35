"""Workers' agents in memory, and the scheduler roles that lead them."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any, cast

from tests.scheduler_fakes import FakeStore, ManualClock, settle

from chicorycrank.adapters.peers import PeerLink
from chicorycrank.entry.directory import Directory
from chicorycrank.entry.job_records import JobRecords
from chicorycrank.entry.scheduler import Scheduler
from chicorycrank.model.ids import (
    CellId,
    EntryId,
    Epoch,
    Generation,
    Incarnation,
    JobId,
    RackId,
    RegionId,
    TargetId,
    ZoneId,
)
from chicorycrank.model.jobs import JobRecord
from chicorycrank.model.messages import (
    AnyMessage,
    CancelReservation,
    GangEnded,
    GangOutcome,
    GangStarted,
    Hello,
    LeaderAnnounce,
    Ok,
    Refused,
    Reserve,
    Role,
    StartGang,
    StopGang,
)
from chicorycrank.model.targets import TargetKind, TaskRef, WorkerInfo, WorkerLoad
from chicorycrank.ports.links import LinkError, LinkNotSentError

CELL = CellId("north")
STEP_S = 0.5
LEASE_S = 10.0

Gang = tuple[JobId, int]


class CheckedRecords(JobRecords):
    """Records that check each change."""

    def __init__(self, world: "World") -> None:
        super().__init__(world.store, world.clock, CELL)
        self._world = world
        self._generation_by_job: dict[JobId, Generation] = {}

    async def load(self, epoch: Epoch) -> None:
        """Load the records and note their generations."""
        await super().load(epoch)
        records = self.records_by_id.values()
        self._generation_by_job = {r.job_id: r.generation for r in records}

    def mark_changed(self, job_id: JobId) -> None:
        """Note a change and check that the generation has grown by one."""
        super().mark_changed(job_id)
        record = self.records_by_id.get(job_id)
        if record is not None:
            expected = self._generation_by_job.get(job_id, 0) + 1
            if record.generation != expected:
                self._world.faults.append(f"{job_id} went to {record.generation}, not {expected}")
            self._generation_by_job[job_id] = record.generation


class Agent:
    """The agent of one worker; its gangs start at once and run until the test ends them."""

    def __init__(self, world: "World", worker: str) -> None:
        self.world = world
        self.worker = TargetId(worker)
        self.epoch = Epoch(0)
        self.tasks: dict[tuple[JobId, int, int], TaskRef] = {}
        self.gangs: dict[Gang, StartGang] = {}
        self.reserved_at: dict[Gang, float] = {}
        self.alive = True
        self.lost_at = 0.0
        self.lose_replies = False
        self.ignored: tuple[type, ...] = ()

    def handle(self, message: AnyMessage) -> AnyMessage:
        """Handle a message of a leader."""
        if isinstance(message, self.ignored):
            return Refused("ignored")
        if isinstance(message, LeaderAnnounce | Reserve | CancelReservation | StartGang | StopGang):
            if message.epoch < self.epoch:
                return Refused("stale_epoch")
            self.epoch = message.epoch
        if isinstance(message, Reserve):
            busy = {a for task in self.tasks.values() for a in task.accelerators}
            if busy & set(message.accelerators):
                return Refused("accelerators_in_use")
            task = TaskRef(
                job_id=message.job_id,
                attempt=message.attempt,
                member=message.member,
                accelerators=message.accelerators,
                running=False,
            )
            self.tasks[task.job_id, task.attempt, task.member] = task
            self.reserved_at[task.job_id, task.attempt] = self.world.clock.seconds
        elif isinstance(message, CancelReservation):
            self.world.drop(self, (message.job_id, message.attempt))
        elif isinstance(message, StartGang):
            self.world.start_gang(self, message)
        elif isinstance(message, StopGang):
            gang = (message.job_id, message.attempt)
            if gang not in self.gangs:
                return Refused("no_such_gang")
            self.world.end_gang(gang, GangOutcome.STOPPED)
        return Ok()


class AgentLink:
    """A scheduler's connection to an agent."""

    def __init__(self, agent: Agent, role: "LeaderRole") -> None:
        self.agent, self.role = agent, role
        self.peer = Hello(
            1,
            Role.AGENT,
            agent.worker,
            Incarnation("i"),
            RegionId("north"),
            ZoneId("north-a"),
            "",
            target_kind=TargetKind.WORKER,
            worker=WorkerInfo(rack=RackId("r"), accelerators=8, cores=64, memory_gb=250),
        )

    async def request(self, message: AnyMessage, *, timeout: timedelta) -> AnyMessage:
        """Hand a message to the agent."""
        if self.role.cut or not self.agent.alive:
            raise LinkNotSentError("closed")
        reply = self.agent.handle(message)
        if self.agent.lose_replies:
            raise LinkError("no reply")
        return reply


class LeaderRole:
    """An entry's scheduler role with its own connections."""

    def __init__(self, world: "World", name: str) -> None:
        self.directory = Directory()
        self.records = CheckedRecords(world)
        self.superseded: list[str] = []
        self.cut = False
        self.scheduler = Scheduler(
            cell=CELL,
            region=RegionId("north"),
            entry=EntryId(name),
            directory=self.directory,
            records=self.records,
            clock=world.clock,
            jitter=lambda: 0.5,
        )
        self.scheduler.on_superseded = self.superseded.append


class World:
    """One cell: a store, agents, and the roles that have led it; the last one leads."""

    def __init__(self, workers: int) -> None:
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.faults: list[str] = []
        self.agents = {f"w{n}": Agent(self, f"w{n}") for n in range(workers)}
        self.events: dict[Gang, GangStarted | GangEnded] = {}
        self.starts: list[Gang] = []
        self.epoch = Epoch(0)
        self.roles: list[LeaderRole] = []
        self.hidden: set[str] = set()
        self.silent: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def leader(self) -> LeaderRole:
        """The role that leads now."""
        return self.roles[-1]

    async def elect(self, *, connected: bool = True) -> None:
        """Let a new entry take the role; the previous leader is not told."""
        self.epoch = Epoch(self.epoch + 1)
        role = LeaderRole(self, f"entry{self.epoch}")
        self.roles.append(role)
        if connected:
            self.connect()
        await role.scheduler.take_role(self.epoch)

    async def kill_leader(self) -> None:
        """End the leader without a last write."""
        down, self.store.down = self.store.down, True
        self.leader.cut = True
        await self.leader.scheduler.drop_role()
        self.store.down = down

    def connect(self) -> None:
        """Connect all living agents to the leader."""
        for name, agent in self.agents.items():
            known = agent.worker in self.leader.directory.targets_by_id
            if agent.alive and not known and name not in self.hidden:
                link = cast(PeerLink, AgentLink(agent, self.leader))
                target = self.leader.directory.add_target(link)
                if self.leader.scheduler.is_leader:
                    work = self.leader.scheduler.add_worker(target)
                    self._tasks.append(asyncio.ensure_future(work))

    def lose_worker(self, name: str) -> None:
        """End a worker's agent; its tasks end by their leases."""
        agent = self.agents[name]
        agent.alive, agent.lost_at = False, self.clock.seconds
        target = self.leader.directory.targets_by_id.pop(agent.worker, None)
        if target is not None:
            self.leader.scheduler.remove_worker(target)

    def start_gang(self, head: Agent, message: StartGang) -> None:
        """Run a reserved gang under its head."""
        gang = (message.job_id, message.attempt)
        running = {g for agent in self.agents.values() for g in agent.gangs}
        if any(job_id == gang[0] for job_id, _ in running):
            self.faults.append(f"{gang} started while {running} run")
        head.gangs[gang] = message
        self.starts.append(gang)
        self.events[gang] = GangStarted(*gang)
        for agent in self.agents.values():
            for key, task in list(agent.tasks.items()):
                if key[:2] == gang:
                    agent.tasks[key] = TaskRef(
                        job_id=task.job_id,
                        attempt=task.attempt,
                        member=task.member,
                        accelerators=task.accelerators,
                        running=True,
                        head=agent is head,
                    )

    def end_gang(self, gang: Gang, outcome: GangOutcome, *, report: bool = True) -> None:
        """End a gang at all its members."""
        for agent in self.agents.values():
            agent.gangs.pop(gang, None)
            self.drop(agent, gang)
        if report:
            self.events[gang] = GangEnded(*gang, outcome, 1.0, outcome.value)
        else:
            self.events.pop(gang, None)

    def drop(self, agent: Agent, gang: Gang) -> None:
        """Free the accelerators of a gang's members."""
        if gang not in agent.gangs:
            agent.tasks = {key: task for key, task in agent.tasks.items() if key[:2] != gang}

    async def advance(self, seconds: float, *, each: Callable[[], None] = lambda: None) -> None:
        """Move time on; the agents report every step and repeat events until acknowledged."""
        for _ in range(round(seconds / STEP_S)):
            self._expire()
            self.connect()
            self.report()
            each()
            await self._deliver()
            await self.clock.advance(STEP_S)

    def report(self) -> None:
        """Send the reports of all connected agents to the leader."""
        for target in list(self.leader.directory.workers()):
            agent = self.agents[target.target_id]
            if target.target_id in self.silent:
                continue
            target.worker_load = WorkerLoad(tasks=tuple(agent.tasks.values()))
            target.has_reported = True
            self.leader.scheduler.take_report(target)

    async def _deliver(self) -> None:
        for gang, event in list(self.events.items()):
            task = asyncio.ensure_future(self.leader.scheduler.take_gang_event(event))
            await settle()
            if task.done() and isinstance(task.result(), Ok) and self.events.get(gang) is event:
                del self.events[gang]

    def _expire(self) -> None:
        """End gangs with a member on a worker that is lost, and old reservations."""
        now = self.clock.seconds
        for agent in self.agents.values():
            for gang, at in list(agent.reserved_at.items()):
                is_running = any(gang in other.gangs for other in self.agents.values())
                if not is_running and now - at >= LEASE_S:
                    del agent.reserved_at[gang]
                    self.drop(agent, gang)
            if not agent.alive and now - agent.lost_at >= LEASE_S:
                for gang in {key[:2] for key in agent.tasks}:
                    self.end_gang(gang, GangOutcome.LOST, report=gang not in agent.gangs)

    def record(self, job_id: str) -> JobRecord:
        """Return the leader's record of a job."""
        record = self.leader.scheduler.find(JobId(job_id))
        assert record is not None
        return record

    def running(self) -> set[Gang]:
        """Return the gangs that run now."""
        return {gang for agent in self.agents.values() for gang in agent.gangs}


async def ask(world: World, work: Any) -> Any:
    """Return the reply to a call that may need time to pass."""
    task = asyncio.ensure_future(work)
    for _ in range(10):
        if task.done():
            break
        await world.advance(STEP_S)
    return await task
