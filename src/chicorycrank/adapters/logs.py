"""Logs: one event per line with fixed fields, in the format of ``absl.logging``."""

import atexit
import logging
import logging.handlers
import queue
import re
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

FIXED_FIELDS = ("event", "request", "job", "team", "region", "generation")
# Older names of fixed fields in messages.
FIELD_BY_ALIAS = {"key": "request"}
PEER_FIELDS = ("entry", "target", "peer", "address", "worker", "cell")
FAULT_FIELDS = ("error", "code", "reason")
# A value ends before the next field; an error's text goes on to the end of the message.
FIELD = re.compile(r"(\w+)=((?<=\berror=).*|.*?)(?=\s\w+=|\s*\Z)\s*", re.DOTALL)
USER_INFO = re.compile(r"(\w+://)[^/@\s]+@")
MAX_TEXT_LENGTH = 500
REPEAT_INTERVAL_S = 10.0
MAX_KNOWN_FAULTS = 1000
QUEUED_LINES = 2000
# A process that ends does not wait longer for a reader of its output.
FLUSH_LIMIT_S = 0.5
FLUSH_POLL_S = 0.01
# A line per closed connection or full pool tells an operator nothing.
LEVEL_BY_LIBRARY = {"websockets": logging.ERROR, "urllib3": logging.ERROR}
DATE_FORMAT = "%m%d %H:%M:%S"


def read_fields(record: logging.LogRecord) -> dict[str, str]:
    """Return the fields of a message ``event=name field=value ...``."""
    message = record.getMessage()
    if not message.startswith("event="):
        return {"event": "message", "logger": record.name, "text": message}
    return {FIELD_BY_ALIAS.get(name, name): value for name, value in FIELD.findall(message)}


class EventFormatter(logging.Formatter):
    """Writes the fixed fields first, ``-`` for those without a value, then the others.

    :param region: region of this process
    """

    def __init__(self, region: str) -> None:
        super().__init__(datefmt=DATE_FORMAT)
        self._region = region

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        fields = {"region": self._region} | read_fields(record)
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)[-MAX_TEXT_LENGTH:]
        shown = {name: fields.pop(name, "") or "-" for name in FIXED_FIELDS} | fields
        suppressed = getattr(record, "suppressed", 0)
        if suppressed:
            shown["suppressed"] = str(suppressed)
        words = " ".join(f"{name}={_clean(value)}" for name, value in shown.items())
        stamp = f"{record.levelname[0]}{self.formatTime(record, DATE_FORMAT)}"
        place = f"{record.process} {record.filename}:{record.lineno}"
        return f"{stamp}.{int(record.msecs * 1000):06d} {place}] {words}"


def _clean(value: str) -> str:
    """Return a value on one line, without credentials in addresses and of bounded length."""
    text = USER_INFO.sub(r"\1", value)[:MAX_TEXT_LENGTH]
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)


@dataclass(kw_only=True)
class _Fault:
    """When a fault was logged last, and how often it was suppressed since."""

    logged_at: float
    suppressed: int = 0


class RepeatFilter(logging.Filter):
    """Passes the same fault of the same peer at most once per interval.

    A peer that is down for hours would otherwise log a line at every attempt. The next line that
    passes has the number of those suppressed. Only warnings, errors and lines that give an error,
    a code or a reason are limited.

    :param now: monotonic time in seconds
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._now = now
        self._fault_by_key: dict[tuple[str, ...], _Fault] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line is written."""
        fields = read_fields(record)
        if record.levelno < logging.WARNING and not fields.keys() & set(FAULT_FIELDS):
            return True
        # Without the request: a target that fails would log a line per request.
        names = ("event", "logger", *PEER_FIELDS, "code", "reason", "job")
        key = tuple(fields.get(name, "") for name in names)
        now = self._now()
        fault = self._fault_by_key.get(key)
        if fault is not None and now - fault.logged_at < REPEAT_INTERVAL_S:
            fault.suppressed += 1
            return False
        record.suppressed = fault.suppressed if fault is not None else 0
        self._fault_by_key.pop(key, None)  # the dictionary is in the order of time
        self._fault_by_key[key] = _Fault(logged_at=now)
        if len(self._fault_by_key) > MAX_KNOWN_FAULTS:
            self._forget(now)
        return True

    def _forget(self, now: float) -> None:
        """Forget faults that are over; of those that are not, the oldest."""
        recent = [
            (key, fault)
            for key, fault in self._fault_by_key.items()
            if now - fault.logged_at < REPEAT_INTERVAL_S
        ]
        self._fault_by_key = dict(recent[-MAX_KNOWN_FAULTS // 2 :])


def set_up_logs(level: str, region: str) -> None:
    """Write log lines to standard error through the standard library alone.

    Agents use this: ``absl.logging`` costs memory that an agent does not have.
    """
    _set_up(logging.StreamHandler(sys.stderr), level, region)


class BoundedHandler(logging.handlers.QueueHandler):
    """Passes lines to a thread that writes them, and drops lines while too many wait.

    A reader of the output that stops reading must not stop the process.
    """

    def __init__(self, handler: logging.Handler, capacity: int = QUEUED_LINES) -> None:
        lines: queue.Queue[logging.LogRecord] = queue.Queue(capacity)
        super().__init__(lines)
        self._lines = lines
        self.dropped = 0
        self._dropped_told = 0
        self._listener = logging.handlers.QueueListener(lines, handler)
        self._listener.start()

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is; the writing thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            return
        if self.dropped != self._dropped_told:
            count, self._dropped_told = self.dropped - self._dropped_told, self.dropped
            logging.getLogger("absl").warning("event=log_lines_dropped count=%d", count)

    def flush(self) -> None:
        """Wait until the queued lines are written, for as long as a process that ends may wait."""
        ends_at = time.monotonic() + FLUSH_LIMIT_S
        while self._lines.unfinished_tasks and time.monotonic() < ends_at:
            time.sleep(FLUSH_POLL_S)


def set_up_bounded_logs(level: str, region: str) -> BoundedHandler:
    """Write log lines to standard output without ever blocking."""
    stream = logging.StreamHandler(sys.stdout)
    stream.setFormatter(EventFormatter(region))
    stream.addFilter(RepeatFilter())
    handler = BoundedHandler(stream)
    _install(handler, level)
    atexit.register(handler.flush)
    return handler


def set_up_absl_logs(level: str, region: str) -> None:
    """Write log lines to standard error through ``absl.logging``."""
    from absl import flags
    from absl import logging as absl_logging

    # Without command line flags of its own, absl would warn that they were not parsed.
    flags.FLAGS.mark_as_parsed()
    handler = absl_logging.get_absl_handler()
    absl_logging.set_verbosity(level)
    _set_up(handler, level, region)


def _set_up(handler: logging.Handler, level: str, region: str) -> None:
    handler.setFormatter(EventFormatter(region))
    handler.addFilter(RepeatFilter())
    _install(handler, level)


def _install(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name, least in LEVEL_BY_LIBRARY.items():
        logging.getLogger(name).setLevel(least)
