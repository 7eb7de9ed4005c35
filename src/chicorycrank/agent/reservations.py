"""Book of one worker's capacity: reservations and tasks by gang."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from chicorycrank.model.ids import JobId
from chicorycrank.model.messages import Refused, Reserve
from chicorycrank.model.targets import TaskRef, WorkerInfo
from chicorycrank.ports.targets import TaskLaunch

# Delayed messages of an ended attempt arrive within seconds; 256 attempts cover hours of a worker.
MAX_ENDED_GANGS = 256

GangId = tuple[JobId, int]


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Resources of one member of a gang."""

    accelerators: tuple[int, ...]
    cores: int
    memory_gb: int


@dataclass(kw_only=True)
class Member:
    """Reservations and tasks of one gang on this worker.

    :param expires_at: monotonic time at which the reservation or the silence of the head ends
    :param is_stopping: no task may start or be released any more
    :param lock: orders the worker's calls of one gang
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
        """Ids of the tasks that the worker may hold."""
        return tuple(self.task_id_by_index.values())


class Book:
    """Gangs on one worker; it never holds more than the worker has."""

    def __init__(self, info: WorkerInfo) -> None:
        self._info = info
        self.member_by_gang: dict[GangId, Member] = {}
        self._ended: OrderedDict[GangId, None] = OrderedDict()

    def reserve(self, message: Reserve, now: float) -> Refused | None:
        """Add a reservation, or return why not; a repeated one changes only its expiry."""
        gang = (message.job_id, message.attempt)
        if gang in self._ended:
            return Refused("attempt_ended")
        wanted = Reservation(
            accelerators=message.accelerators, cores=message.cores, memory_gb=message.memory_gb
        )
        member = self.member_by_gang.get(gang)
        if member is not None:
            if member.is_stopping:
                return Refused("attempt_ended")
            if member.reservation_by_index.get(message.member, wanted) != wanted:
                return Refused("other_reservation")
            if message.member in member.task_id_by_index:
                return None
        refusal = self._check_capacity(wanted, gang, message.member)
        if refusal is not None:
            return refusal
        if member is None:
            member = self.member_by_gang[gang] = Member(expires_at=0.0)
        member.reservation_by_index[message.member] = wanted
        member.expires_at = max(member.expires_at, now + message.ttl_s)
        return None

    def find_open(self, gang: GangId) -> Member | None:
        """Return a gang that is not being stopped."""
        member = self.member_by_gang.get(gang)
        return None if member is None or member.is_stopping else member

    def end(self, gang: GangId) -> None:
        """Free what a gang holds and refuse it from now on."""
        self.member_by_gang.pop(gang, None)
        self._ended[gang] = None
        self._ended.move_to_end(gang)
        if len(self._ended) > MAX_ENDED_GANGS:
            self._ended.popitem(last=False)

    def has_ended(self, gang: GangId) -> bool:
        """Whether a gang ended here not long ago."""
        return gang in self._ended

    def task_ids(self) -> set[str]:
        """Return the ids of all tasks in the book."""
        return {task_id for m in self.member_by_gang.values() for task_id in m.task_ids}

    def refs(self) -> tuple[TaskRef, ...]:
        """Return what occupies the worker, for reports."""
        return tuple(
            TaskRef(
                job_id=job_id,
                attempt=attempt,
                member=index,
                accelerators=reservation.accelerators,
                running=member.is_released,
                head=member.is_head,
            )
            for (job_id, attempt), member in self.member_by_gang.items()
            for index, reservation in member.reservation_by_index.items()
        )

    def _check_capacity(self, wanted: Reservation, gang: GangId, index: int) -> Refused | None:
        accelerators = set(wanted.accelerators)
        if not accelerators or len(accelerators) != len(wanted.accelerators):
            return Refused("no_such_accelerator")
        if min(accelerators) < 0 or max(accelerators) >= self._info.accelerators:
            return Refused("no_such_accelerator")
        if wanted.cores < 0 or wanted.memory_gb < 0:
            return Refused("negative_size")
        others = list(self._others(gang, index))
        if any(accelerators & set(other.accelerators) for other in others):
            return Refused("accelerators_in_use")
        if sum(other.cores for other in others) + wanted.cores > self._info.cores:
            return Refused("cores_in_use")
        if sum(other.memory_gb for other in others) + wanted.memory_gb > self._info.memory_gb:
            return Refused("memory_in_use")
        return None

    def _others(self, gang: GangId, index: int) -> Iterator[Reservation]:
        for other_gang, member in self.member_by_gang.items():
            for other_index, reservation in member.reservation_by_index.items():
                if (other_gang, other_index) != (gang, index):
                    yield reservation
