"""Small HTTP server for the stand-ins, on cheroot."""

import errno
import json
import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

from cheroot.wsgi import Server

THREADS = 80
MAX_BODY_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class Call:
    """An HTTP call.

    :param arguments: groups of the matched path
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    arguments: tuple[str, ...] = ()

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


@dataclass(frozen=True, kw_only=True)
class Reply:
    """The reply to a call.

    :param cut: announce the whole body, send only half of it and close the connection
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    cut: bool = False


Route = Callable[[Call], Reply]


def json_reply(value: Any, *, status: int = 200) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(status=status, body=json.dumps(value).encode())


def serve_routes(host: str, port: int, routes: dict[str, Route]) -> Server:
    """Return a server for routes keyed by ``"METHOD /path/(group)"``; the caller starts it."""
    patterns = [(re.compile(key), route) for key, route in routes.items()]

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        reply = _dispatch(patterns, _read_call(environ))
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
            *reply.headers.items(),
        ]
        start_response(f"{reply.status} {'OK' if reply.status == 200 else 'Other'}", headers)
        return _send_half(reply.body) if reply.cut else [reply.body]

    server = Server((host, port), application, numthreads=THREADS, request_queue_size=256)
    server.max_request_body_size = MAX_BODY_BYTES
    return server


def _send_half(body: bytes) -> Iterator[bytes]:
    yield body[: len(body) // 2]
    # The server closes a connection whose caller went away, without a log line.
    raise BrokenPipeError(errno.EPIPE, "answer cut on purpose")


def _read_call(environ: dict[str, Any]) -> Call:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return Call(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=headers,
        body=environ["wsgi.input"].read(length) if length else b"",
    )


def _dispatch(patterns: list[tuple[re.Pattern[str], Route]], call: Call) -> Reply:
    for pattern, route in patterns:
        match = pattern.fullmatch(f"{call.method} {call.path}")
        if match:
            return route(
                Call(
                    method=call.method,
                    path=call.path,
                    query=call.query,
                    headers=call.headers,
                    body=call.body,
                    arguments=match.groups(),
                )
            )
    return json_reply({"error": "no such path"}, status=404)
