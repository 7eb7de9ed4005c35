"""Threads and servers that run until the process ends."""

import socket
import threading
from collections.abc import Callable

from cheroot.wsgi import Server

from chicorycrank_standin.http import Route, serve_routes

HOST = "127.0.0.1"


def in_background(work: Callable[[], None], name: str) -> threading.Thread:
    """Start a daemon thread."""
    thread = threading.Thread(target=work, name=name, daemon=True)
    thread.start()
    return thread


def free_port() -> int:
    """Return a port that nothing listens at."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def serve_in_background(routes: dict[str, Route]) -> tuple[Server, str]:
    """Serve routes at a free port; return the server, which the caller stops, and its address."""
    port = free_port()
    server = serve_routes(HOST, port, routes)
    server.prepare()
    in_background(server.serve, f"server-{port}")
    return server, f"{HOST}:{port}"
