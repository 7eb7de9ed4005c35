"""Reservations and tasks of one worker by gang, checked against the worker's capacity."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from chicorycrank.model.ids import JobId
from chicorycrank.model.messages import Refused, Reserve
from chicorycrank.model.targets import TaskRef, WorkerInfo
from chicorycrank.ports.targets import TaskLaunch

# Messages of an ended attempt can arrive seconds late. A worker needs hours to run 256 attempts.
MAX_ENDED_GANGS = 256

GangId = tuple[JobId, int]


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Resources reserved for one member of a gang."""

    accelerators: tuple[int, ...]
    cores: int
    memory_gb: int


@dataclass(kw_only=True)
class LocalGang:
    """Part of a gang on this worker: reservations and tasks by index of the gang's member.

    :param expires_at: monotonic time after which the gang is stopped here unless its reservation is
        repeated or its head sends a message
    :param is_head: whether this worker's agent is the head of the gang
    :param is_released: whether the tasks were allowed to work, at a throttle of 1.0
    :param is_stopping: whether tasks may no longer be started or allowed to work
    :param lock: serialises the calls to the worker that concern this gang
    """

    expires_at: float
    reservation_by_index: dict[int, Reservation] = field(default_factory=dict)
    launch_by_index: dict[int, TaskLaunch] = field(default_factory=dict)
    task_id_by_index: dict[int, str] = field(default_factory=dict)
    is_head: bool = False
    is_released: bool = False
    is_stopping: bool = False
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def task_ids(self) -> tuple[str, ...]:
        """Ids of the tasks that may exist at the worker."""
        return tuple(self.task_id_by_index.values())


class ReservationTable:
    """Gangs on one worker; their reservations never exceed the worker's capacity."""

    def __init__(self, info: WorkerInfo) -> None:
        self._info = info
        self.local_gang_by_id: dict[GangId, LocalGang] = {}
        self._ended_gangs: OrderedDict[GangId, None] = OrderedDict()

    def reserve(self, message: Reserve, now: float) -> Refused | None:
        """Add a reservation, or return why it is refused; a repeated one extends its expiry."""
        gang = (message.job_id, message.attempt)
        if gang in self._ended_gangs:
            return Refused("attempt_ended")
        requested = Reservation(
            accelerators=message.accelerators, cores=message.cores, memory_gb=message.memory_gb
        )
        local_gang = self.local_gang_by_id.get(gang)
        if local_gang is not None:
            if local_gang.is_stopping:
                return Refused("attempt_ended")
            if local_gang.reservation_by_index.get(message.member, requested) != requested:
                return Refused("other_reservation")
            if message.member in local_gang.task_id_by_index:
                return None
        refusal = self._check_capacity(requested, gang, message.member)
        if refusal is not None:
            return refusal
        if local_gang is None:
            local_gang = self.local_gang_by_id[gang] = LocalGang(expires_at=0.0)
        local_gang.reservation_by_index[message.member] = requested
        local_gang.expires_at = max(local_gang.expires_at, now + message.ttl_s)
        return None

    def find_active(self, gang: GangId) -> LocalGang | None:
        """Return a gang, or None if it is unknown or being stopped."""
        local_gang = self.local_gang_by_id.get(gang)
        return None if local_gang is None or local_gang.is_stopping else local_gang

    def end(self, gang: GangId) -> None:
        """Release the resources of a gang and refuse new reservations for its attempt."""
        self.local_gang_by_id.pop(gang, None)
        self._ended_gangs[gang] = None
        self._ended_gangs.move_to_end(gang)
        if len(self._ended_gangs) > MAX_ENDED_GANGS:
            self._ended_gangs.popitem(last=False)

    def has_ended(self, gang: GangId) -> bool:
        """Whether a gang is in the list of the last :data:`MAX_ENDED_GANGS` that ended here."""
        return gang in self._ended_gangs

    def task_ids(self) -> set[str]:
        """Return the ids of all tasks of all gangs."""
        return {
            task_id
            for local_gang in self.local_gang_by_id.values()
            for task_id in local_gang.task_ids
        }

    def task_refs(self) -> tuple[TaskRef, ...]:
        """Return the reservations and tasks on the worker for a report to the entries."""
        return tuple(
            TaskRef(
                job_id=job_id,
                attempt=attempt,
                member=index,
                accelerators=reservation.accelerators,
                running=local_gang.is_released,
                head=local_gang.is_head,
            )
            for (job_id, attempt), local_gang in self.local_gang_by_id.items()
            for index, reservation in local_gang.reservation_by_index.items()
        )

    def _check_capacity(self, requested: Reservation, gang: GangId, index: int) -> Refused | None:
        accelerators = set(requested.accelerators)
        if not accelerators or len(accelerators) != len(requested.accelerators):
            return Refused("no_such_accelerator")
        if min(accelerators) < 0 or max(accelerators) >= self._info.accelerators:
            return Refused("no_such_accelerator")
        if requested.cores < 0 or requested.memory_gb < 0:
            return Refused("negative_size")
        others = list(self._other_reservations(gang, index))
        if any(accelerators & set(other.accelerators) for other in others):
            return Refused("accelerators_in_use")
        if sum(other.cores for other in others) + requested.cores > self._info.cores:
            return Refused("cores_in_use")
        if sum(other.memory_gb for other in others) + requested.memory_gb > self._info.memory_gb:
            return Refused("memory_in_use")
        return None

    def _other_reservations(self, gang: GangId, index: int) -> Iterator[Reservation]:
        for other_gang, local_gang in self.local_gang_by_id.items():
            for other_index, reservation in local_gang.reservation_by_index.items():
                if (other_gang, other_index) != (gang, index):
                    yield reservation
