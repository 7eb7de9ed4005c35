"""Shared parts of the HTTP interface: calls into the event loop, JSON and problem bodies."""

import asyncio
import json
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any, TypeVar

import cherrypy

from chicorycrank.model.requests import Outcome

T = TypeVar("T")

# Time that a call waits for the event loop in addition to the timeout of its coroutine.
CALL_MARGIN_S = 5.0
STATUS_BY_OUTCOME = {
    Outcome.COMPLETED: HTTPStatus.OK,
    Outcome.FAILED: HTTPStatus.BAD_GATEWAY,
    Outcome.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}


class LoopBridge:
    """Runs coroutines on the entry's event loop from CherryPy's threads."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def call(self, coroutine: Coroutine[Any, Any, T], *, timeout_s: float = 0.0) -> T:
        """Run a coroutine and return its result.

        :param timeout_s: time that the coroutine itself may take, in seconds
        :raises TimeoutError: the coroutine did not end in time
        """
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(timeout_s + CALL_MARGIN_S)


def send_json(value: object, status: HTTPStatus = HTTPStatus.OK) -> bytes:
    """Return a JSON body and set the status and content type of the response."""
    cherrypy.response.status = status.value
    cherrypy.response.headers["Content-Type"] = "application/json"
    return _encode_json(value)


def encode_problem(status: HTTPStatus, outcome: Outcome, detail: str, **members: object) -> bytes:
    """Return a problem document (RFC 9457) with the outcome."""
    document = {"title": status.phrase, "status": status.value, "detail": detail}
    return _encode_json(document | {"outcome": outcome.value} | members)


def _encode_json(value: object) -> bytes:
    return json.dumps(value).encode() + b"\n"


def send_problem(status: HTTPStatus, outcome: Outcome, detail: str, **members: object) -> bytes:
    """Return a problem document and set the status and content type of the response."""
    cherrypy.response.status = status.value
    cherrypy.response.headers["Content-Type"] = "application/problem+json"
    return encode_problem(status, outcome, detail, **members)
