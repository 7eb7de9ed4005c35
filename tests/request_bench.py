"""Callers of a running fleet, and what they and the executors saw."""

import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import urllib3

from chicorycrank_standin.fleet import Deployment, Fleet

ENTRIES = ("entry-north-0", "entry-north-1")
EXECUTORS = ("exec-north-0", "exec-north-1")
CLOSED = "closed"
ONE_REGION = Deployment(
    name="requests",
    regions=("north",),
    executors={"north": 2},
    workers={"north": 0},
    cores=64,
    memory_gb=250,
    entries_per_region=2,
)
TWO_REGIONS = Deployment(
    name="regions",
    regions=("north", "south"),
    executors={"north": 1, "south": 0},
    workers={"north": 0, "south": 0},
    cores=64,
    memory_gb=250,
)


@dataclass(frozen=True, kw_only=True)
class Sent:
    """A request and what its caller saw."""

    key: str
    repeatable: bool
    outcome: str
    document: Any
    sent_at: float
    ended_at: float


@dataclass(kw_only=True)
class Bench:
    """A fleet and the requests sent to it in one row.

    :param row: makes keys unique over the rows that share the fleet
    """

    fleet: Fleet
    row: int
    sent: list[Sent] = field(default_factory=list)
    threads: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(110))
    numbers: "count[int]" = field(default_factory=count)

    def make_key(self) -> str:
        """Return a key that no other request has."""
        return f"key-{self.row}-{next(self.numbers)}"

    def send(self, entry: str, key: str = "", **options: Any) -> Sent:
        """Send a request and note what its caller saw."""
        sent = self.call(entry, key, **options)
        self.sent.append(sent)
        return sent

    def call(
        self, entry: str, key: str = "", *, repeatable: bool = False, deadline_s: float = 20.0
    ) -> Sent:
        """Send a request and return what its caller saw."""
        key = key or self.make_key()
        body = {
            "team": f"team-{self.row}",
            "service": "scan",
            "repeatable": repeatable,
            "deadline_s": deadline_s,
            "body": {"photo": key},
        }
        sent_at = time.time()
        try:
            _, document = self.fleet.call(
                entry, "POST", "/v1/requests", body, Idempotency_Key=key, Connection="close"
            )
            outcome = document["outcome"]
        except urllib3.exceptions.HTTPError as error:
            outcome, document = CLOSED, str(error)
        return Sent(
            key=key,
            repeatable=repeatable,
            outcome=outcome,
            document=document,
            sent_at=sent_at,
            ended_at=time.time(),
        )

    def start(self, entry: str, key: str = "", **options: Any) -> "Future[Sent]":
        """Send a request in a thread."""
        return self.threads.submit(self.send, entry, key, **options)

    def runs(self) -> dict[str, list[str]]:
        """Return the executors that ran each key, by their own records."""
        executors_by_key: dict[str, list[str]] = {}
        for executor in EXECUTORS:
            for run in self.record(executor):
                executors_by_key.setdefault(run["key"], []).append(executor)
        return executors_by_key

    def record(self, executor: str) -> list[Any]:
        """Return the runs of this row at an executor, by its own record."""
        if executor not in self.fleet.port_by_name:
            return []
        _, runs = self.fleet.call(executor, "GET", "/record")
        return [run for run in runs if run["key"].startswith(f"key-{self.row}-")]

    def wait_run(self, key: str) -> str:
        """Wait until a key runs and return its executor."""
        self.fleet.wait(lambda: key in self.runs(), f"{key} does not run")
        return self.runs()[key][0]

    @contextmanager
    def faults(self, *names: str, **faults: Any) -> Iterator[None]:
        """Switch faults of stand-ins on, and off in the end."""
        for name in names:
            self.fleet.call(name, "POST", "/control", faults)
        try:
            yield
        finally:
            for name in names:
                off = {fault: type(value)() for fault, value in faults.items()}
                self.fleet.call(name, "POST", "/control", off)

    @contextmanager
    def load(self, entries: tuple[str, ...] = ENTRIES, *, callers: int = 4) -> Iterator[None]:
        """Keep sending both kinds of requests through entries whose health check is good."""
        done = threading.Event()

        def call(number: int) -> None:
            while not done.is_set():
                entry = entries[number % len(entries)]
                if self.is_healthy(entry):
                    self.send(entry, repeatable=number % 4 < 2)

        futures = [self.threads.submit(call, number) for number in range(callers)]
        try:
            self.wait_sent(callers)
            yield
        finally:
            done.set()
            for future in futures:
                future.result()

    def wait_sent(self, number: int) -> None:
        """Wait until this many further requests have ended."""
        wanted = len(self.sent) + number
        self.fleet.wait(lambda: len(self.sent) >= wanted, "requests do not end")

    def is_healthy(self, entry: str) -> bool:
        """Return whether the balancer would give calls to an entry."""
        try:
            status, _ = self.fleet.call(entry, "GET", "/healthz", Connection="close")
        except urllib3.exceptions.HTTPError:
            return False
        return status == 200

    def wait_exit(self, name: str) -> None:
        """Wait for the end of a stopped process, which must be a clean one."""
        assert self.fleet.children_by_name[name].process.wait(15.0) == 0
