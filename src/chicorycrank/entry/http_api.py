"""Serve the HTTP interface for callers and operators with CherryPy."""

import asyncio
from http import HTTPStatus

import cherrypy
from cherrypy._cpwsgi_server import CPWSGIServer

from chicorycrank.adapters.http_message import MessageLimits
from chicorycrank.adapters.limited_server import (
    LimitedConnection,
    LimitedServerMixin,
    ServerLimits,
)
from chicorycrank.entry.http_common import LoopBridge, encode_problem, send_problem
from chicorycrank.entry.http_jobs import JobResource
from chicorycrank.entry.http_operations import OperationsResource
from chicorycrank.entry.http_requests import RequestResource
from chicorycrank.entry.process import Entry
from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.model.requests import Outcome

MAX_BODY_BYTES = 4_000_000
# Threads that stay free for health checks, status calls and refusals.
RESERVED_THREADS = 8
# One status call per this many threads may wait for a job's next change.
THREADS_PER_WAITING_CALL = 8
# A burst of callers overflows a shorter queue (CherryPy's default is 5), and some of them get a
# reset connection instead of an outcome.
SOCKET_QUEUE_SIZE = 512
LIMITS = ServerLimits(message=MessageLimits(body_bytes=MAX_BODY_BYTES))


class ApiServer(LimitedServerMixin, CPWSGIServer):  # type: ignore[misc]
    """Server of CherryPy with limits for clients."""

    limits = LIMITS
    ConnectionClass = LimitedConnection

    @staticmethod
    def encode_refusal(status: HTTPStatus, detail: str) -> tuple[str, bytes]:
        """Return the media type and the problem document of a refusal."""
        return "application/problem+json", encode_problem(status, Outcome.NOT_RUN, detail)


class HttpApi:
    """Root of the HTTP interface, which routes calls to the resources."""

    def __init__(self, entry: Entry, loop: asyncio.AbstractEventLoop) -> None:
        bridge = LoopBridge(loop)
        self._entry = entry
        max_waiting = max(1, entry.settings.http_threads // THREADS_PER_WAITING_CALL)
        max_running = max(1, entry.settings.http_threads - RESERVED_THREADS - max_waiting)
        self._requests = RequestResource(entry.requests, bridge, max_running=max_running)
        self._jobs = JobResource(entry.jobs, bridge, max_waiting=max_waiting)
        self._operations = OperationsResource(entry, bridge)

    @cherrypy.expose(["healthz"])
    def health(self) -> bytes:
        """Return whether this entry accepts calls, for the load balancer."""
        if self._entry.is_draining:
            cherrypy.response.status = HTTPStatus.SERVICE_UNAVAILABLE.value
            return b"draining\n"
        return b"ok\n"

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Serve ``/metrics``."""
        return self._operations.get_metrics()

    @cherrypy.expose
    def v1(self, *path: str, **query: str) -> bytes:
        """Serve ``/v1/<resource>[/<identity>[/<part>]]``."""
        return self._serve_operations(path) or self._serve_calls(path, query)

    def _serve_calls(self, path: tuple[str, ...], query: dict[str, str]) -> bytes:
        match (cherrypy.request.method, *path):
            case ("POST", "requests"):
                return self._requests.post()
            case ("POST", "requests", "where"):
                return self._requests.where()
            case ("GET", "requests", identity):
                return self._requests.get(identity)
            case ("POST", "jobs"):
                return self._jobs.post()
            case ("POST", "jobs", "where"):
                return self._jobs.where()
            case ("GET", "jobs", identity):
                return self._jobs.get(JobId(identity), query)
            case ("GET", "jobs"):
                return self._jobs.list(query)
            case ("DELETE", "jobs", identity):
                return self._jobs.delete(JobId(identity), query)
            case ("GET", "jobs", identity, "explain"):
                return self._jobs.explain(JobId(identity))
            case ("POST", "targets", identity, "release-quarantine"):
                return self._jobs.release_quarantine(TargetId(identity))
        return send_problem(HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, "no such resource")

    def _serve_operations(self, path: tuple[str, ...]) -> bytes | None:
        match (cherrypy.request.method, *path):
            case ("POST", "releases"):
                return self._operations.apply_release()
            case ("POST", "releases", "check"):
                return self._operations.check_release()
            case ("GET", "releases", "status"):
                return self._operations.get_release_status()
            case ("GET", "config"):
                return self._operations.get_config()
            case ("GET", "teams"):
                return self._operations.get_teams()
            case ("GET", "targets"):
                return self._operations.get_targets()
            case ("POST", "targets", identity, "drain"):
                return self._operations.drain_target(TargetId(identity))
            case ("GET", "state"):
                return self._operations.get_state("")
            case ("GET", "state", process):
                return self._operations.get_state(process)
        return None


def _describe_error(status: str, message: str, traceback: str, version: str) -> str:
    """Return a problem document for an error that no resource has handled."""
    code = int(status.split()[0])
    is_client_error = code < HTTPStatus.INTERNAL_SERVER_ERROR.value
    outcome = Outcome.NOT_RUN if is_client_error else Outcome.UNKNOWN
    return send_problem(HTTPStatus(code), outcome, message).decode()


def configure_server(host: str, port: int, threads: int) -> None:
    """Set CherryPy's address and limits."""
    cherrypy.config.update(
        {
            "environment": "production",
            "server.socket_host": host,
            "server.socket_port": port,
            "server.socket_timeout": int(LIMITS.idle_timeout_s),
            "server.instance": f"{__name__}.ApiServer",
            "server.socket_queue_size": SOCKET_QUEUE_SIZE,
            "server.thread_pool": threads,
            "server.max_request_body_size": MAX_BODY_BYTES,
            "server.max_request_header_size": LIMITS.message.head_bytes,
            "log.screen": False,
            "error_page.default": _describe_error,
        }
    )


def start_http(entry: Entry, loop: asyncio.AbstractEventLoop) -> None:
    """Start CherryPy in its own threads."""
    settings = entry.settings
    configure_server(settings.listen_host, settings.http_port, settings.http_threads)
    # The entry handles the signals of the process itself.
    cherrypy.engine.signals.subscribe = lambda: None
    application = cherrypy.tree.mount(HttpApi(entry, loop), "/")
    # The metrics already count the calls, so the access log has no further use for operators.
    application.log.access_log.propagate = False
    cherrypy.engine.start()


def stop_http() -> None:
    """Wait for the running calls and stop CherryPy."""
    cherrypy.engine.exit()
