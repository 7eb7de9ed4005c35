"""Capacity and load of targets, and addresses of entries."""

from enum import Enum

from msgspec import Struct

from chicorycrank.model.ids import EntryId, JobId, RackId, RegionId, ServiceId, ZoneId


class TargetKind(Enum):
    """Kind of a target."""

    EXECUTOR = "executor"
    WORKER = "worker"


class ExecutorInfo(Struct, frozen=True, kw_only=True):
    """Capacity of an executor.

    :param slots: maximum number of requests that run at the same time
    :param connections: maximum number of connections
    """

    slots: int
    connections: int
    services: tuple[ServiceId, ...] = ()


class WorkerInfo(Struct, frozen=True, kw_only=True):
    """Capacity of a worker."""

    rack: RackId
    accelerators: int
    cores: int
    memory_gb: int


class ExecutorLoad(Struct, frozen=True, kw_only=True):
    """Load of an executor.

    :param latency_s: moving average of the service time in seconds
    :param failure_share: moving average of the share of failed requests, from 0 to 1
    :param reachable: the agent can connect to the executor
    """

    used_slots: int = 0
    connections: int = 0
    latency_s: float = 0.0
    failure_share: float = 0.0
    draining: bool = False
    reachable: bool = True


class TaskRef(Struct, frozen=True, kw_only=True):
    """Task or reservation that uses accelerators of a worker.

    :param member: index of the member in its gang
    :param running: False while the task is reserved or prepared
    :param head: the agent of this worker is the head of the gang
    """

    job_id: JobId
    attempt: int
    member: int
    accelerators: tuple[int, ...]
    running: bool
    head: bool = False


class WorkerLoad(Struct, frozen=True, kw_only=True):
    """Use of a worker by tasks and reservations."""

    tasks: tuple[TaskRef, ...] = ()
    draining: bool = False
    reachable: bool = True


class EntryInfo(Struct, frozen=True, kw_only=True):
    """Location of an entry, and its addresses as ``host:port``."""

    entry_id: EntryId
    region: RegionId
    zone: ZoneId
    peer_address: str
    http_address: str
