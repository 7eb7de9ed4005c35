"""Set-up shared by the batch programs: logs, settings, signals and metrics."""

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

SETTINGS_CHECK_INTERVAL_S = 1.0
EXIT_INVALID_SETTINGS = 2
METRICS_PATH = "/metrics"
STATE_PATH = "/state"
WHERE_PATH = "/where"
# A call that waits for the planner does not delay the metrics.
METRICS_THREADS = 2

logger = logging.getLogger("absl")


class Process:
    """Process of a batch program, which logs, reloads its settings and serves metrics.

    :param role: name of the program in the log
    :ivar settings: the applied settings; an invalid new settings file does not change them
    """

    def __init__(self, role: str) -> None:
        self._path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
        try:
            self.settings = read_settings(self._path)
        except SettingsError as error:
            sys.stderr.write(f"{error}\n")
            raise SystemExit(EXIT_INVALID_SETTINGS) from error
        self._log = log = set_up_bounded_logs("INFO", self.settings.region)
        LOG_LINES_DROPPED.set_function(lambda: log.dropped)
        # SimpleQueue.put is reentrant, so a signal may interrupt the handler of another one. The
        # lock of threading.Event is not: the main thread would deadlock if a signal arrived while
        # it holds the lock in wait().
        self._signals: queue.SimpleQueue[int] = queue.SimpleQueue()
        self._settings_file_version = self._read_file_version()
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(signal_number, lambda signal_number, _: self._signals.put(signal_number))
        logger.info("event=process_started role=%s node=%s", role, self.settings.name)

    def serve_metrics(
        self,
        dump: Callable[[], object],
        where: Callable[[Request], Response] | None = None,
    ) -> None:
        """Serve metrics and the state on ``settings.metrics_port``; do nothing if it is 0.

        :param dump: returns the state, which is encoded as JSON
        :param where: answers where a job would go; None if the program does not know
        """
        if not self.settings.metrics_port:
            return

        def handle(request: Request) -> Response:
            if request.path == METRICS_PATH:
                return Response(HTTPStatus.OK, render(), {"Content-Type": "text/plain"})
            if request.path == STATE_PATH:
                return Response(HTTPStatus.OK, msgspec.json.encode(dump()))
            if request.path == WHERE_PATH and where is not None:
                return where(request)
            return Response(HTTPStatus.NOT_FOUND)

        address = f"{self.settings.host}:{self.settings.metrics_port}"
        Server(address, handle, threads=METRICS_THREADS).start()

    def wait_for_stop(self, on_settings: Callable[[NodeSettings], None]) -> None:
        """Wait for SIGTERM or SIGINT, and reload changed settings meanwhile.

        The settings file is read when its time stamp or size changes, and on SIGHUP.

        :param on_settings: called with new settings that differ from the applied ones
        """
        while (signal_number := self._next_signal()) in (None, signal.SIGHUP):
            file_version = self._read_file_version()
            if signal_number is None and file_version == self._settings_file_version:
                continue
            self._settings_file_version = file_version
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
        """Return the next signal, or None if none arrives before the next check of the settings."""
        try:
            return self._signals.get(timeout=SETTINGS_CHECK_INTERVAL_S)
        except queue.Empty:
            return None

    def exit(self) -> NoReturn:
        """Write the queued log lines and end the process without waiting for its threads."""
        logger.info("event=process_stopped node=%s", self.settings.name)
        self._log.flush()
        os._exit(0)

    def _read_file_version(self) -> tuple[int, int]:
        """Return modification time and size of the settings file, or zeros if it cannot be read."""
        try:
            file_status = self._path.stat()
        except OSError:
            return (0, 0)
        return (file_status.st_mtime_ns, file_status.st_size)
