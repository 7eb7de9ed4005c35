"""What targets announce and report."""

from enum import Enum

from msgspec import Struct

from chicorycrank.model.ids import EntryId, JobId, RackId, RegionId, ServiceId, ZoneId


class TargetKind(Enum):
    """Kind of a target."""

    EXECUTOR = "executor"
    WORKER = "worker"


class ExecutorInfo(Struct, frozen=True, kw_only=True):
    """Capacity of an executor."""

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

    :param latency_s: smoothed service time of recent requests in seconds
    :param failure_share: smoothed share of recent requests that failed, 0 to 1
    """

    used_slots: int = 0
    connections: int = 0
    latency_s: float = 0.0
    failure_share: float = 0.0
    draining: bool = False
    reachable: bool = True


class TaskRef(Struct, frozen=True, kw_only=True):
    """A task or reservation that occupies accelerators of a worker.

    :param running: false while it is only reserved or prepared
    """

    job_id: JobId
    attempt: int
    member: int
    accelerators: tuple[int, ...]
    running: bool
    head: bool = False


class WorkerLoad(Struct, frozen=True, kw_only=True):
    """Occupation of a worker."""

    tasks: tuple[TaskRef, ...] = ()
    draining: bool = False
    reachable: bool = True


class EntryInfo(Struct, frozen=True, kw_only=True):
    """Addresses of an entry, as ``host:port``."""

    entry_id: EntryId
    region: RegionId
    zone: ZoneId
    peer_address: str
    http_address: str
