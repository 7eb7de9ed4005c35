"""HTTP servers of a process, on cheroot, the server of CherryPy."""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from cheroot import wsgi

# A process that was suspended for longer closes connections on which calls have arrived meanwhile.
IDLE_TIMEOUT_S = 75
IDLE_CONNECTIONS = 200
QUEUE_SIZE = 256
MAX_BODY_BYTES = 4 * 1024 * 1024

logger = logging.getLogger("absl")


@dataclass(frozen=True, slots=True)
class Request:
    """A call; header names are in lower case."""

    method: str
    path: str
    host: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """Status, body and headers of an answer."""

    status: HTTPStatus
    body: bytes = b"{}"
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Response]


class Server:
    """Serves one handler at an address.

    :param address: ``host:port``
    :param threads: calls that are handled at the same time
    """

    def __init__(self, address: str, handler: Handler, *, threads: int) -> None:
        host, _, port = address.rpartition(":")
        self._handler = handler
        self._active = 0
        self._lock = threading.Lock()
        self.is_closing = False
        self._server = wsgi.Server(
            (host, int(port)),
            self._serve,
            numthreads=threads,
            request_queue_size=QUEUE_SIZE,
            timeout=IDLE_TIMEOUT_S,
        )
        self._server.keep_alive_conn_limit = IDLE_CONNECTIONS
        self._server.max_request_body_size = MAX_BODY_BYTES
        setattr(self._server, "error_log", _log_error)  # noqa: B010 - it is a method there

    def start(self) -> None:
        """Open the port and serve in threads."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, name="http", daemon=True).start()

    @property
    def is_idle(self) -> bool:
        """Whether no call is being handled."""
        return self._active == 0

    def stop(self) -> None:
        """Finish the calls that are being handled and close the port."""
        self._server.stop()

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        with self._lock:
            self._active += 1
        try:
            response = self._answer(environ)
        finally:
            with self._lock:
                self._active -= 1
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

    def _answer(self, environ: dict[str, Any]) -> Response:
        try:
            return self._handler(_request(environ))
        except Exception:
            logger.exception("event=call_failed path=%s", environ.get("PATH_INFO"))
            return Response(HTTPStatus.BAD_GATEWAY)


def _request(environ: dict[str, Any]) -> Request:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    length = environ.get("CONTENT_LENGTH")
    source = environ["wsgi.input"]
    chunked = "chunked" in headers.get("transfer-encoding", "")
    body = source.read(int(length)) if length else source.read() if chunked else b""
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        host=headers.get("host", "").partition(":")[0],
        headers=headers,
        body=body,
    )


def _log_error(msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
    logger.log(level, "event=http_server error=%s", msg, exc_info=traceback)
