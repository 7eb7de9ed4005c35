"""Serve the HTTP resource ``/v1/requests``."""

import json
import math
import threading
from dataclasses import asdict
from http import HTTPStatus

import cherrypy
import msgspec

from chicorycrank.entry.at_most_once import KEY_REUSED_DETAIL
from chicorycrank.entry.http_common import (
    STATUS_BY_OUTCOME,
    LoopBridge,
    send_json,
    send_problem,
)
from chicorycrank.entry.request_check import Rejection, check_request
from chicorycrank.entry.requests import RequestFrontend
from chicorycrank.model.ids import RequestKey
from chicorycrank.model.requests import Answer, Outcome, Request
from chicorycrank.ports.store import StoreError

BUSY_RETRY_AFTER_S = "1"


class RequestResource:
    """HTTP resource of callers' requests.

    :param max_running: number of calls that may wait for an answer at the same time; the server's
        other threads stay free for health checks, status calls and refusals
    """

    def __init__(self, frontend: RequestFrontend, bridge: LoopBridge, *, max_running: int) -> None:
        self._frontend = frontend
        self._bridge = bridge
        self._call_slots = threading.BoundedSemaphore(max_running)

    def post(self) -> bytes:
        """Run a request and return its outcome."""
        if not self._call_slots.acquire(blocking=False):
            cherrypy.response.headers["Retry-After"] = BUSY_RETRY_AFTER_S
            detail = "the entry already serves its maximum number of calls"
            return send_problem(HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN, detail)
        try:
            return self._run()
        finally:
            self._call_slots.release()

    def where(self) -> bytes:
        """Return where a request would run now, without running it."""
        config = self._frontend.config
        data = cherrypy.request.body.read(config.limits.max_body_bytes + 1)
        check = check_request(data, None, config)
        if check.is_error():
            return _send_rejection(check.error)
        return send_json(self._bridge.call(self._find_place(check.ok)))

    async def _find_place(self, request: Request) -> dict[str, object]:
        """Return the answer; it is made in the thread of the event loop, as its state is."""
        region, answer = self._frontend.where(request)
        document: dict[str, object] = {"region": region}
        document.update(msgspec.to_builtins(answer))
        return document

    def get(self, key: str) -> bytes:
        """Return the stored outcome of a non-repeatable request."""
        try:
            answer = self._bridge.call(self._frontend.status(RequestKey(key)))
        except StoreError as error:
            return send_problem(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Outcome.UNKNOWN,
                f"the status cannot be read: {error}",
                key=key,
            )
        if answer is None:
            detail = "no non-repeatable request with this key is recorded"
            return send_problem(HTTPStatus.NOT_FOUND, Outcome.UNKNOWN, detail, key=key)
        return send_json(_to_document(answer, key))

    def _run(self) -> bytes:
        headers = cherrypy.request.headers
        config = self._frontend.config
        # One byte over the limit is enough to detect a body without a length that is too large.
        data = cherrypy.request.body.read(config.limits.max_body_bytes + 1)
        check = check_request(data, headers.get("Idempotency-Key"), config)
        if check.is_error():
            return _send_rejection(check.error)
        request = check.ok
        try:
            answer = self._bridge.call(self._frontend.run(request), timeout_s=request.deadline_s)
        except TimeoutError:
            answer = Answer(outcome=Outcome.UNKNOWN, detail="no outcome before the deadline")
        return _send_answer(answer, request.key)


def _send_rejection(rejection: Rejection) -> bytes:
    detail = "; ".join(f"{f.pointer or 'body'}: {f.detail}" for f in rejection.findings)
    findings = [asdict(finding) for finding in rejection.findings]
    return send_problem(rejection.status, Outcome.NOT_RUN, detail, findings=findings)


def _send_answer(answer: Answer, key: str) -> bytes:
    cherrypy.response.headers["Idempotency-Key"] = key
    status = STATUS_BY_OUTCOME[answer.outcome]
    if answer.outcome is Outcome.COMPLETED:
        return send_json(_to_document(answer, key), status)
    if answer.detail == KEY_REUSED_DETAIL:
        status = HTTPStatus.UNPROCESSABLE_ENTITY
    elif answer.retry_after_s is not None:
        cherrypy.response.headers["Retry-After"] = str(max(1, math.ceil(answer.retry_after_s)))
    return send_problem(status, answer.outcome, answer.detail, key=key)


def _to_document(answer: Answer, key: str) -> dict[str, object]:
    document: dict[str, object] = {
        "outcome": answer.outcome.value,
        "key": key,
        "target": answer.target,
    }
    if answer.outcome is Outcome.COMPLETED:
        return document | {"answer": json.loads(answer.body or b"null")}
    return document | {"detail": answer.detail}
