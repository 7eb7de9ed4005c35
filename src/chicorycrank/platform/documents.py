"""Decodes the documents of the operator, of clients and of executors."""

from collections.abc import Iterable
from typing import Any

import msgspec
from msgspec import Struct

from chicorycrank.model.batch import (
    Advice,
    BatchConfig,
    BatchTeam,
    Queue,
    Step,
    Submission,
    WorkerReport,
    WorkerState,
)
from chicorycrank.model.ids import JobId, QueueId, RackId, ServiceId, TeamId
from chicorycrank.platform.executor import incarnation_of

CONFIG_KEY = "op/config"
WORKER_STATES = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}
MAX_PAYLOAD_BYTES = 4000
RACK_LABEL = 1  # the labels of an executor are its kind and its rack


class DocumentError(Exception):
    """A document cannot be used."""


class _Advice(Struct, rename="camel"):
    """``periodMs`` is the time of an answer for each worker named in the call."""

    decision_ms: float = 0
    period_ms: float = 0
    validity_ms: float = 0


class _Route(Struct, rename="camel"):
    """A queue. ``slackFactor`` bounds the completion time, not the wait."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 1
    max_attempts: int = 1
    timeout_ms: float = 0
    target_latency_ms: float = 0
    slack_factor: float = 1
    allow_anonymous: bool = False
    recommendation: _Advice | None = None


class _Guaranteed(Struct, rename="camel"):
    gpus: int = 0


class _Tenant(Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    guaranteed: _Guaranteed | None = None


class _Limits(Struct, rename="camel"):
    max_body_bytes: int = 262_144


class _Config(Struct, rename="camel"):
    version: int
    routes: list[_Route]
    tenants: list[_Tenant] = []
    limits: _Limits | None = None


class _Step(Struct, rename="camel"):
    """Fields of value 0, false or empty are left out.

    ``constraints`` is one label, ``affinity`` the rack of the data, and ``antiAffinity`` the
    number of tasks allowed on one executor.
    """

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0
    estimated_ms: float = 0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    constraints: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    max_unavailable: int = 0


class _Job(Struct, rename="camel"):
    spec: str = ""
    steps: list[_Step] = []
    start_at_ms: int = 0
    repeat_count: int = 0
    interval_ms: int = 0


class _Capacity(Struct, rename="camel"):
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0


class _Beat(Struct, rename="camel"):
    """``labels`` holds the kind of the machine and its rack; ``seq`` orders the reports."""

    service: str
    state: str
    seq: int
    capacity: _Capacity
    labels: list[str]
    zone: str = ""
    born: int = 0
    remaining_ms: int = 0
    clock_ms: int = 0


def decode_config(data: bytes) -> BatchConfig:
    """Decode the operator's configuration.

    :raises DocumentError: it cannot be read
    """
    try:
        document = msgspec.json.decode(data, type=_Config)
    except msgspec.DecodeError as error:
        raise DocumentError(f"configuration: {error}") from error
    return BatchConfig(
        version=document.version,
        queues=tuple(_queue(route) for route in document.routes),
        teams=tuple(
            BatchTeam(
                team=TeamId(tenant.name),
                keys=tuple(tenant.api_keys),
                quota=tenant.guaranteed.gpus if tenant.guaranteed else 0,
            )
            for tenant in document.tenants
        ),
        max_body_bytes=(document.limits or _Limits()).max_body_bytes,
    )


def _queue(route: _Route) -> Queue:
    asked = route.recommendation
    return Queue(
        queue_id=QueueId(route.name),
        host=route.host,
        prefix=route.prefix,
        service=ServiceId(route.service),
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        timeout_s=route.timeout_ms / 1000,
        target_latency_s=route.target_latency_ms / 1000,
        slack=route.slack_factor,
        anonymous=route.allow_anonymous,
        advice=Advice(
            decision_s=asked.decision_ms / 1000,
            per_worker_s=asked.period_ms / 1000,
            validity_s=asked.validity_ms / 1000,
        )
        if asked
        else None,
    )


def decode_job(
    data: bytes, *, job_id: JobId, queue: Queue, team: TeamId, now_ms: int
) -> Submission:
    """Decode the body of a submission.

    :raises DocumentError: it cannot be read
    """
    try:
        job = msgspec.json.decode(data, type=_Job)
    except msgspec.DecodeError as error:
        raise DocumentError(f"job: {error}") from error
    _check_steps(job)
    return Submission(
        job_id=job_id,
        queue=queue,
        team=team,
        payload=job.spec,
        steps=tuple(_step(step) for step in job.steps),
        submitted_at_ms=now_ms,
        repeat_count=job.repeat_count,
        first_at_ms=job.start_at_ms,
        interval_ms=job.interval_ms,
    )


def _check_steps(job: _Job) -> None:
    if not job.steps or len(job.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise DocumentError("job: no steps, or its text is too long")
    for number, step in enumerate(job.steps):
        if step.count < 1 or any(not 0 <= other < number for other in step.after):
            raise DocumentError(f"job: step {number} has no tasks or comes after a later step")


def _step(step: _Step) -> Step:
    return Step(
        count=step.count,
        accelerators=step.gpus,
        cores=step.cpu,
        memory_mb=step.mem_mb,
        run_time_s=max(step.estimated_ms, 1) / 1000,
        after=tuple(step.after),
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.constraints,
        data_rack=step.affinity,
        max_per_worker=step.anti_affinity,
        checkpointing=step.checkpointing,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        target_latency_s=step.target_ms / 1000,
        fills=step.fills,
        max_unavailable=step.max_unavailable,
    )


class Beat(Struct, frozen=True, kw_only=True):
    """A report of an executor about itself.

    :param number: order of the reports of an incarnation
    """

    report: WorkerReport
    number: int
    born_ms: int
    clock_ms: int


def decode_beat(executor_id: str, data: bytes) -> Beat:
    """Decode the report of an executor.

    :raises DocumentError: it cannot be read, or its state is not known
    """
    try:
        beat = msgspec.json.decode(data, type=_Beat)
    except msgspec.DecodeError as error:
        raise DocumentError(f"report of {executor_id}: {error}") from error
    if beat.state not in WORKER_STATES:
        raise DocumentError(f"report of {executor_id}: unknown state {beat.state!r}")
    report = WorkerReport(
        incarnation=incarnation_of(executor_id, beat.born),
        executor=executor_id,
        service=ServiceId(beat.service),
        zone=beat.zone,
        state=WORKER_STATES[beat.state],
        accelerators=beat.capacity.gpus,
        cores=beat.capacity.cpu,
        memory_mb=beat.capacity.mem_mb,
        labels=tuple(beat.labels),
        rack=RackId(beat.labels[RACK_LABEL]) if len(beat.labels) > RACK_LABEL else RackId(""),
        remaining_ms=beat.remaining_ms,
    )
    return Beat(report=report, number=beat.seq, born_ms=beat.born, clock_ms=beat.clock_ms)


class Machine(Struct, frozen=True, kw_only=True):
    """A machine as the platform lists it."""

    machine: str
    pool: str
    state: str
    executor: str


def decode_machines(rows: Iterable[Any]) -> list[Machine]:
    """Decode a page of machines; rows that cannot be read are left out."""
    return [
        Machine(
            machine=row["machine"],
            pool=str(row.get("pool", "")),
            state=str(row.get("state", "")),
            executor=str(row.get("id") or ""),
        )
        for row in rows
        if isinstance(row, dict) and isinstance(row.get("machine"), str)
    ]
