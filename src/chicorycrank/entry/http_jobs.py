"""Serve the HTTP resource ``/v1/jobs`` and the release of quarantined workers."""

import json
import math
import threading
from http import HTTPStatus

import cherrypy
import msgspec

from chicorycrank.entry.cell_jobs import MAX_WAIT_S
from chicorycrank.entry.http_common import (
    STATUS_BY_OUTCOME,
    LoopBridge,
    send_json,
    send_problem,
)
from chicorycrank.entry.job_check import read_spec
from chicorycrank.entry.job_router import JOB_CALL_TIMEOUT_S, CellReplies, JobRouter, cell_of
from chicorycrank.model.ids import Generation, JobId, TargetId
from chicorycrank.model.jobs import JobRecord, JobSpec, JobState
from chicorycrank.model.messages import (
    AnyMessage,
    CancelJob,
    ExplainJob,
    JobFinding,
    JobFindings,
    JobList,
    JobReply,
    ListJobs,
    Ok,
    QueryJob,
    Refused,
    ReleaseQuarantine,
    Text,
)
from chicorycrank.model.requests import Outcome

UNKNOWN_CODES = frozenset({"no_reply", "write_unconfirmed"})
STATUS_BY_CODE = {
    "no_such_job": HTTPStatus.NOT_FOUND,
    "no_such_target": HTTPStatus.NOT_FOUND,
    "key_conflict": HTTPStatus.CONFLICT,
    "generation_conflict": HTTPStatus.CONFLICT,
    "queue_full": HTTPStatus.TOO_MANY_REQUESTS,
}


class JobResource:
    """HTTP resource of jobs.

    :param max_waiting: number of status calls that may wait for a change at the same time; each
        of them occupies a thread of the server, so further ones are answered at once
    """

    def __init__(self, router: JobRouter, bridge: LoopBridge, *, max_waiting: int) -> None:
        self._router = router
        self._bridge = bridge
        self._where_slot = threading.BoundedSemaphore(1)
        self._wait_slots = threading.BoundedSemaphore(max_waiting)

    def post(self) -> bytes:
        """Submit a job."""
        spec = read_spec(cherrypy.request.body.read(), self._router.config)
        if not isinstance(spec, JobSpec):
            return _send_findings(spec)
        key = cherrypy.request.headers.get("Idempotency-Key") or None
        coroutine = self._router.submit(spec, key)
        return _send_reply(self._bridge.call(coroutine, timeout_s=JOB_CALL_TIMEOUT_S))

    def where(self) -> bytes:
        """Return where a job would go now, without submitting it.

        One call at a time, as the leader of the cell does nothing else while it copies its state.
        """
        if not self._where_slot.acquire(blocking=False):
            cherrypy.response.headers["Retry-After"] = "1"
            detail = "another call asks where a job would go"
            return send_problem(HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, detail)
        try:
            return self._where()
        finally:
            self._where_slot.release()

    def _where(self) -> bytes:
        spec = read_spec(cherrypy.request.body.read(), self._router.config)
        if not isinstance(spec, JobSpec):
            return _send_findings(spec)
        return _send_reply(
            self._bridge.call(self._router.where(spec), timeout_s=JOB_CALL_TIMEOUT_S)
        )

    def get(self, job_id: JobId, query: dict[str, str]) -> bytes:
        """Return a job record; wait for a change if the query names a generation."""
        try:
            above_generation = Generation(int(query.get("generation", -1)))
            wait_s = min(max(float(query.get("wait_s", 0)), 0.0), MAX_WAIT_S)
        except ValueError as error:
            return _send_bad_query(str(error))
        if math.isnan(wait_s):
            return _send_bad_query("wait_s must be a number, not nan")
        if "generation" not in query or not self._wait_slots.acquire(blocking=False):
            return self._call_cell(job_id, QueryJob(job_id))
        try:
            return self._call_cell(job_id, QueryJob(job_id, above_generation, wait_s), 2 * wait_s)
        finally:
            self._wait_slots.release()

    def delete(self, job_id: JobId, query: dict[str, str]) -> bytes:
        """Cancel a job."""
        generation_text = query.get("if_generation")
        try:
            if_generation = (
                Generation(int(generation_text)) if generation_text is not None else None
            )
        except ValueError as error:
            return _send_bad_query(str(error))
        return self._call_cell(job_id, CancelJob(job_id, if_generation))

    def explain(self, job_id: JobId) -> bytes:
        """Return the reason why a job waits or was evicted."""
        return self._call_cell(job_id, ExplainJob(job_id))

    def list(self, query: dict[str, str]) -> bytes:
        """Return the jobs of all cells that reply, and the unreachable cells."""
        try:
            state = JobState(query["state"]) if query.get("state") else None
        except ValueError:
            states = ", ".join(state.value for state in JobState)
            return _send_bad_query(f"state must be one of {states}")
        message = ListJobs(query.get("team", ""), state)
        answers = self._bridge.call(
            self._router.send_to_all_leaders(message), timeout_s=JOB_CALL_TIMEOUT_S
        )
        return send_json(_merge_job_lists(answers))

    def release_quarantine(self, worker: TargetId) -> bytes:
        """Release a worker from quarantine."""
        coroutine = self._router.release_quarantine(ReleaseQuarantine(worker))
        reply = self._bridge.call(coroutine, timeout_s=JOB_CALL_TIMEOUT_S)
        if isinstance(reply, Ok):
            return send_json({"target": worker, "quarantined": False})
        return _send_reply(reply)

    def _call_cell(self, job_id: JobId, message: AnyMessage, wait_s: float = 0.0) -> bytes:
        coroutine = self._router.send_to_leader(cell_of(job_id), message)
        return _send_reply(self._bridge.call(coroutine, timeout_s=JOB_CALL_TIMEOUT_S + wait_s))


def _merge_job_lists(answers: CellReplies) -> dict[str, object]:
    job_lists = [reply for reply in answers.reply_by_cell.values() if isinstance(reply, JobList)]
    records = [record for answer in job_lists for record in answer.records]
    records.sort(key=lambda record: (record.submitted_at, record.job_id), reverse=True)
    return {
        "jobs": [_to_builtins(record) for record in records],
        "omitted": sum(answer.omitted for answer in job_lists),
        "unreachable_cells": [
            cell for cell, reply in answers.reply_by_cell.items() if not isinstance(reply, JobList)
        ],
    }


def _to_builtins(record: JobRecord) -> object:
    return msgspec.to_builtins(record, str_keys=True)


def _send_bad_query(detail: str) -> bytes:
    return send_problem(HTTPStatus.BAD_REQUEST, Outcome.NOT_RUN, detail)


def _send_findings(findings: tuple[JobFinding, ...]) -> bytes:
    detail = "; ".join(f"{finding.field or 'body'}: {finding.message}" for finding in findings)
    finding_documents = [
        {"code": finding.code, "field": finding.field, "message": finding.message}
        for finding in findings
    ]
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    return send_problem(status, Outcome.NOT_RUN, detail, findings=finding_documents)


def _send_reply(reply: AnyMessage) -> bytes:
    if isinstance(reply, JobReply):
        return send_json(_to_builtins(reply.record))
    if isinstance(reply, Text):
        return send_json(json.loads(reply.text))
    if isinstance(reply, JobFindings):
        return _send_findings(reply.findings)
    if isinstance(reply, Refused):
        outcome = Outcome.UNKNOWN if reply.code in UNKNOWN_CODES else Outcome.NOT_RUN
        status = STATUS_BY_CODE.get(reply.code, STATUS_BY_OUTCOME[outcome])
        if reply.retry_after_s:
            cherrypy.response.headers["Retry-After"] = str(math.ceil(reply.retry_after_s))
        return send_problem(status, outcome, reply.detail or reply.code, code=reply.code)
    return send_problem(HTTPStatus.INTERNAL_SERVER_ERROR, Outcome.UNKNOWN, "unexpected reply")
