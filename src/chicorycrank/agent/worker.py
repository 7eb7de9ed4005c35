"""The worker side of an agent: accelerators, reservations and tasks."""

import asyncio
import logging
from datetime import timedelta

from chicorycrank.agent.reservations import Book, GangId, Member, Reservation
from chicorycrank.model.ids import Epoch, TargetId
from chicorycrank.model.messages import (
    AnyMessage,
    CancelReservation,
    Ok,
    PrepareTask,
    Refused,
    Reserve,
    StartGang,
    StopTask,
    TaskPhase,
    TaskStatus,
)
from chicorycrank.model.targets import WorkerInfo, WorkerLoad
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.targets import (
    TargetError,
    TargetRefusedError,
    TaskLaunch,
    Worker,
    WorkerTask,
    WorkerTaskState,
    task_id_of,
)

TASK_LEASE = timedelta(seconds=10)
RENEW_INTERVAL = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(seconds=2)
GANG_SILENCE = timedelta(seconds=10)

logger = logging.getLogger("absl")


class WorkerSide:
    """The only authority for one worker's accelerators.

    Until :meth:`adopt` has read the worker's task list it takes no work and answers no beat, so
    that a restarted agent neither grants accelerators in use nor calls a running task gone.
    """

    def __init__(self, target: TargetId, info: WorkerInfo, worker: Worker, clock: Clock) -> None:
        self._target = target
        self._worker = worker
        self._clock = clock
        self._book = Book(info)
        self._task_by_id: dict[str, WorkerTask] = {}
        self._renewed_at = clock.monotonic()
        self._lost_ids: set[str] = set()
        self.epoch = Epoch(0)
        self.draining = False
        self.reachable = False
        self.adopted = False
        self.changed = asyncio.Event()

    @property
    def load(self) -> WorkerLoad:
        """The worker's occupation."""
        return WorkerLoad(tasks=self._book.refs(), draining=self.draining, reachable=self.reachable)

    def check_epoch(self, epoch: Epoch) -> Refused | None:
        """Refuse an epoch lower than the highest seen."""
        if epoch < self.epoch:
            return Refused("stale_epoch", f"epoch {epoch} is older than {self.epoch}")
        self.epoch = epoch
        return None

    # Adoption after a restart.

    async def adopt(self) -> tuple[StartGang, ...]:
        """Take over the tasks that an earlier agent started, once the worker answers.

        :returns: gangs whose head is this agent, to be led again
        """
        while True:
            try:
                tasks = await self._worker.tasks()
                break
            except TargetError as error:
                logger.warning("event=adoption_waits target=%s error=%s", self._target, error)
                await self._clock.sleep(RENEW_INTERVAL)
        for task in tasks:
            self._adopt_task(task)
        self._task_by_id = {task.task_id: task for task in tasks}
        self._renewed_at = self._clock.monotonic()
        self.reachable = True
        self.adopted = True
        self.changed.set()
        return tuple(
            _start_of(next(iter(member.launch_by_index.values())))
            for member in self._book.member_by_gang.values()
            if member.is_head
        )

    def _adopt_task(self, task: WorkerTask) -> None:
        launch = task.launch
        gang = (launch.job_id, launch.attempt)
        member = self._book.member_by_gang.get(gang)
        if member is None:
            expires_at = self._clock.monotonic() + GANG_SILENCE.total_seconds()
            member = self._book.member_by_gang[gang] = Member(expires_at=expires_at)
        shape = launch.spec.shape
        member.reservation_by_index[launch.member] = Reservation(
            accelerators=launch.accelerators, cores=shape.cores, memory_gb=shape.memory_gb
        )
        member.launch_by_index[launch.member] = launch
        member.task_id_by_index[launch.member] = task.task_id
        member.is_released |= task.throttle > 0
        member.is_head = launch.members[0].placement.worker == self._target
        logger.info("event=task_adopted task=%s state=%s", task.task_id, task.state.value)

    # Steps of a gang.

    def reserve(self, message: Reserve) -> AnyMessage:
        """Reserve free accelerators for a member of a gang; a repeated reservation is granted."""
        refusal = self.check_epoch(message.epoch) or self._check_open()
        if refusal is None:
            refusal = self._book.reserve(message, self._clock.monotonic())
        if refusal is not None:
            return refusal
        self.changed.set()
        return Ok()

    async def cancel(self, message: CancelReservation) -> AnyMessage:
        """End an attempt that the leader gave up, whatever has become of it.

        The reply to ``StartGang`` may have been lost, so tasks may run already.
        """
        refusal = self.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        gang = (message.job_id, message.attempt)
        member = self._book.member_by_gang.get(gang)
        if member is None:
            self._book.end(gang)
        else:
            member.is_stopping = True
            await self._end(gang, member)
        return Ok()

    async def prepare(self, message: PrepareTask) -> AnyMessage:
        """Start a reserved task throttled to zero; a repeated call finds it started."""
        gang = (message.job_id, message.attempt)
        member = self._find_live(gang)
        if member is None or message.member not in member.reservation_by_index:
            return Refused("no_reservation")
        launch = TaskLaunch(
            job_id=message.job_id,
            attempt=message.attempt,
            member=message.member,
            accelerators=member.reservation_by_index[message.member].accelerators,
            spec=message.spec,
            members=message.members,
            progress_s=message.progress_s,
            lease=TASK_LEASE,
        )
        async with member.lock:
            if member.is_stopping:
                return Refused("attempt_ended")
            if message.member not in member.launch_by_index:
                refusal = await self._launch(member, launch)
                if refusal is not None:
                    return refusal
        return Ok() if self.touch(gang) else Refused("attempt_ended")

    async def _launch(self, member: Member, launch: TaskLaunch) -> Refused | None:
        # The id is noted first: a call without an answer may have started the task.
        member.task_id_by_index[launch.member] = task_id_of(launch)
        try:
            await self._worker.start(launch)
        except TargetRefusedError as error:
            del member.task_id_by_index[launch.member]
            return Refused("worker_refused", str(error))
        except TargetError as error:
            return Refused("worker_unreachable", str(error))
        member.launch_by_index[launch.member] = launch
        return None

    async def release(self, gang: GangId) -> AnyMessage:
        """Lift the throttle of all tasks of a gang; a repeated call changes nothing."""
        member = self._find_live(gang)
        if member is None:
            return Refused("no_such_gang")
        async with member.lock:
            if member.is_stopping or set(member.launch_by_index) != set(
                member.reservation_by_index
            ):
                return Refused("not_prepared")
            if not member.is_released:
                try:
                    for task_id in member.task_ids:
                        await self._worker.throttle(task_id, 1.0)
                except TargetRefusedError as error:
                    return Refused("worker_refused", str(error))
                except TargetError as error:
                    return Refused("worker_unreachable", str(error))
                member.is_released = True
        self.changed.set()
        return Ok() if self.touch(gang) else Refused("attempt_ended")

    def beat(self, gang: GangId) -> AnyMessage:
        """Take a beat of the gang's head and return the state of its tasks here."""
        if not self.adopted:
            return Refused("starting")
        self.touch(gang)
        return self.status(gang)

    def touch(self, gang: GangId) -> bool:
        """Note that the gang's head lives; false if the gang has ended here."""
        member = self._find_live(gang)
        if member is None:
            return False
        expires_at = self._clock.monotonic() + GANG_SILENCE.total_seconds()
        member.expires_at = max(member.expires_at, expires_at)
        return True

    def _find_live(self, gang: GangId) -> Member | None:
        """Return a gang that goes on; one that expired while this agent was paused does not."""
        member = self._book.find_open(gang)
        if member is not None and member.expires_at < self._clock.monotonic():
            member.is_stopping = True
            return None
        return member

    def mark_head(self, gang: GangId) -> bool:
        """Note that this agent leads the gang; false without a reservation."""
        member = self._find_live(gang)
        if member is None:
            return False
        member.is_head = True
        return True

    def has_ended(self, gang: GangId) -> bool:
        """Whether a gang ended here not long ago."""
        return self._book.has_ended(gang)

    def status(self, gang: GangId) -> TaskStatus:
        """Return the joint state of the gang's tasks on this worker."""
        member = self._book.find_open(gang)
        if member is None:
            return TaskStatus(TaskPhase.GONE, 0.0, "no such gang")
        tasks = [self._task_by_id.get(task_id) for task_id in member.task_ids]
        known = [task for task in tasks if task is not None]
        progress = min((task.progress_s for task in known), default=0.0)
        saved = self._saved_progress(member)
        for task in known:
            if task.state is WorkerTaskState.FAILED:
                return TaskStatus(TaskPhase.FAILED, saved, task.detail)
            if task.state is WorkerTaskState.STOPPED:
                return TaskStatus(TaskPhase.GONE, saved, task.detail)
        completed = [task for task in known if task.state is WorkerTaskState.COMPLETED]
        if completed and len(completed) == len(tasks):
            return TaskStatus(TaskPhase.COMPLETED, progress)
        if self._lost_ids & set(member.task_ids):
            return TaskStatus(TaskPhase.GONE, saved, "the worker lost the task")
        if self._clock.monotonic() > self._renewed_at + TASK_LEASE.total_seconds():
            return TaskStatus(TaskPhase.GONE, saved, "the worker is unreachable")
        phase = TaskPhase.RUNNING if member.is_released else TaskPhase.PREPARED
        return TaskStatus(phase, progress)

    async def stop(self, message: StopTask) -> AnyMessage:
        """Stop the gang's tasks, after a checkpoint if there is time for one.

        :returns: ``GONE`` once the worker has confirmed that no task of the gang runs
        """
        if not self.adopted:
            return Refused("starting")
        gang = (message.job_id, message.attempt)
        member = self._book.member_by_gang.get(gang)
        if member is None:
            self._book.end(gang)
            return TaskStatus(TaskPhase.GONE, 0.0)
        saved = await self._checkpoint(member, message.grace_s)
        member.is_stopping = True
        if not await self._end(gang, member):
            return Refused("stop_unconfirmed")
        return TaskStatus(TaskPhase.GONE, saved)

    async def _checkpoint(self, member: Member, grace_s: float) -> float:
        saved = self._saved_progress(member)
        if grace_s <= 0 or not member.is_released or member.is_stopping:
            return saved
        try:
            async with asyncio.timeout(grace_s):
                points = [
                    await self._worker.checkpoint(member.task_id_by_index[index])
                    for index, launch in member.launch_by_index.items()
                    if launch.spec.checkpointable
                ]
        except (TimeoutError, TargetError) as error:
            logger.warning("event=checkpoint_failed target=%s error=%s", self._target, error)
            return saved
        return min(points, default=saved)

    def _saved_progress(self, member: Member) -> float:
        saved = []
        for index, launch in member.launch_by_index.items():
            task = self._task_by_id.get(member.task_id_by_index[index])
            saved.append(max(launch.progress_s, task.checkpoint_s if task is not None else 0.0))
        return min(saved, default=0.0)

    async def _end(self, gang: GangId, member: Member) -> bool:
        """Stop a gang's tasks; free its resources only when the worker confirms the stop."""
        async with member.lock:
            if self._book.member_by_gang.get(gang) is not member:
                return True
            try:
                for task_id in member.task_ids:
                    await self._worker.stop(task_id)
                    await self._worker.forget(task_id)
                if member.task_ids:
                    running = await self._running_ids()
                    if running & set(member.task_ids):
                        return False
            except TargetError as error:
                logger.warning("event=stop_unconfirmed job=%s attempt=%d error=%s", *gang, error)
                return False
            self._book.end(gang)
        self.changed.set()
        return True

    async def _running_ids(self) -> set[str]:
        tasks = await self._worker.tasks()
        return {task.task_id for task in tasks if task.state is WorkerTaskState.RUNNING}

    # Upkeep.

    async def run(self) -> None:
        """Renew leases, read the worker's tasks and end what is silent, until cancelled."""
        # Stops have their own loop: a stop that hangs must not delay the renewal of other tasks.
        await asyncio.gather(self._keep_tasks(), self._keep_stopping())

    async def _keep_tasks(self) -> None:
        while True:
            await self.refresh()
            busy = bool(self._book.member_by_gang)
            await self._clock.sleep(RENEW_INTERVAL if busy else PROBE_INTERVAL)

    async def _keep_stopping(self) -> None:
        while True:
            await self._clock.sleep(RENEW_INTERVAL)
            await self.stop_ended()

    async def refresh(self) -> None:
        """Renew the leases of live gangs and read the worker's tasks; this is also the probe."""
        self._expire()
        started = self._clock.monotonic()
        live = [m for m in self._book.member_by_gang.values() if not m.is_stopping]
        task_ids = tuple(task_id for member in live for task_id in member.task_ids)
        launched = {m.task_id_by_index[i] for m in live for i in m.launch_by_index}
        try:
            if task_ids:
                await self._worker.renew(task_ids, TASK_LEASE)
            tasks = await self._worker.tasks()
        except TargetError as error:
            logger.warning("event=worker_unreachable target=%s error=%s", self._target, error)
            self._set_reachable(False)
            return
        self._renewed_at = started
        self._task_by_id = {task.task_id: task for task in tasks}
        self._lost_ids = launched - set(self._task_by_id)
        self._set_reachable(True)
        await self._stop_strays(tasks)

    async def _stop_strays(self, tasks: tuple[WorkerTask, ...]) -> None:
        """Stop tasks in nobody's book, such as a start that took effect after its stop."""
        for task in tasks:
            if task.task_id in self._book.task_ids():
                continue
            logger.warning("event=stray_task task=%s state=%s", task.task_id, task.state.value)
            try:
                await self._worker.stop(task.task_id)
                await self._worker.forget(task.task_id)
            except TargetError as error:
                logger.warning("event=stray_not_stopped task=%s error=%s", task.task_id, error)

    async def stop_ended(self) -> None:
        """Stop again what the worker has not confirmed."""
        self._expire()
        ended = [(g, m) for g, m in self._book.member_by_gang.items() if m.is_stopping]
        await asyncio.gather(*(self._end(gang, member) for gang, member in ended))

    def _expire(self) -> None:
        now = self._clock.monotonic()
        for gang, member in self._book.member_by_gang.items():
            if member.expires_at < now and not member.is_stopping:
                logger.warning("event=gang_silent job=%s attempt=%d", *gang)
                member.is_stopping = True

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self.reachable:
            self.reachable = reachable
            self.changed.set()

    def _check_open(self) -> Refused | None:
        if not self.adopted:
            return Refused("starting")
        if self.draining:
            return Refused("draining")
        if not self.reachable:
            return Refused("worker_unreachable")
        return None


def _start_of(launch: TaskLaunch) -> StartGang:
    """Rebuild the start of a gang; the leader's epoch is not kept with the task."""
    return StartGang(
        Epoch(0), launch.job_id, launch.attempt, launch.spec, launch.members, launch.progress_s
    )
