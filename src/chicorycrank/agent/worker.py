"""The worker side of an agent: accelerators, reservations and tasks."""

import asyncio
import logging
from dataclasses import dataclass
from datetime import timedelta

from chicorycrank.model.ids import Epoch, JobId, TargetId
from chicorycrank.model.messages import (
    AnyMessage,
    CancelReservation,
    Ok,
    PrepareTask,
    Refused,
    Reserve,
    StopTask,
    TaskPhase,
    TaskStatus,
)
from chicorycrank.model.targets import TaskRef, WorkerInfo, WorkerLoad
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.targets import (
    TargetTimeoutError,
    TargetUnreachableError,
    TaskLaunch,
    Worker,
    WorkerTask,
    WorkerTaskState,
)

TASK_LEASE = timedelta(seconds=10)
RENEW_INTERVAL = timedelta(seconds=1)
GANG_SILENCE = timedelta(seconds=10)

logger = logging.getLogger("absl")

GangId = tuple[JobId, int]


@dataclass(kw_only=True)
class Member:
    """Tasks or reservations of one gang on this worker.

    :param expires_at: monotonic time at which the reservation or the silence of the head ends
    """

    launches: dict[int, TaskLaunch]
    accelerators_by_member: dict[int, tuple[int, ...]]
    task_id_by_member: dict[int, str]
    expires_at: float
    is_head: bool = False
    is_released: bool = False


class WorkerSide:
    """The only authority for one worker's accelerators."""

    def __init__(self, target: TargetId, info: WorkerInfo, worker: Worker, clock: Clock) -> None:
        self._target = target
        self._info = info
        self._worker = worker
        self._clock = clock
        self._member_by_gang: dict[GangId, Member] = {}
        self._task_by_id: dict[str, WorkerTask] = {}
        self.epoch = Epoch(0)
        self.draining = False
        self.reachable = True
        self.changed = asyncio.Event()

    @property
    def load(self) -> WorkerLoad:
        """The worker's occupation."""
        tasks = tuple(
            TaskRef(
                job_id=job_id,
                attempt=attempt,
                member=index,
                accelerators=accelerators,
                running=member.is_released,
                head=member.is_head,
            )
            for (job_id, attempt), member in self._member_by_gang.items()
            for index, accelerators in member.accelerators_by_member.items()
        )
        return WorkerLoad(tasks=tasks, draining=self.draining, reachable=self.reachable)

    def check_epoch(self, epoch: Epoch) -> Refused | None:
        """Refuse an epoch lower than the highest seen."""
        if epoch < self.epoch:
            return Refused("stale_epoch", f"epoch {epoch} is older than {self.epoch}")
        self.epoch = epoch
        return None

    def reserve(self, message: Reserve) -> AnyMessage:
        """Reserve free accelerators for a member of a gang."""
        refusal = self.check_epoch(message.epoch) or self._check_capacity(message)
        if refusal is not None:
            return refusal
        gang = (message.job_id, message.attempt)
        member = self._member_by_gang.setdefault(
            gang,
            Member(launches={}, accelerators_by_member={}, task_id_by_member={}, expires_at=0.0),
        )
        member.accelerators_by_member[message.member] = message.accelerators
        member.expires_at = self._clock.monotonic() + message.ttl_s
        self.changed.set()
        return Ok()

    def cancel(self, message: CancelReservation) -> AnyMessage:
        """Give up a reservation that has no task yet."""
        refusal = self.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        member = self._member_by_gang.get((message.job_id, message.attempt))
        if member is not None and not member.task_id_by_member:
            self._drop((message.job_id, message.attempt))
        return Ok()

    async def prepare(self, message: PrepareTask) -> AnyMessage:
        """Start a reserved task throttled to zero."""
        gang = (message.job_id, message.attempt)
        member = self._member_by_gang.get(gang)
        if member is None or message.member not in member.accelerators_by_member:
            return Refused("no_reservation")
        launch = TaskLaunch(
            job_id=message.job_id,
            attempt=message.attempt,
            member=message.member,
            accelerators=member.accelerators_by_member[message.member],
            spec=message.spec,
            members=message.members,
            progress_s=message.progress_s,
            lease=TASK_LEASE,
        )
        try:
            task_id = await self._worker.start(launch)
        except (TargetUnreachableError, TargetTimeoutError) as error:
            return Refused("worker_unreachable", str(error))
        member.launches[message.member] = launch
        member.task_id_by_member[message.member] = task_id
        self.touch(gang)
        return Ok()

    async def release(self, gang: GangId) -> AnyMessage:
        """Lift the throttle of all tasks of a gang."""
        member = self._member_by_gang.get(gang)
        if member is None:
            return Refused("no_such_gang")
        for task_id in member.task_id_by_member.values():
            await self._worker.throttle(task_id, 1.0)
        member.is_released = True
        self.touch(gang)
        self.changed.set()
        return Ok()

    def touch(self, gang: GangId) -> None:
        """Note that the gang's head lives."""
        member = self._member_by_gang.get(gang)
        if member is not None:
            member.expires_at = self._clock.monotonic() + GANG_SILENCE.total_seconds()

    def mark_head(self, gang: GangId) -> None:
        """Note that this agent leads the gang."""
        member = self._member_by_gang.get(gang)
        if member is not None:
            member.is_head = True

    def status(self, gang: GangId) -> TaskStatus:
        """Return the joint state of the gang's tasks on this worker."""
        member = self._member_by_gang.get(gang)
        if member is None:
            return TaskStatus(TaskPhase.GONE, 0.0, "no such gang")
        tasks = [self._task_by_id.get(task_id) for task_id in member.task_id_by_member.values()]
        known = [task for task in tasks if task is not None]
        progress = min((task.progress_s for task in known), default=0.0)
        for task in known:
            if task.state is WorkerTaskState.FAILED:
                return TaskStatus(TaskPhase.FAILED, task.checkpoint_s, task.detail)
            if task.state is WorkerTaskState.STOPPED:
                return TaskStatus(TaskPhase.GONE, task.checkpoint_s, task.detail)
        if known and all(task.state is WorkerTaskState.COMPLETED for task in known):
            return TaskStatus(TaskPhase.COMPLETED, progress)
        phase = TaskPhase.RUNNING if member.is_released else TaskPhase.PREPARED
        return TaskStatus(phase, progress)

    async def stop(self, message: StopTask) -> TaskStatus:
        """Stop the gang's tasks, after a checkpoint if there is time for one."""
        gang = (message.job_id, message.attempt)
        member = self._member_by_gang.get(gang)
        if member is None:
            return TaskStatus(TaskPhase.GONE, 0.0)
        saved = await self._checkpoint(member, message.grace_s)
        await self._end(gang, member)
        return TaskStatus(TaskPhase.GONE, saved)

    async def _checkpoint(self, member: Member, grace_s: float) -> float:
        saved = min((launch.progress_s for launch in member.launches.values()), default=0.0)
        if grace_s <= 0:
            return saved
        try:
            async with asyncio.timeout(grace_s):
                points = [
                    await self._worker.checkpoint(task_id)
                    for index, task_id in member.task_id_by_member.items()
                    if member.launches[index].spec.checkpointable
                ]
        except (TimeoutError, TargetUnreachableError, TargetTimeoutError) as error:
            logger.warning("event=checkpoint_failed target=%s error=%s", self._target, error)
            return saved
        return min(points, default=saved)

    async def _end(self, gang: GangId, member: Member) -> None:
        for task_id in member.task_id_by_member.values():
            try:
                await self._worker.stop(task_id)
                await self._worker.forget(task_id)
            except (TargetUnreachableError, TargetTimeoutError) as error:
                logger.warning("event=stop_failed task=%s error=%s", task_id, error)
        self._drop(gang)

    async def run(self) -> None:
        """Renew leases, read the worker's tasks and expire what is silent, until cancelled."""
        while True:
            await self._clock.sleep(RENEW_INTERVAL)
            await self._refresh()
            await self._expire()

    async def _refresh(self) -> None:
        task_ids = tuple(
            task_id
            for member in self._member_by_gang.values()
            for task_id in member.task_id_by_member.values()
        )
        try:
            if task_ids:
                await self._worker.renew(task_ids, TASK_LEASE)
                self._task_by_id = {task.task_id: task for task in await self._worker.tasks()}
            reachable = True
        except (TargetUnreachableError, TargetTimeoutError) as error:
            logger.warning("event=worker_unreachable target=%s error=%s", self._target, error)
            reachable = False
        if reachable != self.reachable:
            self.reachable = reachable
            self.changed.set()

    async def _expire(self) -> None:
        now = self._clock.monotonic()
        ended = [(g, m) for g, m in self._member_by_gang.items() if m.expires_at < now]
        for gang, member in ended:
            logger.warning("event=gang_silent job=%s attempt=%d", *gang)
            await self._end(gang, member)

    def _drop(self, gang: GangId) -> None:
        self._member_by_gang.pop(gang, None)
        self.changed.set()

    def _check_capacity(self, message: Reserve) -> Refused | None:
        if self.draining:
            return Refused("draining")
        if not self.reachable:
            return Refused("worker_unreachable")
        gang = (message.job_id, message.attempt)
        busy = {
            accelerator
            for other, member in self._member_by_gang.items()
            for index, accelerators in member.accelerators_by_member.items()
            if (other, index) != (gang, message.member)
            for accelerator in accelerators
        }
        wanted = set(message.accelerators)
        if wanted & busy:
            return Refused("accelerators_in_use")
        if not wanted or min(wanted) < 0 or max(wanted) >= self._info.accelerators:
            return Refused("no_such_accelerator")
        return None
