"""Decoders of the external platform's JSON documents.

They are the configuration and the submitted jobs.
"""

import msgspec
from msgspec import Struct

from chicorycrank.model.batch import (
    Advice,
    BatchConfig,
    BatchTeam,
    Queue,
    Step,
    Submission,
)
from chicorycrank.model.ids import JobId, QueueId, ServiceId, TeamId

CONFIG_STORE_KEY = "op/config"
MAX_PAYLOAD_BYTES = 4000
# A job is one value of the store, with its payload and the configuration of its queue.
MAX_JOB_BYTES = 262_144
# The time of a plan grows with the steps that may run.
MAX_STEPS = 1000
MAX_NUMBER = 2**53 - 1  # the largest integer that all JSON libraries keep
NUMBERS_OF_A_STEP = (
    "count",
    "cpu",
    "mem_mb",
    "gpus",
    "estimated_ms",
    "anti_affinity",
    "target_ms",
    "max_unavailable",
)


class DocumentError(Exception):
    """A document is malformed or has invalid values."""


class _Advice(Struct, rename="camel"):
    """Response times of the advice service, which selects the executors that may run a step.

    :param decision_ms: fixed part of the response time in milliseconds
    :param period_ms: additional response time in milliseconds for each executor in the query
    :param validity_ms: time in milliseconds for which a response is valid
    """

    decision_ms: float = 0
    period_ms: float = 0
    validity_ms: float = 0


class _Route(Struct, rename="camel"):
    """Configuration of a queue.

    :param slack_factor: allowed completion time of a job as a multiple of its run time
    :param target_latency_ms: time in milliseconds that is added to this completion time
    :param recommendation: response times of the advice service; None if the queue does not use it
    """

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
    """Quota of a team: the number of accelerators guaranteed to its jobs of priority 0."""

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
    """Step of a job; clients omit fields whose value is 0, false or empty.

    The other fields have the meaning of the fields of :class:`~chicorycrank.model.batch.Step` with
    the same name.

    :param cpu: processor share of each task in thousandths of a core
    :param mem_mb: memory of each task in megabytes
    :param gpus: accelerators of each task
    :param estimated_ms: declared run time of a task in milliseconds
    :param constraints: label that an executor must have; empty for any executor
    :param affinity: rack of the input data
    :param anti_affinity: largest number of tasks of the step on one executor; 0 for no limit
    :param target_ms: upper bound of the tail latency in milliseconds if the tasks serve users,
        otherwise 0
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
    """Body of a submission.

    :param spec: opaque text that is passed to each task
    :param start_at_ms: Unix time of the first occurrence in milliseconds
    :param repeat_count: number of occurrences; 0 for a job that runs once, without delay
    :param interval_ms: time between occurrences in milliseconds
    """

    spec: str = ""
    steps: list[_Step] = []
    start_at_ms: int = 0
    repeat_count: int = 0
    interval_ms: int = 0


def decode_config(data: bytes) -> BatchConfig:
    """Decode the operator's configuration.

    :raises DocumentError: the configuration cannot be decoded
    """
    try:
        document = msgspec.json.decode(data, type=_Config)
    except msgspec.DecodeError as error:
        raise DocumentError(f"configuration: {error}") from error
    return BatchConfig(
        version=document.version,
        queues=tuple(_decode_queue(route) for route in document.routes),
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


def _decode_queue(route: _Route) -> Queue:
    advice = route.recommendation
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
            decision_s=advice.decision_ms / 1000,
            per_worker_s=advice.period_ms / 1000,
            validity_s=advice.validity_ms / 1000,
        )
        if advice
        else None,
    )


def decode_job(
    data: bytes, *, job_id: JobId, queue: Queue, team: TeamId, now_ms: int
) -> Submission:
    """Decode the body of a submission.

    :raises DocumentError: the job cannot be decoded, or exceeds a limit
    """
    try:
        job = msgspec.json.decode(data, type=_Job)
    except msgspec.DecodeError as error:
        raise DocumentError(f"job: {error}") from error
    _check_job(job, len(data))
    return Submission(
        job_id=job_id,
        queue=queue,
        team=team,
        payload=job.spec,
        steps=tuple(_decode_step(step) for step in job.steps),
        submitted_at_ms=now_ms,
        repeat_count=job.repeat_count,
        first_at_ms=job.start_at_ms,
        interval_ms=job.interval_ms,
    )


def _check_job(job: _Job, size_bytes: int) -> None:
    """Check the limits of a job; the message names the value and the limit.

    :param size_bytes: size of the encoded job
    """
    check_range("job", "the body in bytes", size_bytes, 0, MAX_JOB_BYTES)
    check_range("job", "`spec` in bytes", len(job.spec.encode()), 0, MAX_PAYLOAD_BYTES)
    check_range("job", "the number of steps", len(job.steps), 1, MAX_STEPS)
    for name in ("repeat_count", "start_at_ms", "interval_ms"):
        check_range("job", f"`{camel_case(name)}`", getattr(job, name), 0, MAX_NUMBER)
    for number, step in enumerate(job.steps):
        for name in NUMBERS_OF_A_STEP:
            low = 1 if name == "count" else 0
            check_range(
                "job",
                f"`{camel_case(name)}` of step {number}",
                getattr(step, name),
                low,
                MAX_NUMBER,
            )
        for other in step.after:
            check_range("job", f"an index in `after` of step {number}", other, 0, number - 1)


def check_range(document: str, what: str, value: float, low: int, high: int) -> None:
    """Check a number in a document.

    :raises DocumentError: it is out of the range
    """
    if not low <= value <= high:
        raise DocumentError(f"{document}: {what} is {value}, expected {low} to {high}")


def camel_case(name: str) -> str:
    """Return the name of a field in the platform's documents."""
    first, *others = name.split("_")
    return first + "".join(map(str.title, others))


def _decode_step(step: _Step) -> Step:
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
