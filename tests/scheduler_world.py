"""Cell in memory: a store, the agents of workers, and the schedulers that lead the cell."""

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
from chicorycrank.ports.links import LinkError, MessageNotSentError

CELL = CellId("north")
STEP_S = 0.5
LEASE_S = 10.0

Gang = tuple[JobId, int]


class CheckedRecords(JobRecords):
    """Job records that check that each change increments the generation by one."""

    def __init__(self, cell: "FakeCell") -> None:
        super().__init__(cell.store, cell.clock, CELL)
        self._cell = cell
        self._generation_by_job: dict[JobId, Generation] = {}

    async def load(self, epoch: Epoch) -> None:
        """Load the records and store their generations."""
        await super().load(epoch)
        records = self.records_by_id.values()
        self._generation_by_job = {r.job_id: r.generation for r in records}

    def mark_changed(self, job_id: JobId) -> None:
        """Record a change and check that the generation has increased by one."""
        super().mark_changed(job_id)
        record = self.records_by_id.get(job_id)
        if record is not None:
            expected = self._generation_by_job.get(job_id, 0) + 1
            if record.generation != expected:
                self._cell.violations.append(
                    f"{job_id} changed to generation {record.generation}, expected {expected}"
                )
            self._generation_by_job[job_id] = record.generation


class FakeAgent:
    """Fake agent of one worker; its gangs start at once and run until the test ends them.

    :ivar refused_types: types of messages that the agent refuses
    :ivar loses_replies: whether the agent handles messages but its replies are lost
    """

    def __init__(self, cell: "FakeCell", worker: str) -> None:
        self.cell = cell
        self.worker = TargetId(worker)
        self.epoch = Epoch(0)
        self.tasks: dict[tuple[JobId, int, int], TaskRef] = {}
        self.gangs: dict[Gang, StartGang] = {}
        self.reserved_at: dict[Gang, float] = {}
        self.is_alive = True
        self.lost_at = 0.0
        self.loses_replies = False
        self.refused_types: tuple[type, ...] = ()

    def handle(self, message: AnyMessage) -> AnyMessage:
        """Handle a message of a leader."""
        if isinstance(message, self.refused_types):
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
            self.reserved_at[task.job_id, task.attempt] = self.cell.clock.seconds
        elif isinstance(message, CancelReservation):
            self.cell.release_member(self, (message.job_id, message.attempt))
        elif isinstance(message, StartGang):
            self.cell.start_gang(self, message)
        elif isinstance(message, StopGang):
            gang = (message.job_id, message.attempt)
            if gang not in self.gangs:
                return Refused("no_such_gang")
            self.cell.end_gang(gang, GangOutcome.STOPPED)
        return Ok()


class FakeAgentLink:
    """Connection of a scheduler to an agent."""

    def __init__(self, agent: FakeAgent, role: "LeaderRole") -> None:
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
        """Let the agent handle a message and return its reply."""
        if self.role.is_disconnected or not self.agent.is_alive:
            raise MessageNotSentError("closed")
        reply = self.agent.handle(message)
        if self.agent.loses_replies:
            raise LinkError("no reply")
        return reply


class LeaderRole:
    """Scheduler role of one entry with its own connections."""

    def __init__(self, cell: "FakeCell", name: str) -> None:
        self.directory = Directory()
        self.records = CheckedRecords(cell)
        self.superseded: list[str] = []
        self.is_disconnected = False
        self.scheduler = Scheduler(
            cell=CELL,
            region=RegionId("north"),
            entry=EntryId(name),
            directory=self.directory,
            records=self.records,
            clock=cell.clock,
            jitter=lambda: 0.5,
        )
        self.scheduler.on_superseded = self.superseded.append


class FakeCell:
    """One cell: a store, agents, and the roles that have led it; the last role is the leader.

    :ivar violations: broken invariants found so far
    :ivar events: last event of each gang that no leader has acknowledged
    :ivar starts: gangs in the order of their starts
    :ivar unconnected: names of agents that do not connect to the leader
    :ivar agents_without_reports: names of agents that are connected but send no reports
    """

    def __init__(self, workers: int) -> None:
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.violations: list[str] = []
        self.agents = {f"w{n}": FakeAgent(self, f"w{n}") for n in range(workers)}
        self.events: dict[Gang, GangStarted | GangEnded] = {}
        self.starts: list[Gang] = []
        self.epoch = Epoch(0)
        self.roles: list[LeaderRole] = []
        self.unconnected: set[str] = set()
        self.agents_without_reports: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def leader(self) -> LeaderRole:
        """Role that is the leader now."""
        return self.roles[-1]

    async def elect(self, *, connected: bool = True) -> None:
        """Let a new entry acquire the role; the previous leader is not notified."""
        self.epoch = Epoch(self.epoch + 1)
        role = LeaderRole(self, f"entry{self.epoch}")
        self.roles.append(role)
        if connected:
            self.connect()
        await role.scheduler.acquire_role(self.epoch)

    async def kill_leader(self) -> None:
        """End the leader without its final write to the store."""
        was_down, self.store.is_down = self.store.is_down, True
        self.leader.is_disconnected = True
        await self.leader.scheduler.release_role()
        self.store.is_down = was_down

    def connect(self) -> None:
        """Connect all running agents to the leader."""
        for name, agent in self.agents.items():
            known = agent.worker in self.leader.directory.targets_by_id
            if agent.is_alive and not known and name not in self.unconnected:
                link = cast(PeerLink, FakeAgentLink(agent, self.leader))
                target = self.leader.directory.add_target(link)
                if self.leader.scheduler.is_leader:
                    announcement = self.leader.scheduler.add_worker(target)
                    self._tasks.append(asyncio.ensure_future(announcement))

    def lose_worker(self, name: str) -> None:
        """End a worker's agent; its tasks end when their leases expire."""
        agent = self.agents[name]
        agent.is_alive, agent.lost_at = False, self.clock.seconds
        target = self.leader.directory.targets_by_id.pop(agent.worker, None)
        if target is not None:
            self.leader.scheduler.remove_worker(target)

    def start_gang(self, head: FakeAgent, message: StartGang) -> None:
        """Run a reserved gang under its head."""
        gang = (message.job_id, message.attempt)
        running = {g for agent in self.agents.values() for g in agent.gangs}
        if any(job_id == gang[0] for job_id, _ in running):
            self.violations.append(f"{gang} started while {running} were running")
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
        """End a gang on all its members.

        :param report: whether the head reports the end to the leader
        """
        for agent in self.agents.values():
            agent.gangs.pop(gang, None)
            self.release_member(agent, gang)
        if report:
            self.events[gang] = GangEnded(*gang, outcome, 1.0, outcome.value)
        else:
            self.events.pop(gang, None)

    def release_member(self, agent: FakeAgent, gang: Gang) -> None:
        """Release a gang's accelerators on a worker, unless its agent heads the running gang."""
        if gang not in agent.gangs:
            agent.tasks = {key: task for key, task in agent.tasks.items() if key[:2] != gang}

    async def advance(self, seconds: float, *, each: Callable[[], None] = lambda: None) -> None:
        """Advance the time; agents report at each step and repeat events until acknowledged.

        :param each: called at each step
        """
        for _ in range(round(seconds / STEP_S)):
            self._expire_leases()
            self.connect()
            self.report()
            each()
            await self._deliver_events()
            await self.clock.advance(STEP_S)

    def report(self) -> None:
        """Send the reports of all connected agents to the leader."""
        for target in list(self.leader.directory.workers()):
            agent = self.agents[target.target_id]
            if target.target_id in self.agents_without_reports:
                continue
            target.worker_load = WorkerLoad(tasks=tuple(agent.tasks.values()))
            target.has_reported = True
            self.leader.scheduler.handle_report(target)

    async def _deliver_events(self) -> None:
        for gang, event in list(self.events.items()):
            task = asyncio.ensure_future(self.leader.scheduler.handle_gang_event(event))
            await settle()
            if task.done() and isinstance(task.result(), Ok) and self.events.get(gang) is event:
                del self.events[gang]

    def _expire_leases(self) -> None:
        """End expired reservations, and gangs with a member on a lost worker."""
        now = self.clock.seconds
        for agent in self.agents.values():
            for gang, at in list(agent.reserved_at.items()):
                is_running = any(gang in other.gangs for other in self.agents.values())
                if not is_running and now - at >= LEASE_S:
                    del agent.reserved_at[gang]
                    self.release_member(agent, gang)
            if not agent.is_alive and now - agent.lost_at >= LEASE_S:
                for gang in {key[:2] for key in agent.tasks}:
                    self.end_gang(gang, GangOutcome.LOST, report=gang not in agent.gangs)

    def record(self, job_id: str) -> JobRecord:
        """Return the leader's record of a job."""
        record = self.leader.scheduler.find_job(JobId(job_id))
        assert record is not None
        return record

    def running(self) -> set[Gang]:
        """Return the running gangs."""
        return {gang for agent in self.agents.values() for gang in agent.gangs}


async def wait_for_reply(cell: FakeCell, call: Any) -> Any:
    """Return the reply to a call, advancing the time until the call ends."""
    task = asyncio.ensure_future(call)
    for _ in range(10):
        if task.done():
            break
        await cell.advance(STEP_S)
    return await task
