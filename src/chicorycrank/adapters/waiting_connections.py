"""Connections of an HTTP server that wait for their clients, and the closing of the oldest ones."""

import logging
import selectors
import socket
from collections.abc import Callable
from typing import Any

from cheroot.connections import ConnectionManager

from chicorycrank.adapters.http_counters import CLOSED_CONNECTIONS

# Closing several connections at a time keeps the search for the oldest ones rare.
CLOSED_SHARE = 16

logger = logging.getLogger("absl")


class WaitingConnections(ConnectionManager):
    """Manager of the connections of a ``LimitedServerMixin``.

    Only the thread that runs the selector removes connections.
    """

    server: Any
    _selector: Any
    _stop_requested: bool
    _remove_invalid_sockets: Callable[[], None]
    _from_server_socket: Callable[[socket.socket], Any]

    def __init__(self, server: Any) -> None:
        super().__init__(server)
        self._served: set[Any] = set()

    def wait(self, connection: Any) -> None:
        """Wait until a client writes, or reads if there are bytes for it."""
        if connection.has_served:
            self._served.add(connection)
        events = selectors.EVENT_WRITE if connection.unsent else selectors.EVENT_READ
        self._selector.register(connection.socket.fileno(), events, data=connection)

    def put(self, conn: Any) -> None:
        """Wait for a client, like ``wait``."""
        self.wait(conn)

    def take_largest(self) -> Any:
        """Remove and return the connection with the largest unfinished request, if there is one."""
        waiting = [c for c in self._list_waiting() if c.reader.size_bytes]
        if not waiting:
            return None
        largest = max(waiting, key=lambda connection: connection.reader.size_bytes)
        self._remove(largest)
        return largest

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may stay open after its answer."""
        limit = self.server.keep_alive_conn_limit
        return bool(limit is None or len(self._served) < limit)

    def _remove(self, connection: Any) -> None:
        self._selector.unregister(connection.socket.fileno())
        self._served.discard(connection)

    def _list_waiting(self) -> list[Any]:
        return [c for _, c in self._selector.connections if c is not self.server]

    def _run(self, expiration_interval: float) -> None:
        swept_at = self.server.clock()
        while not self._stop_requested:
            # What arrived while the process was suspended is read before the time is compared.
            now = self.server.clock()
            if self.server.open_connections >= self.server.max_connections:
                self._close_oldest()
            try:
                ready = list(self._selector.select(timeout=expiration_interval))
            except OSError:
                self._remove_invalid_sockets()
                continue
            for _, connection in ready:
                if connection is self.server:
                    self._accept()
                elif connection.socket.fileno() >= 0:  # not closed meanwhile
                    self._remove(connection)
                    self.server.process_conn(connection)
            if now - swept_at >= expiration_interval:
                swept_at = now
                self._close_late(now)

    def _accept(self) -> None:
        try:
            connection = self._from_server_socket(self.server.socket)
        except OSError as error:
            logger.warning("event=accept_failed error=%s", error)
            self._close_oldest()
            return
        if connection is None:
            return
        if self.server.open_connections >= self.server.max_connections:
            connection.end()  # all others have a request that runs or waits for a thread
        else:
            self.server.process_conn(connection)

    def _close_late(self, now: float) -> None:
        for connection in self._list_waiting():
            if connection.deadline < now:
                self._remove(connection)
                self.server.close_late(connection)

    def _close_oldest(self) -> None:
        """Close waiting connections, those that never had an answer first, then the oldest."""
        waiting = self._list_waiting()
        waiting.sort(key=lambda connection: (connection.has_served, connection.deadline))
        count = max(1, self.server.max_connections // CLOSED_SHARE)
        for connection in waiting[:count]:
            self._remove(connection)
            connection.end()
        if waiting:
            closed = min(count, len(waiting))
            logger.info("event=connections_closed reason=too-many count=%d", closed)
            CLOSED_CONNECTIONS.inc(closed)
