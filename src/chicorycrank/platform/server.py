"""HTTP server of a process, based on cheroot, the server of CherryPy."""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import msgspec
from cheroot import wsgi

from chicorycrank.adapters.http_message import MessageLimits
from chicorycrank.adapters.limited_server import (
    LimitedConnection,
    LimitedServerMixin,
    ServerLimits,
)

MAX_IDLE_CONNECTIONS = 200
ACCEPT_QUEUE_SIZE = 256
MAX_BODY_BYTES = 4 * 1024 * 1024
LIMITS = ServerLimits(message=MessageLimits(body_bytes=MAX_BODY_BYTES))

logger = logging.getLogger("absl")


@dataclass(frozen=True, slots=True)
class Request:
    """HTTP request; header names are in lower case and ``host`` has no port."""

    method: str
    path: str
    host: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """Status, body and headers of an HTTP response."""

    status: HTTPStatus
    body: bytes = b"{}"
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Response]


class _WsgiServer(LimitedServerMixin, wsgi.Server):
    """Server of cheroot with limits for clients."""

    limits = LIMITS
    ConnectionClass = LimitedConnection

    @staticmethod
    def encode_refusal(_status: HTTPStatus, detail: str) -> tuple[str, bytes]:
        """Return the media type and the body of a refusal."""
        return "application/json", msgspec.json.encode({"error": detail})


class Server:
    """HTTP server that passes the calls at an address to a handler.

    :param address: ``host:port``
    :param threads: largest number of calls that are handled concurrently
    :ivar is_closing: whether responses ask clients to close their connections
    """

    def __init__(self, address: str, handler: Handler, *, threads: int) -> None:
        host, _, port = address.rpartition(":")
        self._handler = handler
        self._active_calls = 0
        self._lock = threading.Lock()
        self.is_closing = False
        self._server = _WsgiServer(
            (host, int(port)),
            self._handle_wsgi,
            numthreads=threads,
            request_queue_size=ACCEPT_QUEUE_SIZE,
            timeout=int(LIMITS.idle_timeout_s),
        )
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._server.max_request_body_size = MAX_BODY_BYTES
        setattr(self._server, "error_log", _log_error)  # noqa: B010 - it is a method in cheroot

    def start(self) -> None:
        """Open the port and start to serve calls in threads."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, name="http", daemon=True).start()

    @property
    def is_idle(self) -> bool:
        """Whether no call is being handled."""
        return self._active_calls == 0

    def stop(self) -> None:
        """Finish the calls that are being handled and close the port."""
        self._server.stop()

    def _handle_wsgi(
        self, environ: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        with self._lock:
            self._active_calls += 1
        try:
            response = self._respond(environ)
        finally:
            with self._lock:
                self._active_calls -= 1
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(response.body)),
            **response.headers,
        }
        if self.is_closing:
            headers["Connection"] = "close"
        status = f"{response.status.value} {response.status.phrase}"
        start_response(status, list(headers.items()))
        return [response.body]

    def _respond(self, environ: dict[str, Any]) -> Response:
        try:
            return self._handler(_decode_request(environ))
        except Exception:
            logger.exception("event=call_failed path=%s", environ.get("PATH_INFO"))
            return Response(HTTPStatus.BAD_GATEWAY)


def _decode_request(environ: dict[str, Any]) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    length = environ.get("CONTENT_LENGTH")
    body_stream = environ["wsgi.input"]
    chunked = "chunked" in headers.get("transfer-encoding", "")
    body = body_stream.read(int(length)) if length else body_stream.read() if chunked else b""
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        host=headers.get("host", "").partition(":")[0],
        headers=headers,
        body=body,
    )


def _log_error(msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
    logger.log(level, "event=http_server error=%s", msg, exc_info=traceback)
