"""The HTTP interface for callers and operators, on CherryPy."""

import asyncio
from http import HTTPStatus

import cherrypy

from chicorycrank.entry.http_common import LoopBridge, send_problem
from chicorycrank.entry.http_jobs import JobResource
from chicorycrank.entry.http_operations import OperationsResource
from chicorycrank.entry.http_requests import RequestResource
from chicorycrank.entry.process import Entry
from chicorycrank.model.ids import JobId
from chicorycrank.model.requests import Outcome

MAX_BODY_BYTES = 4_000_000
MAX_HEADER_BYTES = 16_384
RESERVED_THREADS = 8


class HttpApi:
    """Routes HTTP calls to the resources."""

    def __init__(self, entry: Entry, loop: asyncio.AbstractEventLoop) -> None:
        bridge = LoopBridge(loop)
        self._entry = entry
        max_running = max(1, entry.settings.http_threads - RESERVED_THREADS)
        self._requests = RequestResource(entry.requests, bridge, max_running=max_running)
        self._jobs = JobResource(entry.jobs, bridge, entry.settings.cell)
        self._operations = OperationsResource(entry, bridge)

    @cherrypy.expose(["healthz"])
    def health(self) -> bytes:
        """Tell the balancer whether this entry takes calls."""
        if self._entry.is_draining:
            cherrypy.response.status = HTTPStatus.SERVICE_UNAVAILABLE.value
            return b"draining\n"
        return b"ok\n"

    @cherrypy.expose
    def v1(self, resource: str, identity: str = "", **query: str) -> bytes:
        """Serve ``/v1/<resource>[/<identity>]``."""
        match (cherrypy.request.method, resource):
            case ("POST", "requests"):
                return self._requests.post()
            case ("GET", "requests") if identity:
                return self._requests.get(identity)
            case ("POST", "jobs"):
                return self._jobs.post()
            case ("GET", "jobs"):
                return self._jobs.get(JobId(identity))
            case ("GET", "state"):
                return self._operations.get_state()
        return send_problem(HTTPStatus.NOT_FOUND, Outcome.NOT_RUN, "no such resource")


def start_http(entry: Entry, loop: asyncio.AbstractEventLoop) -> None:
    """Start CherryPy in its own threads."""
    settings = entry.settings
    cherrypy.config.update(
        {
            "environment": "production",
            "server.socket_host": settings.listen_host,
            "server.socket_port": settings.http_port,
            "server.thread_pool": settings.http_threads,
            "server.max_request_body_size": MAX_BODY_BYTES,
            "server.max_request_header_size": MAX_HEADER_BYTES,
            "log.screen": False,
        }
    )
    cherrypy.engine.signals.subscribe = lambda: None
    cherrypy.tree.mount(HttpApi(entry, loop), "/")
    cherrypy.engine.start()


def stop_http() -> None:
    """Finish open calls and stop CherryPy."""
    cherrypy.engine.exit()
