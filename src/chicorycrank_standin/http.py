"""Minimal HTTP server of the stand-ins, based on cheroot."""

import errno
import json
import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

from cheroot.wsgi import Server

SERVER_THREADS = 80
MAX_BODY_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """HTTP request with its header names in lower case.

    :param path_parameters: groups of the matched route pattern
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    path_parameters: tuple[str, ...] = ()

    def json(self) -> Any:
        """Decode the body as JSON; an empty body is an empty object."""
        return json.loads(self.body or b"{}")


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """HTTP response of a handler.

    :param is_truncated: announce the length of the whole body, send half of it and close the
        connection
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    is_truncated: bool = False


Handler = Callable[[HttpRequest], HttpResponse]


def json_response(value: Any, *, status: int = 200) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status=status, body=json.dumps(value).encode())


def serve_routes(host: str, port: int, routes: dict[str, Handler]) -> Server:
    """Create a server, which the caller must start.

    :param routes: handlers by a regular expression such as ``"METHOD /path/(group)"``
    """
    compiled_routes = [
        (re.compile(route_pattern), handler) for route_pattern, handler in routes.items()
    ]

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        response = _dispatch(compiled_routes, _read_request(environ))
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers.items(),
        ]
        start_response(f"{response.status} {'OK' if response.status == 200 else 'Other'}", headers)
        return _send_truncated(response.body) if response.is_truncated else [response.body]

    server = Server((host, port), application, numthreads=SERVER_THREADS, request_queue_size=256)
    server.max_request_body_size = MAX_BODY_BYTES
    return server


def _send_truncated(body: bytes) -> Iterator[bytes]:
    yield body[: len(body) // 2]
    # cheroot closes the connection on EPIPE without a log line.
    raise BrokenPipeError(errno.EPIPE, "response truncated by fault injection")


def _read_request(environ: dict[str, Any]) -> HttpRequest:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    headers = {
        variable[5:].replace("_", "-").lower(): value
        for variable, value in environ.items()
        if variable.startswith("HTTP_")
    }
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=headers,
        body=environ["wsgi.input"].read(length) if length else b"",
    )


def _dispatch(
    compiled_routes: list[tuple[re.Pattern[str], Handler]], request: HttpRequest
) -> HttpResponse:
    for pattern, handler in compiled_routes:
        match = pattern.fullmatch(f"{request.method} {request.path}")
        if match:
            return handler(
                HttpRequest(
                    method=request.method,
                    path=request.path,
                    query=request.query,
                    headers=request.headers,
                    body=request.body,
                    path_parameters=match.groups(),
                )
            )
    return json_response({"error": "no such path"}, status=404)
