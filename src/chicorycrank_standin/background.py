"""Helpers for daemon threads, free ports and background HTTP servers."""

import random
import socket
import threading
from collections.abc import Callable

from cheroot.wsgi import Server

from chicorycrank_standin.http import Handler, serve_routes

HOST = "127.0.0.1"
PORT_RANGE = (10_000, 32_000)


def start_daemon_thread(function: Callable[[], None], name: str) -> threading.Thread:
    """Run a function in a daemon thread and return the thread."""
    thread = threading.Thread(target=function, name=name, daemon=True)
    thread.start()
    return thread


def free_port() -> int:
    """Return a free TCP port of the loopback interface.

    It is below the range from which outgoing connections take their ports. A process that starts
    later would otherwise find its port in use by a connection of another process.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as probe_socket:
            try:
                probe_socket.bind((HOST, port))
            except OSError:
                continue  # in use; another port is tried
            return port


def serve_in_background(routes: dict[str, Handler]) -> tuple[Server, str]:
    """Serve routes at a free port in a background thread.

    :return: the server, which the caller must stop, and its ``host:port`` address
    """
    port = free_port()
    server = serve_routes(HOST, port, routes)
    server.prepare()
    start_daemon_thread(server.serve, f"server-{port}")
    return server, f"{HOST}:{port}"
