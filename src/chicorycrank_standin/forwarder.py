"""TCP forwarder on the loopback interface that injects network faults."""

import asyncio
import re
import threading
from collections.abc import Coroutine
from enum import Enum
from typing import Any

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
CALL_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 2.0


CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
REJECTIONS = [
    b"HTTP/1.1 %d Rejected\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
    % status
    for status in (503, 429)
]


class Mode(Enum):
    """Treatment of connections by a forwarder."""

    PASS = "pass"
    SILENT = "silent"
    CUT = "cut"
    DELAY = "delay"
    RESET = "reset"
    DEAF = "deaf"
    REJECT = "reject"


REFUSING_MODES = (Mode.RESET, Mode.DEAF, Mode.REJECT)


class Forwarder:
    """Forwarder from one port to another, on an event loop in its own thread.

    Mode ``silent`` permanently stops forwarding on the connections that are open when it is set,
    but keeps them open; new connections work. Mode ``cut`` closes every connection and refuses new
    ones. Mode ``delay`` delays each chunk. The other modes close the open connections; ``reset``
    then accepts new ones and closes them, ``deaf`` never answers on them, and ``reject`` answers
    HTTP requests with status 503 or 429 without forwarding them.

    :param port: port to listen on
    :param target_port: port to forward to
    :param delay_s: delay of each chunk in mode ``delay``
    :ivar address: ``host:port`` to connect to
    """

    def __init__(self, port: int, target_port: int, *, delay_s: float = 0.1) -> None:
        self.address = f"{HOST}:{port}"
        self._port = port
        self._target_port = target_port
        self._delay_s = delay_s
        self._mode = Mode.PASS
        self._is_closed = False
        self._rejections = 0
        self._loop = asyncio.new_event_loop()
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> None:
        """Start the event loop and listen."""
        self._thread.start()
        self._call(self._listen())

    def set_mode(self, mode: Mode) -> None:
        """Set the mode; it is in effect on return."""
        self._call(self._set_mode(mode))

    def set_closed(self, is_closed: bool) -> None:
        """Close or reopen the port independently of the mode, as its target ends or starts."""
        self._call(self._set_closed(is_closed))

    def stop(self) -> None:
        """Close every connection and stop the thread."""
        self._call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)
        self._loop.close()

    def _call(self, coroutine: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(CALL_TIMEOUT_S)

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._accept, HOST, self._port)

    async def _set_mode(self, mode: Mode) -> None:
        if mode in REFUSING_MODES or self._mode in REFUSING_MODES:
            self._abort_connections()
        self._mode = mode
        if mode is Mode.SILENT:
            for connection in self._connections:
                connection.is_silent = True
        await self._update_port()

    async def _set_closed(self, is_closed: bool) -> None:
        self._is_closed = is_closed
        await self._update_port()

    async def _update_port(self) -> None:
        if self._is_closed or self._mode is Mode.CUT:
            if self._server is not None:
                self._server.close()
                self._server = None
            self._abort_connections()
            return
        if self._server is None:
            await self._listen()

    def _abort_connections(self) -> None:
        for connection in list(self._connections):
            connection.abort()

    async def _close(self) -> None:
        await self._set_mode(Mode.CUT)
        # The tasks of aborted connections complete without being cancelled.
        connection_tasks = asyncio.all_tasks() - {asyncio.current_task()}
        if connection_tasks:
            await asyncio.wait(connection_tasks, timeout=STOP_TIMEOUT_S)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._mode in REFUSING_MODES:
            await self._refuse(reader, writer, self._mode)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(HOST, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(writer, target_writer)
        if self._is_closed or self._mode is Mode.CUT:
            connection.abort()
            return
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._copy(connection, reader, target_writer),
                self._copy(connection, target_reader, writer),
            )
        finally:
            connection.abort()
            self._connections.discard(connection)

    async def _refuse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, mode: Mode
    ) -> None:
        connection = _Connection(writer)
        self._connections.add(connection)
        try:
            while mode is Mode.DEAF and await reader.read(CHUNK_BYTES):
                pass
            while mode is Mode.REJECT:
                head = await reader.readuntil(b"\r\n\r\n")
                length = CONTENT_LENGTH.search(head)
                await reader.readexactly(int(length[1]) if length else 0)
                self._rejections += 1
                writer.write(REJECTIONS[self._rejections % len(REJECTIONS)])
        except (OSError, asyncio.IncompleteReadError):
            pass  # the caller has closed the connection
        finally:
            connection.abort()
            self._connections.discard(connection)

    async def _copy(
        self,
        connection: "_Connection",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self._mode is Mode.DELAY:
                    await asyncio.sleep(self._delay_s)
                if connection.is_silent:
                    continue
                writer.write(chunk)
                await writer.drain()
            if not connection.is_silent and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            connection.abort()


class _Connection:
    """Pair of sockets of a forwarded connection."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self._writers = writers
        self.is_silent = False

    def abort(self) -> None:
        """Close both sockets without flushing their buffers."""
        for writer in self._writers:
            writer.transport.abort()
