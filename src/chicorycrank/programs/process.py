"""What both programs on the platform do: logs, settings and signals."""

import logging
import os
import queue
import signal
import sys
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import NoReturn

import msgspec

from chicorycrank.adapters.logs import set_up_bounded_logs
from chicorycrank.batch.metrics import LOG_LINES_DROPPED, render
from chicorycrank.platform.server import Request, Response, Server
from chicorycrank.platform.settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    read_settings,
)
from chicorycrank.settings.reader import SettingsError

SETTINGS_CHECK_S = 1.0
EXIT_SETTINGS = 2
METRICS_PATH = "/metrics"
STATE_PATH = "/state"
METRICS_THREADS = 1

logger = logging.getLogger("absl")


class Process:
    """A running program with its settings.

    :param settings: those in force; unusable new settings leave them as they are
    """

    def __init__(self, role: str) -> None:
        self._path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
        try:
            self.settings = read_settings(self._path)
        except SettingsError as error:
            sys.stderr.write(f"{error}\n")
            raise SystemExit(EXIT_SETTINGS) from error
        self._log = log = set_up_bounded_logs("INFO", self.settings.region)
        LOG_LINES_DROPPED.set_function(lambda: log.dropped)
        # Its put may be interrupted by itself; an event's lock would be taken twice by the main
        # thread if a signal arrived while it waits.
        self._signals: queue.SimpleQueue[int] = queue.SimpleQueue()
        self._read_as = self._stamp()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, _: self._signals.put(number))
        logger.info("event=process_started role=%s node=%s", role, self.settings.name)

    def serve_metrics(self, dump: Callable[[], object]) -> None:
        """Serve metrics and the state of the process at the first internal port.

        :param dump: returns the state as a JSON document
        """
        if not self.settings.metrics_port:
            return

        def handle(request: Request) -> Response:
            if request.path == METRICS_PATH:
                return Response(HTTPStatus.OK, render(), {"Content-Type": "text/plain"})
            if request.path == STATE_PATH:
                return Response(HTTPStatus.OK, msgspec.json.encode(dump()))
            return Response(HTTPStatus.NOT_FOUND)

        address = f"{self.settings.host}:{self.settings.metrics_port}"
        Server(address, handle, threads=METRICS_THREADS).start()

    def wait(self, on_settings: Callable[[NodeSettings], None]) -> None:
        """Wait for the signal to stop, and pass on new settings meanwhile."""
        while (number := self._next_signal()) in (None, signal.SIGHUP):
            stamp = self._stamp()
            if number is None and stamp == self._read_as:
                continue
            self._read_as = stamp
            try:
                settings = read_settings(self._path)
            except SettingsError as error:
                logger.error("event=settings_refused error=%s", error)
                continue
            logger.info("event=settings_reloaded changed=%s", settings != self.settings)
            if settings != self.settings:
                self.settings = settings
                on_settings(settings)
        logger.info("event=process_stopping node=%s", self.settings.name)

    def _next_signal(self) -> int | None:
        """Return the next signal, or None if none arrives until the settings are looked at."""
        try:
            return self._signals.get(timeout=SETTINGS_CHECK_S)
        except queue.Empty:
            return None

    def exit(self) -> NoReturn:
        """End the process at once, whatever its threads wait for."""
        logger.info("event=process_stopped node=%s", self.settings.name)
        self._log.flush()
        os._exit(0)

    def _stamp(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
