"""Admission checks for jobs that can never run and guarantees that cannot be placed."""

from collections.abc import Iterable, Mapping
from enum import Enum

from msgspec import Struct

from chicorycrank.model.config import Guarantee, Team
from chicorycrank.model.ids import GuaranteeId, RackId, TeamId
from chicorycrank.model.jobs import Adjacency, GangShape, JobSpec
from chicorycrank.policy.cell import WorkerState
from chicorycrank.policy.guarantees import GuaranteePlacements
from chicorycrank.policy.packing import blocks, full_mask


class FindingCode(Enum):
    """Reason for a finding."""

    UNKNOWN_TEAM = "unknown_team"
    EMPTY_SHAPE = "empty_shape"
    BAD_RUN_TIME = "bad_run_time"
    TOO_MANY_ACCELERATORS = "too_many_accelerators"
    TOO_MANY_CORES = "too_many_cores"
    TOO_MUCH_MEMORY = "too_much_memory"
    GANG_TOO_LARGE = "gang_too_large"
    GUARANTEE_DOES_NOT_FIT = "guarantee_does_not_fit"


class Finding(Struct, frozen=True, kw_only=True):
    """Problem found in a job or a release.

    :param field: path of the invalid field
    """

    code: FindingCode
    field: str
    message: str


def check_job(
    spec: JobSpec, workers: Iterable[WorkerState], teams: Mapping[TeamId, Team]
) -> list[Finding]:
    """Return every reason why a job can never run on these workers.

    Unavailable workers are included because they may become available again.
    """
    findings: list[Finding] = []
    worker_list = list(workers)
    if spec.team not in teams:
        findings.append(_finding(FindingCode.UNKNOWN_TEAM, "team", f"no team {spec.team!r}"))
    if not spec.run_time_s > 0:
        text = f"run time must be greater than 0 s, got {spec.run_time_s:g} s"
        findings.append(_finding(FindingCode.BAD_RUN_TIME, "run_time_s", text))
    if spec.shape.members < 1 or spec.shape.accelerators < 1:
        text = "a gang needs at least one member with one accelerator"
        findings.append(_finding(FindingCode.EMPTY_SHAPE, "shape", text))
        return findings
    size_findings = _check_member(spec.shape, worker_list)
    findings += size_findings
    if not size_findings:
        findings += _check_gang(spec.shape, worker_list)
    return findings


def check_guarantees(
    workers: Iterable[WorkerState], guarantees: Mapping[GuaranteeId, Guarantee]
) -> list[Finding]:
    """Return a finding for each guarantee that does not fit together with the others."""
    placements = GuaranteePlacements()
    for worker in workers:
        mask = full_mask(worker.accelerators)
        placements.capacity_by_worker[worker.worker] = (mask, worker.cores, worker.memory_gb)
        placements.pool.add(worker.worker, worker.rack, mask, worker.cores, worker.memory_gb)
    placements.set_guarantees(guarantees)
    placements.place_unplaced()
    unplaced_count_by_id: dict[GuaranteeId, int] = {}
    for instance in placements.unplaced():
        unplaced_count_by_id[instance.key[0]] = unplaced_count_by_id.get(instance.key[0], 0) + 1
    findings = []
    for key in sorted(unplaced_count_by_id):
        guarantee = guarantees[key]
        text = (
            f"{unplaced_count_by_id[key]} of {guarantee.count} instances of "
            f"{_describe(guarantee.shape)} for team {guarantee.team!r} "
            f"cannot be placed beside the other guarantees"
        )
        findings.append(_finding(FindingCode.GUARANTEE_DOES_NOT_FIT, f"guarantees.{key}", text))
    return findings


def _check_member(shape: GangShape, workers: list[WorkerState]) -> list[Finding]:
    limits = (
        (
            FindingCode.TOO_MANY_ACCELERATORS,
            "shape.accelerators",
            shape.accelerators,
            max((worker.accelerators for worker in workers), default=0),
            "accelerators",
        ),
        (
            FindingCode.TOO_MANY_CORES,
            "shape.cores",
            shape.cores,
            max((worker.cores for worker in workers), default=0),
            "cores",
        ),
        (
            FindingCode.TOO_MUCH_MEMORY,
            "shape.memory_gb",
            shape.memory_gb,
            max((worker.memory_gb for worker in workers), default=0),
            "GB of memory",
        ),
    )
    return [
        _finding(code, field, f"a member needs {needed} {unit}; no worker has more than {limit}")
        for code, field, needed, limit, unit in limits
        if needed > limit
    ]


def _check_gang(shape: GangShape, workers: list[WorkerState]) -> list[Finding]:
    members_by_rack: dict[RackId, int] = {}
    max_on_worker = 0
    for worker in workers:
        count = members_on_worker(worker, shape)
        max_on_worker = max(max_on_worker, count)
        members_by_rack[worker.rack] = members_by_rack.get(worker.rack, 0) + count
    if shape.adjacency is Adjacency.WORKER:
        limit, scope = max_on_worker, "worker"
    elif shape.adjacency is Adjacency.RACK:
        limit, scope = max(members_by_rack.values(), default=0), "rack"
    else:
        limit, scope = sum(members_by_rack.values()), "region"
    if limit >= shape.members:
        return []
    text = f"{_describe(shape)} does not fit: no {scope} holds more than {limit} such members"
    return [_finding(FindingCode.GANG_TOO_LARGE, "shape.members", text)]


def members_on_worker(worker: WorkerState, shape: GangShape) -> int:
    """Return how many members of a gang an empty worker holds, the whole gang at most."""
    count = shape.members
    if shape.accelerators:
        count = min(count, len(blocks(full_mask(worker.accelerators), shape.accelerators)))
    if shape.cores:
        count = min(count, worker.cores // shape.cores)
    if shape.memory_gb:
        count = min(count, worker.memory_gb // shape.memory_gb)
    return count


def _describe(shape: GangShape) -> str:
    return f"{shape.members} x {shape.accelerators} accelerators ({shape.adjacency.value})"


def _finding(code: FindingCode, field: str, message: str) -> Finding:
    return Finding(code=code, field=field, message=message)
