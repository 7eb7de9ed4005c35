"""Logging of events, one per line with fixed fields, in the format of ``absl.logging``."""

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
# Fixed fields that some messages write under another name.
FIELD_BY_ALIAS = {"key": "request"}
PEER_FIELDS = ("entry", "target", "peer", "address", "worker", "cell")
FAULT_FIELDS = ("error", "code", "reason")
# A value extends to the next field; the value of ``error`` extends to the end of the message.
FIELD_PATTERN = re.compile(r"(\w+)=((?<=\berror=).*|.*?)(?=\s\w+=|\s*\Z)\s*", re.DOTALL)
URL_CREDENTIALS = re.compile(r"(\w+://)[^/@\s]+@")
MAX_TEXT_LENGTH = 500
REPEAT_INTERVAL_S = 10.0
MAX_TRACKED_FAULTS = 1000
MAX_QUEUED_RECORDS = 2000
# Bounds the delay of a process exit if the reader of its output is slow.
FLUSH_TIMEOUT_S = 0.5
FLUSH_POLL_INTERVAL_S = 0.01
# These libraries log warnings for closed connections and full pools, which are no faults.
LEVEL_BY_LIBRARY = {"websockets": logging.ERROR, "urllib3": logging.ERROR}
DATE_FORMAT = "%m%d %H:%M:%S"


def read_fields(record: logging.LogRecord) -> dict[str, str]:
    """Return the fields of a message ``event=name field=value ...``."""
    message = record.getMessage()
    if not message.startswith("event="):
        return {"event": "message", "logger": record.name, "text": message}
    return {FIELD_BY_ALIAS.get(name, name): value for name, value in FIELD_PATTERN.findall(message)}


class EventFormatter(logging.Formatter):
    """Formatter that writes the fixed fields first, ``-`` for missing ones, then the others.

    :param region: region of this process
    """

    def __init__(self, region: str) -> None:
        super().__init__(datefmt=DATE_FORMAT)
        self._region = region

    def format(self, record: logging.LogRecord) -> str:
        """Return the log line of a record."""
        fields = {"region": self._region} | read_fields(record)
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)[-MAX_TEXT_LENGTH:]
        ordered_fields = {name: fields.pop(name, "") or "-" for name in FIXED_FIELDS} | fields
        suppressed = getattr(record, "suppressed", 0)
        if suppressed:
            ordered_fields["suppressed"] = str(suppressed)
        pairs = " ".join(f"{name}={_sanitize(value)}" for name, value in ordered_fields.items())
        level_and_time = f"{record.levelname[0]}{self.formatTime(record, DATE_FORMAT)}"
        location = f"{record.process} {record.filename}:{record.lineno}"
        return f"{level_and_time}.{int(record.msecs * 1000):06d} {location}] {pairs}"


def _sanitize(value: str) -> str:
    """Return a value as a single line, without credentials in URLs and with limited length."""
    text = URL_CREDENTIALS.sub(r"\1", value)[:MAX_TEXT_LENGTH]
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)


@dataclass(kw_only=True)
class _Fault:
    """Fault that was logged recently.

    :param logged_at_s: monotonic time of its last written line
    :param suppressed: number of lines suppressed since then
    """

    logged_at_s: float
    suppressed: int = 0


class RepeatFilter(logging.Filter):
    """Filter that passes equal faults at most once per ``REPEAT_INTERVAL_S``.

    Faults are equal if their event, peer, code, reason and job are. The filter prevents a line per
    attempt while a peer is unreachable for hours. The next line that passes contains the number of
    suppressed lines. Only warnings, errors and lines with an ``error``, ``code`` or ``reason``
    field are limited.

    :param now: function that returns the monotonic time in seconds
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._now = now
        self._fault_by_key: dict[tuple[str, ...], _Fault] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is to be written."""
        fields = read_fields(record)
        if record.levelno < logging.WARNING and not fields.keys() & set(FAULT_FIELDS):
            return True
        # The key omits the request, as a failing target would otherwise log a line per request.
        key_fields = ("event", "logger", *PEER_FIELDS, "code", "reason", "job")
        key = tuple(fields.get(name, "") for name in key_fields)
        now = self._now()
        fault = self._fault_by_key.get(key)
        if fault is not None and now - fault.logged_at_s < REPEAT_INTERVAL_S:
            fault.suppressed += 1
            return False
        record.suppressed = fault.suppressed if fault is not None else 0
        self._fault_by_key.pop(key, None)  # Keeps the dictionary ordered by time.
        self._fault_by_key[key] = _Fault(logged_at_s=now)
        if len(self._fault_by_key) > MAX_TRACKED_FAULTS:
            self._discard_old_faults(now)
        return True

    def _discard_old_faults(self, now: float) -> None:
        """Discard faults older than the interval, and all but the latest half of the limit."""
        recent = [
            (key, fault)
            for key, fault in self._fault_by_key.items()
            if now - fault.logged_at_s < REPEAT_INTERVAL_S
        ]
        self._fault_by_key = dict(recent[-MAX_TRACKED_FAULTS // 2 :])


def set_up_logs(level: str, region: str) -> None:
    """Write log lines to standard error with the standard library alone.

    Agents use this function, because ``absl.logging`` takes more memory than they can spare.
    """
    _install_with_format(logging.StreamHandler(sys.stderr), level, region)


class BoundedHandler(logging.handlers.QueueHandler):
    """Handler that queues records for a writing thread and drops them while the queue is full.

    A reader of the output that stops reading therefore does not block the process.

    :ivar dropped: number of dropped records since the start
    """

    def __init__(self, handler: logging.Handler, capacity: int = MAX_QUEUED_RECORDS) -> None:
        records: queue.Queue[logging.LogRecord] = queue.Queue(capacity)
        super().__init__(records)
        self._record_queue = records
        self.dropped = 0
        self._reported_dropped = 0
        self._listener = logging.handlers.QueueListener(records, handler)
        self._listener.start()

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the writing thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            return
        if self.dropped != self._reported_dropped:
            count, self._reported_dropped = self.dropped - self._reported_dropped, self.dropped
            logging.getLogger("absl").warning("event=log_lines_dropped count=%d", count)

    def flush(self) -> None:
        """Wait until the queued records are written, at most ``FLUSH_TIMEOUT_S``."""
        deadline = time.monotonic() + FLUSH_TIMEOUT_S
        while self._record_queue.unfinished_tasks and time.monotonic() < deadline:
            time.sleep(FLUSH_POLL_INTERVAL_S)


def set_up_bounded_logs(level: str, region: str) -> BoundedHandler:
    """Write log lines to standard output without blocking; drop lines if it is not read."""
    stream = logging.StreamHandler(sys.stdout)
    stream.setFormatter(EventFormatter(region))
    stream.addFilter(RepeatFilter())
    handler = BoundedHandler(stream)
    _install_on_root(handler, level)
    atexit.register(handler.flush)
    return handler


def set_up_absl_logs(level: str, region: str) -> None:
    """Write log lines to standard error through ``absl.logging``."""
    from absl import flags
    from absl import logging as absl_logging

    # absl warns about unparsed command line flags, which this program does not define.
    flags.FLAGS.mark_as_parsed()
    handler = absl_logging.get_absl_handler()
    absl_logging.set_verbosity(level)
    _install_with_format(handler, level, region)


def _install_with_format(handler: logging.Handler, level: str, region: str) -> None:
    handler.setFormatter(EventFormatter(region))
    handler.addFilter(RepeatFilter())
    _install_on_root(handler, level)


def _install_on_root(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name, minimum_level in LEVEL_BY_LIBRARY.items():
        logging.getLogger(name).setLevel(minimum_level)
