"""Decoder of the reports that an executor sends to its agent."""

import msgspec
from msgspec import Struct

from chicorycrank.model.batch import WorkerReport, WorkerState
from chicorycrank.model.ids import RackId, ServiceId
from chicorycrank.platform.documents import MAX_NUMBER, DocumentError, camel_case, check_range
from chicorycrank.platform.executor import incarnation_of

WORKER_STATE_BY_NAME = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}
RACK_LABEL_INDEX = 1  # The first label of an executor is the machine type, the second the rack.


class _Capacity(Struct, rename="camel"):
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0


class _ReportDocument(Struct, rename="camel"):
    """Report that an executor sends to its agent periodically.

    It is the executor's part of a :class:`~chicorycrank.model.batch.WorkerReport`.

    :param seq: sequence number among the reports of an incarnation
    :param labels: machine type and rack, in this order
    :param born: start time of the incarnation in milliseconds
    :param remaining_ms: minimum time in milliseconds before a draining executor shuts down
    :param clock_ms: reading of the executor's clock in milliseconds
    :param cold_remaining_ms: time in milliseconds for which the executor is still slow
    """

    service: str
    state: str
    seq: int
    capacity: _Capacity
    labels: list[str]
    clock_ms: int
    zone: str = ""
    born: int = 0
    remaining_ms: int = 0
    cold_remaining_ms: float = 0


class NumberedReport(Struct, frozen=True, kw_only=True):
    """Decoded report of an executor, with its sequence number.

    :param report: the executor's part of the worker report; the agent adds its fencing token and
        the state of the runs
    :param number: sequence number among the reports of an incarnation
    :param started_at_ms: start time of the incarnation in milliseconds
    :param clock_ms: reading of the executor's clock in milliseconds
    """

    report: WorkerReport
    number: int
    started_at_ms: int
    clock_ms: int


def decode_report(executor_id: str, data: bytes) -> NumberedReport:
    """Decode the report of an executor.

    :raises DocumentError: the report cannot be decoded, or its state or capacity is invalid
    """
    try:
        document = msgspec.json.decode(data, type=_ReportDocument)
    except msgspec.DecodeError as error:
        raise DocumentError(f"report of {executor_id}: {error}") from error
    for name in ("cpu", "mem_mb", "gpus"):
        number = getattr(document.capacity, name)
        check_range(f"report of {executor_id}", f"`{camel_case(name)}`", number, 0, MAX_NUMBER)
    if document.state not in WORKER_STATE_BY_NAME:
        raise DocumentError(
            f"report of {executor_id}: unknown state {document.state!r}, expected ready or draining"
        )
    report = WorkerReport(
        incarnation=incarnation_of(executor_id, document.born),
        executor=executor_id,
        started_at_ms=document.born,
        service=ServiceId(document.service),
        zone=document.zone,
        state=WORKER_STATE_BY_NAME[document.state],
        accelerators=document.capacity.gpus,
        cores=document.capacity.cpu,
        memory_mb=document.capacity.mem_mb,
        labels=tuple(document.labels),
        rack=RackId(document.labels[RACK_LABEL_INDEX])
        if len(document.labels) > RACK_LABEL_INDEX
        else RackId(""),
        remaining_ms=document.remaining_ms,
        is_cold=document.cold_remaining_ms > 0,
    )
    return NumberedReport(
        report=report, number=document.seq, started_at_ms=document.born, clock_ms=document.clock_ms
    )
