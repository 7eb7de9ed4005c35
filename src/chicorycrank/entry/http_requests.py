"""HTTP resource ``/v1/requests``."""

import json
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
from chicorycrank.entry.requests import RequestFront
from chicorycrank.model.ids import RequestKey, ServiceId, TeamId
from chicorycrank.model.requests import Answer, Outcome, Request, RequestClass


class RequestBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/requests``."""

    team: TeamId
    service: ServiceId
    repeatable: bool = True
    request_class: RequestClass = RequestClass.PATIENT
    deadline_s: float = 30.0
    body: msgspec.Raw = msgspec.Raw(b"null")


class RequestResource:
    """Serves requests of callers."""

    def __init__(self, front: RequestFront, bridge: LoopBridge) -> None:
        self._front = front
        self._bridge = bridge

    def post(self) -> bytes:
        """Run a request and return its outcome."""
        try:
            body = msgspec.json.decode(cherrypy.request.body.read(), type=RequestBody)
        except msgspec.DecodeError as error:
            return send_problem(HTTPStatus.BAD_REQUEST, Outcome.NOT_RUN, str(error))
        key = cherrypy.request.headers.get("Idempotency-Key") or uuid.uuid4().hex
        request = Request(
            key=RequestKey(key),
            team=body.team,
            service=body.service,
            request_class=body.request_class,
            repeatable=body.repeatable,
            deadline_s=body.deadline_s,
            body=bytes(body.body),
        )
        answer = self._bridge.call(self._front.answer(request), timeout_s=body.deadline_s)
        return _send_answer(answer, key)


def _send_answer(answer: Answer, key: str) -> bytes:
    cherrypy.response.headers["Idempotency-Key"] = key
    status = STATUS_BY_OUTCOME[answer.outcome]
    if answer.outcome is not Outcome.COMPLETED:
        if answer.retry_after_s is not None:
            cherrypy.response.headers["Retry-After"] = str(int(answer.retry_after_s) or 1)
        return send_problem(status, answer.outcome, answer.detail, key=key)
    document = {
        "outcome": answer.outcome.value,
        "key": key,
        "target": answer.target,
        "answer": json.loads(answer.body or b"null"),
    }
    return send_json(document, status)
