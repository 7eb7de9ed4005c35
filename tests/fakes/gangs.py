# ruff: noqa: D102 (the ports document these methods)
"""Worker agents on in-memory workers, and a network with injected faults."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

from tests.virtual_time import VirtualClock, VirtualLoop

from chicorycrank.adapters.background import BackgroundTasks
from chicorycrank.agent.gang_coordinator import GangCoordinator
from chicorycrank.agent.worker import WorkerManager
from chicorycrank.model.ids import CellId, EntryId, Epoch, JobId, RackId, TargetId, TeamId
from chicorycrank.model.jobs import GangShape, JobSpec, MemberPlacement
from chicorycrank.model.messages import (
    AnyMessage,
    GangEnded,
    GangMember,
    GangStarted,
    LeaderAnnounce,
    Reserve,
    StartGang,
)
from chicorycrank.model.targets import WorkerInfo
from chicorycrank.ports.links import LinkError, MessageNotSentError
from chicorycrank.ports.targets import (
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
    TaskLaunch,
    WorkerTask,
    WorkerTaskState,
    task_id_of,
)

JOB_ID = JobId("job-1")
WORKER_INFO = WorkerInfo(rack=RackId("rack-0"), accelerators=8, cores=64, memory_gb=250)
RUNNING = WorkerTaskState.RUNNING


@dataclass(frozen=True)
class Event:
    """Change of a task's state at a worker, in virtual time.

    :param kind: "started", "working" once its throttle is above 0, or the state in which it ended
    """

    at: float
    worker: str
    kind: str


class FakeWorker:
    """In-memory worker whose tasks make progress in virtual time and stop when their lease ends.

    :ivar start_delay_s: if it is not 0, starts get no reply and take effect after this time
    :ivar starts_to_refuse: number of following starts that are refused
    :ivar replies_to_lose: number of following calls that take effect without a reply, by method
    """

    def __init__(self, name: str, loop: VirtualLoop, events: list[Event]) -> None:
        self.name = name
        self._loop = loop
        self._events = events
        self._task_by_id: dict[str, WorkerTask] = {}
        self._lease_end_by_id: dict[str, float] = {}
        self._advanced_at = loop.time()
        self.is_unreachable = False
        self.ignores_stops = False
        self.start_delay_s = 0.0
        self.starts_to_refuse = 0
        self.replies_to_lose: Counter[str] = Counter()

    def running_tasks(self) -> list[WorkerTask]:
        self._advance()
        return [task for task in self._task_by_id.values() if task.state is RUNNING]

    def end_tasks(self, state: WorkerTaskState) -> None:
        for task in self.running_tasks():
            self._end(task.task_id, state, self._loop.time())

    def lose_tasks(self) -> None:
        self._task_by_id.clear()

    def _end(self, task_id: str, state: WorkerTaskState, at: float) -> None:
        self._task_by_id[task_id] = replace(self._task_by_id[task_id], state=state)
        self._events.append(Event(at, self.name, state.value))

    def _advance(self) -> None:
        now, previous = self._loop.time(), self._advanced_at
        self._advanced_at = now
        for task_id, task in list(self._task_by_id.items()):
            if task.state is not RUNNING:
                continue
            ran_until = min(now, self._lease_end_by_id[task_id])
            progress_s = task.progress_s + (ran_until - previous) * task.throttle
            work_s = task.launch.spec.run_time_s
            self._task_by_id[task_id] = replace(task, progress_s=min(progress_s, work_s))
            if progress_s >= work_s:
                self._end(task_id, WorkerTaskState.COMPLETED, ran_until - (progress_s - work_s))
            elif ran_until < now:
                self._end(task_id, WorkerTaskState.STOPPED, ran_until)

    def _begin_call(self, method: str) -> None:
        if self.is_unreachable:
            raise TargetUnreachableError("refused")
        self._advance()

    def _end_call(self, method: str) -> None:
        if self.replies_to_lose[method] > 0:
            self.replies_to_lose[method] -= 1
            raise TargetTimeoutError("reply lost")

    async def start(self, launch: TaskLaunch) -> str:
        self._begin_call("start")
        if self.starts_to_refuse > 0:
            self.starts_to_refuse -= 1
            raise TargetRefusedError("accelerators are in use")
        task_id = task_id_of(launch)
        if self.start_delay_s:
            self._loop.call_later(self.start_delay_s, self._launch, task_id, launch)
            raise TargetTimeoutError("no answer")
        self._launch(task_id, launch)
        self._end_call("start")
        return task_id

    def _launch(self, task_id: str, launch: TaskLaunch) -> None:
        if task_id not in self._task_by_id:
            self._task_by_id[task_id] = WorkerTask(
                task_id=task_id,
                launch=launch,
                state=RUNNING,
                throttle=0.0,
                progress_s=launch.progress_s,
                checkpoint_s=launch.progress_s,
            )
            self._lease_end_by_id[task_id] = self._loop.time() + launch.lease.total_seconds()
            self._events.append(Event(self._loop.time(), self.name, "started"))

    async def throttle(self, task_id: str, share: float) -> None:
        self._begin_call("throttle")
        task = self._task_by_id.get(task_id)
        if task is None or task.state is not RUNNING:
            raise TargetRefusedError("no such running task")
        if task.throttle == 0:
            self._events.append(Event(self._loop.time(), self.name, "working"))
        self._task_by_id[task_id] = replace(task, throttle=share)
        self._end_call("throttle")

    async def renew(self, task_ids: tuple[str, ...], lease: timedelta) -> None:
        self._begin_call("renew")
        for task_id in task_ids:
            self._lease_end_by_id[task_id] = self._loop.time() + lease.total_seconds()
        self._end_call("renew")

    async def checkpoint(self, task_id: str) -> float:
        self._begin_call("checkpoint")
        task = self._task_by_id[task_id]
        self._task_by_id[task_id] = replace(task, checkpoint_s=task.progress_s)
        self._end_call("checkpoint")
        return task.progress_s

    async def stop(self, task_id: str) -> None:
        self._begin_call("stop")
        task = self._task_by_id.get(task_id)
        if task is not None and task.state is RUNNING and not self.ignores_stops:
            self._end(task_id, WorkerTaskState.STOPPED, self._loop.time())
        self._end_call("stop")

    async def tasks(self) -> tuple[WorkerTask, ...]:
        self._begin_call("tasks")
        self._end_call("tasks")
        return tuple(self._task_by_id.values())

    async def discard_task(self, task_id: str) -> None:
        self._begin_call("discard_task")
        task = self._task_by_id.get(task_id)
        if task is not None and task.state is not RUNNING:
            del self._task_by_id[task_id]
        self._end_call("discard_task")


class NodeClock(VirtualClock):
    """Clock whose sleeps do not return while the process of the node is suspended."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop)
        self.process_running = asyncio.Event()
        self.process_running.set()

    async def sleep(self, delay: timedelta) -> None:
        await super().sleep(delay)
        await self.process_running.wait()


@dataclass(kw_only=True)
class Node:
    """A worker and its agent, whose manager and coordinator are None after it was killed."""

    name: TargetId
    worker: FakeWorker
    clock: NodeClock
    background: BackgroundTasks = field(default_factory=BackgroundTasks)
    worker_manager: WorkerManager | None = None
    gang_coordinator: GangCoordinator | None = None


class Cluster:
    """Worker agents, the network between them, and a leader that acknowledges reports.

    :ivar task_events: events of all tasks at their workers
    :ivar reports: reports of heads that the leader has acknowledged
    :ivar messages: time, sender, receiver, and the message or reply
    :ivar requests_to_lose: number of following requests between agents that are lost, by type
    :ivar replies_to_lose: number of following requests between agents whose reply is lost, by type
    :ivar running_tasks_at_end: number of tasks that still ran when a head reported the end
    :ivar disconnected: names of nodes from and to which all requests are lost
    :ivar hook_before_message: called once, before the next request of a type to a node
    """

    def __init__(self, loop: VirtualLoop, size: int) -> None:
        self.loop = loop
        self.task_events: list[Event] = []
        self.reports: list[GangStarted | GangEnded] = []
        self.messages: list[tuple[float, str, str, AnyMessage]] = []
        self.requests_to_lose: Counter[str] = Counter()
        self.replies_to_lose: Counter[str] = Counter()
        self.running_tasks_at_end = 0
        self.disconnected: set[str] = set()
        self.leader_reachable = asyncio.Event()
        self.leader_reachable.set()
        self.hook_before_message: dict[tuple[str, str], Callable[[], None]] = {}
        self.nodes = [
            Node(
                name=TargetId(f"worker-{index}"),
                worker=FakeWorker(f"worker-{index}", loop, self.task_events),
                clock=NodeClock(loop),
            )
            for index in range(size)
        ]
        for node in self.nodes:
            self.start_agent(node)

    def start_agent(self, node: Node) -> None:
        node.background = BackgroundTasks()
        node.worker_manager = WorkerManager(node.name, WORKER_INFO, node.worker, node.clock)
        node.gang_coordinator = GangCoordinator(
            node.name,
            node.worker_manager,
            node.clock,
            node.background,
            call_member=lambda member, message, timeout: self._call(node, member, message, timeout),
            report=self._report,
        )
        node.background.start(node.gang_coordinator.run())

    def kill_agent(self, node: Node) -> None:
        node.background.cancel_all()
        node.worker_manager = node.gang_coordinator = None

    async def send(self, node: Node, message: AnyMessage) -> AnyMessage:
        """Send a message from the leader to a node's agent."""
        assert node.gang_coordinator is not None
        self.messages.append((self.loop.time(), "leader", node.name, message))
        return await node.gang_coordinator.handle(message)

    async def start_gang(self, *, work_s: float) -> None:
        shape = GangShape(members=len(self.nodes), accelerators=8, cores=16, memory_gb=50)
        spec = JobSpec(
            team=TeamId("claims"),
            name="train",
            shape=shape,
            run_time_s=work_s,
            checkpointable=True,
        )
        placements = [MemberPlacement(node.name, tuple(range(8))) for node in self.nodes]
        members = tuple(GangMember(placement, placement.worker) for placement in placements)
        for index, node in enumerate(self.nodes):
            announcement = LeaderAnnounce(CellId("north"), Epoch(1), EntryId("entry-0"))
            await self.send(node, announcement)
            await self.send(node, reserve(index, tuple(range(8)), cores=16, memory_gb=50))
        await self.send(self.nodes[0], StartGang(Epoch(1), JOB_ID, 1, spec, members, 0.0))

    async def _report(self, message: GangStarted | GangEnded) -> None:
        if isinstance(message, GangEnded):
            self.running_tasks_at_end = sum(len(node.worker.running_tasks()) for node in self.nodes)
        await self.leader_reachable.wait()
        self.messages.append((self.loop.time(), "head", "leader", message))
        self.reports.append(message)

    async def _call(
        self, source: Node, member: GangMember, message: AnyMessage, timeout: timedelta
    ) -> AnyMessage:
        kind = type(message).__name__
        node = next(n for n in self.nodes if n.name == member.address)
        hook = self.hook_before_message.pop((kind, node.name), None)
        if hook is not None:
            hook()
        self.messages.append((self.loop.time(), source.name, node.name, message))
        if node.gang_coordinator is None:
            raise MessageNotSentError("connection refused")
        await source.clock.process_running.wait()
        if {source.name, node.name} & self.disconnected or self._should_lose(
            self.requests_to_lose, kind
        ):
            await asyncio.sleep(timeout.total_seconds())
            raise LinkError("no reply")
        await node.clock.process_running.wait()
        reply = await node.gang_coordinator.handle(message)
        self.messages.append((self.loop.time(), node.name, source.name, reply))
        if {source.name, node.name} & self.disconnected or self._should_lose(
            self.replies_to_lose, kind
        ):
            await asyncio.sleep(timeout.total_seconds())
            raise LinkError("no reply")
        return reply

    @staticmethod
    def _should_lose(counter: Counter[str], kind: str) -> bool:
        counter[kind] -= 1
        return counter[kind] >= 0


def reserve(
    member: int,
    accelerators: tuple[int, ...],
    *,
    epoch: int = 1,
    job: str = JOB_ID,
    cores: int = 0,
    memory_gb: int = 0,
) -> Reserve:
    return Reserve(Epoch(epoch), JobId(job), 1, member, accelerators, cores, memory_gb, 10.0)
