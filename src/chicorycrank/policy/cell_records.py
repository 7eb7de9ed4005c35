"""Workers, jobs and reservations that a cell holds."""

from dataclasses import dataclass
from math import inf

from chicorycrank.model.ids import JobId, RackId, TargetId, TeamId, Workload, ZoneId
from chicorycrank.model.jobs import GangShape, MemberPlacement, WorkKind
from chicorycrank.policy.placement import ANY_WORKER, PlacementRule
from chicorycrank.policy.pool import WorkerMasks

NO_WORKLOAD = Workload("")  # of jobs that are not told apart
DEFAULT_EVICTION_LOSS_S = 30.0  # covers the checkpoint, the grace period and the next start


@dataclass(kw_only=True)
class WorkerState:
    """Capacity and state of a worker.

    :param available: false while the worker drains, is unreachable or is quarantined
    """

    worker: TargetId
    rack: RackId
    zone: ZoneId
    accelerators: int
    cores: int
    memory_gb: int
    available: bool = True


@dataclass(frozen=True, kw_only=True)
class QueuedJob:
    """Job that waits for accelerators.

    :param run_time_s: remaining declared run time in seconds
    :param submitted_s: submission time in seconds, on the same clock as ``now_s`` of ``decide``
    :param priority: smaller numbers come first among jobs that are not urgent
    :param eviction_loss_s: seconds of work that an eviction loses if the job saves checkpoints
    :param max_lost_s: accelerator seconds of work that evictions for this job may lose, if it is
        urgent and outside of its team's quota
    :param precedence: smaller numbers come first, among urgent jobs and within a team
    :param pinned: the job may not be evicted while it runs
    :param can_wait: the job ends in time even if it starts later, so it may not use headroom
    :param preferred: sets of workers to try in order before all allowed workers; for an urgent job
        the last set contains the others, and work there is evicted before other workers are used
    :param workload: what the job runs; jobs of one workload behave alike
    :param packs: the job has one member and goes to workers and racks that are already in use
    """

    job_id: JobId
    team: TeamId
    shape: GangShape
    run_time_s: float
    submitted_s: float
    urgent: bool = False
    checkpointable: bool = False
    priority: int = 0
    rule: PlacementRule = ANY_WORKER
    eviction_loss_s: float = DEFAULT_EVICTION_LOSS_S
    max_lost_s: float = inf
    precedence: float = 0.0
    pinned: bool = False
    can_wait: bool = False
    preferred: tuple[frozenset[TargetId], ...] = ()
    workload: Workload = NO_WORKLOAD
    packs: bool = False

    @property
    def is_late_urgent(self) -> bool:
        """Whether the job is urgent and too late for evictions, which would discard more work."""
        return self.urgent and self.max_lost_s <= 0.0

    @property
    def is_exempt_from_urgent(self) -> bool:
        """Whether the job is not part of ``Cell.reclaimable``, which urgent jobs may evict."""
        return self.urgent or self.pinned


@dataclass(frozen=True, kw_only=True)
class RunningJob:
    """Job that occupies accelerators.

    :param stopping: an eviction was requested and has not completed
    :param backfill: the job was started on accelerators reserved for another job
    """

    job: QueuedJob
    placement: tuple[MemberPlacement, ...]
    kind: WorkKind
    started_s: float
    stopping: bool = False
    backfill: bool = False


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Accelerators reserved for a waiting job.

    :param expected_start_s: time at which the accelerators are expected to be free
    :param cost_s: expected free time at creation, plus a penalty if the accelerators are reserved
        for a guarantee
    :param created_s: time of creation
    :param closed_since_s: time since which one of its workers is closed; None if all are open
    """

    job_id: JobId
    worker_masks: WorkerMasks
    expected_start_s: float
    cost_s: float
    created_s: float
    closed_since_s: float | None = None
