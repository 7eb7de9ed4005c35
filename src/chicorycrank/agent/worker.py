"""Manages one worker for its agent: reservations of accelerators and the tasks that use them."""

import asyncio
import logging
from datetime import timedelta

from chicorycrank.agent.reservations import GangId, LocalGang, Reservation, ReservationTable
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

# The worker stops a task whose lease was not renewed for this time.
TASK_LEASE = timedelta(seconds=10)
RENEW_INTERVAL = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(seconds=2)
# A gang whose head sent no message for this time is stopped here.
HEAD_LOST_TIMEOUT = timedelta(seconds=10)

logger = logging.getLogger("absl")


class WorkerManager:
    """The only component that allocates a worker's accelerators and starts and stops its tasks.

    Until :meth:`adopt` has read the worker's task list, reservations and heartbeats are refused.
    Otherwise a restarted agent could grant accelerators in use or report a running task as missing.
    """

    def __init__(self, target: TargetId, info: WorkerInfo, worker: Worker, clock: Clock) -> None:
        self._target = target
        self._worker = worker
        self._clock = clock
        self._reservations = ReservationTable(info)
        self._task_by_id: dict[str, WorkerTask] = {}
        self._leases_renewed_at = clock.monotonic()
        self._lost_task_ids: set[str] = set()
        self.epoch = Epoch(0)
        self.is_draining = False
        self.is_reachable = False
        self.has_adopted_tasks = False
        self.load_changed = asyncio.Event()

    @property
    def load(self) -> WorkerLoad:
        """The worker's load for a report to the entries."""
        return WorkerLoad(
            tasks=self._reservations.task_refs(),
            draining=self.is_draining,
            reachable=self.is_reachable,
        )

    def check_epoch(self, epoch: Epoch) -> Refused | None:
        """Return a refusal if the epoch is lower than the highest seen; record a higher one."""
        if epoch < self.epoch:
            return Refused("stale_epoch", f"epoch {epoch} is older than {self.epoch}")
        self.epoch = epoch
        return None

    # Adoption of running tasks after a restart of the agent.

    async def adopt(self) -> tuple[StartGang, ...]:
        """Adopt the tasks that an earlier incarnation of this agent started.

        The worker is queried until it answers.

        :returns: start messages of the gangs whose head is this agent
        """
        while True:
            try:
                tasks = await self._worker.tasks()
                break
            except TargetError as error:
                logger.warning("event=adoption_retried target=%s error=%s", self._target, error)
                await self._clock.sleep(RENEW_INTERVAL)
        for task in tasks:
            self._adopt_task(task)
        self._task_by_id = {task.task_id: task for task in tasks}
        self._leases_renewed_at = self._clock.monotonic()
        self.is_reachable = True
        self.has_adopted_tasks = True
        self.load_changed.set()
        return tuple(
            _rebuild_start_message(next(iter(local_gang.launch_by_index.values())))
            for local_gang in self._reservations.local_gang_by_id.values()
            if local_gang.is_head
        )

    def _adopt_task(self, task: WorkerTask) -> None:
        launch = task.launch
        gang = (launch.job_id, launch.attempt)
        local_gang = self._reservations.local_gang_by_id.get(gang)
        if local_gang is None:
            expires_at = self._clock.monotonic() + HEAD_LOST_TIMEOUT.total_seconds()
            local_gang = self._reservations.local_gang_by_id[gang] = LocalGang(
                expires_at=expires_at
            )
        shape = launch.spec.shape
        local_gang.reservation_by_index[launch.member] = Reservation(
            accelerators=launch.accelerators, cores=shape.cores, memory_gb=shape.memory_gb
        )
        local_gang.launch_by_index[launch.member] = launch
        local_gang.task_id_by_index[launch.member] = task.task_id
        local_gang.is_released |= task.throttle > 0
        local_gang.is_head = launch.members[0].placement.worker == self._target
        logger.info("event=task_adopted task=%s state=%s", task.task_id, task.state.value)

    # Messages about a gang.

    def reserve(self, message: Reserve) -> AnyMessage:
        """Reserve accelerators for a member of a gang; a repeated message extends the expiry."""
        refusal = self.check_epoch(message.epoch) or self._check_admission()
        if refusal is None:
            refusal = self._reservations.reserve(message, self._clock.monotonic())
        if refusal is not None:
            return refusal
        self.load_changed.set()
        return Ok()

    async def cancel(self, message: CancelReservation) -> AnyMessage:
        """Stop an attempt that the leader has abandoned.

        Its tasks may already run, because the reply to ``StartGang`` may have been lost.
        """
        refusal = self.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        gang = (message.job_id, message.attempt)
        local_gang = self._reservations.local_gang_by_id.get(gang)
        if local_gang is None:
            self._reservations.end(gang)
        else:
            local_gang.is_stopping = True
            await self._stop_tasks(gang, local_gang)
        return Ok()

    async def prepare(self, message: PrepareTask) -> AnyMessage:
        """Start a reserved task with a throttle of 0, so that it does no work yet.

        A repeated call does not start the task again.
        """
        gang = (message.job_id, message.attempt)
        local_gang = self._find_unexpired(gang)
        if local_gang is None or message.member not in local_gang.reservation_by_index:
            return Refused("no_reservation")
        launch = TaskLaunch(
            job_id=message.job_id,
            attempt=message.attempt,
            member=message.member,
            accelerators=local_gang.reservation_by_index[message.member].accelerators,
            spec=message.spec,
            members=message.members,
            progress_s=message.progress_s,
            lease=TASK_LEASE,
        )
        async with local_gang.lock:
            if local_gang.is_stopping:
                return Refused("attempt_ended")
            if message.member not in local_gang.launch_by_index:
                refusal = await self._launch(local_gang, launch)
                if refusal is not None:
                    return refusal
        return Ok() if self.extend_expiry(gang) else Refused("attempt_ended")

    async def _launch(self, local_gang: LocalGang, launch: TaskLaunch) -> Refused | None:
        # The id is recorded before the call: a call without a reply may have started the task.
        local_gang.task_id_by_index[launch.member] = task_id_of(launch)
        try:
            await self._worker.start(launch)
        except TargetRefusedError as error:
            del local_gang.task_id_by_index[launch.member]
            return Refused("worker_refused", str(error))
        except TargetError as error:
            return Refused("worker_unreachable", str(error))
        local_gang.launch_by_index[launch.member] = launch
        return None

    async def release(self, gang: GangId) -> AnyMessage:
        """Let the prepared tasks of a gang work, by setting their throttle from 0 to 1.0.

        A throttle of 0 stops a task, and 1.0 is full speed. A repeated call changes nothing.
        """
        local_gang = self._find_unexpired(gang)
        if local_gang is None:
            return Refused("no_such_gang")
        async with local_gang.lock:
            if local_gang.is_stopping or set(local_gang.launch_by_index) != set(
                local_gang.reservation_by_index
            ):
                return Refused("not_prepared")
            if not local_gang.is_released:
                try:
                    for task_id in local_gang.task_ids:
                        await self._worker.throttle(task_id, 1.0)
                except TargetRefusedError as error:
                    return Refused("worker_refused", str(error))
                except TargetError as error:
                    return Refused("worker_unreachable", str(error))
                local_gang.is_released = True
        self.load_changed.set()
        return Ok() if self.extend_expiry(gang) else Refused("attempt_ended")

    def handle_heartbeat(self, gang: GangId) -> AnyMessage:
        """Handle a heartbeat of the gang's head and return the status of its tasks here."""
        if not self.has_adopted_tasks:
            return Refused("starting")
        self.extend_expiry(gang)
        return self.status(gang)

    def extend_expiry(self, gang: GangId) -> bool:
        """Extend the expiry of a gang after a message of its head.

        :returns: False if the gang has ended here
        """
        local_gang = self._find_unexpired(gang)
        if local_gang is None:
            return False
        expires_at = self._clock.monotonic() + HEAD_LOST_TIMEOUT.total_seconds()
        local_gang.expires_at = max(local_gang.expires_at, expires_at)
        return True

    def _find_unexpired(self, gang: GangId) -> LocalGang | None:
        """Return a gang that is neither stopping nor expired.

        A gang that expired while this process was suspended is marked as stopping here.
        """
        local_gang = self._reservations.find_active(gang)
        if local_gang is not None and local_gang.expires_at < self._clock.monotonic():
            local_gang.is_stopping = True
            return None
        return local_gang

    def mark_as_head(self, gang: GangId) -> bool:
        """Record that this agent is the head of the gang.

        :returns: False if the gang has no reservation here
        """
        local_gang = self._find_unexpired(gang)
        if local_gang is None:
            return False
        local_gang.is_head = True
        return True

    def has_ended(self, gang: GangId) -> bool:
        """Whether a gang is in the bounded list of gangs that ended here."""
        return self._reservations.has_ended(gang)

    def status(self, gang: GangId) -> TaskStatus:
        """Return the combined status of the gang's tasks on this worker."""
        local_gang = self._reservations.find_active(gang)
        if local_gang is None:
            return TaskStatus(TaskPhase.GONE, 0.0, "no such gang")
        tasks = [self._task_by_id.get(task_id) for task_id in local_gang.task_ids]
        known_tasks = [task for task in tasks if task is not None]
        progress_s = min((task.progress_s for task in known_tasks), default=0.0)
        saved_progress_s = self._saved_progress_s(local_gang)
        for task in known_tasks:
            if task.state is WorkerTaskState.FAILED:
                return TaskStatus(TaskPhase.FAILED, saved_progress_s, task.detail)
            if task.state is WorkerTaskState.STOPPED:
                return TaskStatus(TaskPhase.GONE, saved_progress_s, task.detail)
        completed = [task for task in known_tasks if task.state is WorkerTaskState.COMPLETED]
        if completed and len(completed) == len(tasks):
            return TaskStatus(TaskPhase.COMPLETED, progress_s)
        if self._lost_task_ids & set(local_gang.task_ids):
            return TaskStatus(TaskPhase.GONE, saved_progress_s, "the worker lost the task")
        if self._clock.monotonic() > self._leases_renewed_at + TASK_LEASE.total_seconds():
            return TaskStatus(TaskPhase.GONE, saved_progress_s, "the worker is unreachable")
        phase = TaskPhase.RUNNING if local_gang.is_released else TaskPhase.PREPARED
        return TaskStatus(phase, progress_s)

    async def stop(self, message: StopTask) -> AnyMessage:
        """Stop the gang's tasks, after a checkpoint if the grace time allows one.

        :returns: ``GONE`` once the worker has confirmed that no task of the gang runs
        """
        if not self.has_adopted_tasks:
            return Refused("starting")
        gang = (message.job_id, message.attempt)
        local_gang = self._reservations.local_gang_by_id.get(gang)
        if local_gang is None:
            self._reservations.end(gang)
            return TaskStatus(TaskPhase.GONE, 0.0)
        saved_progress_s = await self._checkpoint(local_gang, message.grace_s)
        local_gang.is_stopping = True
        if not await self._stop_tasks(gang, local_gang):
            return Refused("stop_unconfirmed")
        return TaskStatus(TaskPhase.GONE, saved_progress_s)

    async def _checkpoint(self, local_gang: LocalGang, grace_s: float) -> float:
        saved_progress_s = self._saved_progress_s(local_gang)
        if grace_s <= 0 or not local_gang.is_released or local_gang.is_stopping:
            return saved_progress_s
        try:
            async with asyncio.timeout(grace_s):
                checkpoints_s = [
                    await self._worker.checkpoint(local_gang.task_id_by_index[index])
                    for index, launch in local_gang.launch_by_index.items()
                    if launch.spec.checkpointable
                ]
        except (TimeoutError, TargetError) as error:
            logger.warning("event=checkpoint_failed target=%s error=%s", self._target, error)
            return saved_progress_s
        return min(checkpoints_s, default=saved_progress_s)

    def _saved_progress_s(self, local_gang: LocalGang) -> float:
        saved_progress_s = []
        for index, launch in local_gang.launch_by_index.items():
            task = self._task_by_id.get(local_gang.task_id_by_index[index])
            saved_progress_s.append(
                max(launch.progress_s, task.checkpoint_s if task is not None else 0.0)
            )
        return min(saved_progress_s, default=0.0)

    async def _stop_tasks(self, gang: GangId, local_gang: LocalGang) -> bool:
        """Stop a gang's tasks and release its resources once the worker has confirmed the stop.

        :returns: whether the stop is confirmed
        """
        async with local_gang.lock:
            if self._reservations.local_gang_by_id.get(gang) is not local_gang:
                return True
            try:
                for task_id in local_gang.task_ids:
                    await self._worker.stop(task_id)
                    await self._worker.discard_task(task_id)
                if local_gang.task_ids:
                    running_task_ids = await self._fetch_running_task_ids()
                    if running_task_ids & set(local_gang.task_ids):
                        return False
            except TargetError as error:
                logger.warning("event=stop_unconfirmed job=%s attempt=%d error=%s", *gang, error)
                return False
            self._reservations.end(gang)
        self.load_changed.set()
        return True

    async def _fetch_running_task_ids(self) -> set[str]:
        tasks = await self._worker.tasks()
        return {task.task_id for task in tasks if task.state is WorkerTaskState.RUNNING}

    # Periodic work: lease renewal, task list and unconfirmed stops.

    async def run(self) -> None:
        """Renew leases, poll the worker's tasks and stop expired gangs, until cancelled."""
        # Stops have a separate loop, so that a stop that hangs does not delay lease renewals.
        await asyncio.gather(self._refresh_forever(), self._retry_stops_forever())

    async def _refresh_forever(self) -> None:
        while True:
            await self.refresh()
            is_busy = bool(self._reservations.local_gang_by_id)
            await self._clock.sleep(RENEW_INTERVAL if is_busy else PROBE_INTERVAL)

    async def _retry_stops_forever(self) -> None:
        while True:
            await self._clock.sleep(RENEW_INTERVAL)
            await self.retry_stops()

    async def refresh(self) -> None:
        """Renew the leases of active gangs and read the worker's tasks.

        The calls also serve as the probe that decides whether the worker is reachable.
        """
        self._expire_gangs()
        started_at = self._clock.monotonic()
        active_gangs = [
            local_gang
            for local_gang in self._reservations.local_gang_by_id.values()
            if not local_gang.is_stopping
        ]
        task_ids = tuple(task_id for local_gang in active_gangs for task_id in local_gang.task_ids)
        launched_task_ids = {
            local_gang.task_id_by_index[index]
            for local_gang in active_gangs
            for index in local_gang.launch_by_index
        }
        try:
            if task_ids:
                await self._worker.renew(task_ids, TASK_LEASE)
            tasks = await self._worker.tasks()
        except TargetError as error:
            logger.warning("event=worker_unreachable target=%s error=%s", self._target, error)
            self._set_reachable(False)
            return
        self._leases_renewed_at = started_at
        self._task_by_id = {task.task_id: task for task in tasks}
        self._lost_task_ids = launched_task_ids - set(self._task_by_id)
        self._set_reachable(True)
        await self._stop_orphans(tasks)

    async def _stop_orphans(self, tasks: tuple[WorkerTask, ...]) -> None:
        """Stop tasks that belong to no gang, such as one whose start took effect after its stop."""
        for task in tasks:
            if task.task_id in self._reservations.task_ids():
                continue
            logger.warning(
                "event=orphan_task_found task=%s state=%s", task.task_id, task.state.value
            )
            try:
                await self._worker.stop(task.task_id)
                await self._worker.discard_task(task.task_id)
            except TargetError as error:
                logger.warning("event=orphan_stop_failed task=%s error=%s", task.task_id, error)

    async def retry_stops(self) -> None:
        """Repeat the stops that the worker has not confirmed."""
        self._expire_gangs()
        stopping_gangs = [
            (gang, local_gang)
            for gang, local_gang in self._reservations.local_gang_by_id.items()
            if local_gang.is_stopping
        ]
        await asyncio.gather(
            *(self._stop_tasks(gang, local_gang) for gang, local_gang in stopping_gangs)
        )

    def _expire_gangs(self) -> None:
        now = self._clock.monotonic()
        for gang, local_gang in self._reservations.local_gang_by_id.items():
            if local_gang.expires_at < now and not local_gang.is_stopping:
                logger.warning("event=gang_expired job=%s attempt=%d", *gang)
                local_gang.is_stopping = True

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self.is_reachable:
            self.is_reachable = reachable
            self.load_changed.set()

    def _check_admission(self) -> Refused | None:
        if not self.has_adopted_tasks:
            return Refused("starting")
        if self.is_draining:
            return Refused("draining")
        if not self.is_reachable:
            return Refused("worker_unreachable")
        return None


def _rebuild_start_message(launch: TaskLaunch) -> StartGang:
    """Rebuild the start message of a gang; a launch does not contain the leader's epoch."""
    return StartGang(
        Epoch(0), launch.job_id, launch.attempt, launch.spec, launch.members, launch.progress_s
    )
