"""HTTP resource ``/v1/jobs``."""

import math
import uuid
from http import HTTPStatus

import cherrypy
import msgspec

from chicorycrank.entry.http_common import (
    STATUS_BY_OUTCOME,
    LoopBridge,
    send_json,
    send_problem,
)
from chicorycrank.entry.jobs import JobFront, cell_of, make_job_id
from chicorycrank.model.ids import CellId, JobId
from chicorycrank.model.jobs import JobSpec
from chicorycrank.model.messages import AnyMessage, JobReply, QueryJob, Refused, SubmitJob
from chicorycrank.model.requests import Outcome

UNKNOWN_CODES = frozenset({"no_reply", "write_unconfirmed"})
STATUS_BY_CODE = {
    "no_such_job": HTTPStatus.NOT_FOUND,
    "key_conflict": HTTPStatus.CONFLICT,
}


class JobResource:
    """Serves jobs of operators.

    :param cell: cell of jobs that name no region
    """

    def __init__(self, front: JobFront, bridge: LoopBridge, cell: CellId) -> None:
        self._front = front
        self._bridge = bridge
        self._cell = cell

    def post(self) -> bytes:
        """Submit a job."""
        try:
            spec = msgspec.json.decode(cherrypy.request.body.read(), type=JobSpec)
        except msgspec.DecodeError as error:
            return send_problem(HTTPStatus.BAD_REQUEST, Outcome.NOT_RUN, str(error))
        key = cherrypy.request.headers.get("Idempotency-Key") or uuid.uuid4().hex
        cell = CellId(spec.region or self._cell)
        job_id = make_job_id(cell, spec.team, key)
        return self._ask(cell, SubmitJob(job_id, spec))

    def get(self, job_id: JobId) -> bytes:
        """Return a job record."""
        return self._ask(cell_of(job_id), QueryJob(job_id))

    def _ask(self, cell: CellId, message: AnyMessage) -> bytes:
        return _send_reply(self._bridge.call(self._front.ask(cell, message)))


def _send_reply(reply: AnyMessage) -> bytes:
    if isinstance(reply, JobReply):
        return send_json(msgspec.to_builtins(reply.record, str_keys=True))
    if isinstance(reply, Refused):
        outcome = Outcome.UNKNOWN if reply.code in UNKNOWN_CODES else Outcome.NOT_RUN
        status = STATUS_BY_CODE.get(reply.code, STATUS_BY_OUTCOME[outcome])
        if reply.retry_after_s:
            cherrypy.response.headers["Retry-After"] = str(math.ceil(reply.retry_after_s))
        return send_problem(status, outcome, reply.detail or reply.code, code=reply.code)
    return send_problem(HTTPStatus.INTERNAL_SERVER_ERROR, Outcome.UNKNOWN, "unexpected reply")
