"""Client of a running fleet that records the requests and outcomes of its callers."""

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
class SentRequest:
    """Request with the outcome that its caller received."""

    key: str
    repeatable: bool
    outcome: str
    document: Any
    sent_at: float
    ended_at: float


@dataclass(kw_only=True)
class FleetClient:
    """Client of a fleet for one example of a scenario.

    :param example_number: part of all keys, which makes them unique in a shared fleet
    :param sent: requests in the order of their answers
    """

    fleet: Fleet
    example_number: int
    sent: list[SentRequest] = field(default_factory=list)
    threads: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(110))
    numbers: "count[int]" = field(default_factory=count)

    def make_key(self) -> str:
        """Return a new key."""
        return f"key-{self.example_number}-{next(self.numbers)}"

    def send(self, entry: str, key: str = "", **options: Any) -> SentRequest:
        """Send a request, record it and return it."""
        sent = self.call(entry, key, **options)
        self.sent.append(sent)
        return sent

    def call(
        self, entry: str, key: str = "", *, repeatable: bool = False, deadline_s: float = 20.0
    ) -> SentRequest:
        """Send a request and return it without recording it."""
        key = key or self.make_key()
        body = {
            "team": f"team-{self.example_number}",
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
        return SentRequest(
            key=key,
            repeatable=repeatable,
            outcome=outcome,
            document=document,
            sent_at=sent_at,
            ended_at=time.time(),
        )

    def start(self, entry: str, key: str = "", **options: Any) -> "Future[SentRequest]":
        """Send a request in a thread and record it."""
        return self.threads.submit(self.send, entry, key, **options)

    def fetch_executors_by_key(self) -> dict[str, list[str]]:
        """Return the executors that ran each key, by their own lists of runs."""
        executors_by_key: dict[str, list[str]] = {}
        for executor in EXECUTORS:
            for run in self.fetch_runs(executor):
                executors_by_key.setdefault(run["key"], []).append(executor)
        return executors_by_key

    def fetch_runs(self, executor: str) -> list[Any]:
        """Return the runs of this example at an executor, by its own list."""
        if executor not in self.fleet.port_by_name:
            return []
        _, runs = self.fleet.call(executor, "GET", "/record")
        return [run for run in runs if run["key"].startswith(f"key-{self.example_number}-")]

    def wait_for_run(self, key: str) -> str:
        """Wait until the request of a key runs and return its executor."""
        self.fleet.wait(lambda: key in self.fetch_executors_by_key(), f"{key} does not run")
        return self.fetch_executors_by_key()[key][0]

    @contextmanager
    def inject_faults(self, *names: str, **faults: Any) -> Iterator[None]:
        """Enable faults of stand-in processes and disable them at the end."""
        for name in names:
            self.fleet.call(name, "POST", "/control", faults)
        try:
            yield
        finally:
            for name in names:
                cleared_faults = {fault: type(value)() for fault, value in faults.items()}
                self.fleet.call(name, "POST", "/control", cleared_faults)

    @contextmanager
    def background_load(
        self, entries: tuple[str, ...] = ENTRIES, *, callers: int = 4
    ) -> Iterator[None]:
        """Send repeatable and non-repeatable requests continuously to the healthy entries."""
        stop_event = threading.Event()

        def call(number: int) -> None:
            while not stop_event.is_set():
                entry = entries[number % len(entries)]
                if self.is_healthy(entry):
                    self.send(entry, repeatable=number % 4 < 2)

        futures = [self.threads.submit(call, number) for number in range(callers)]
        try:
            self.wait_for_answers(callers)
            yield
        finally:
            stop_event.set()
            for future in futures:
                future.result()

    def wait_for_answers(self, number: int) -> None:
        """Wait until this many further requests have been answered."""
        expected_count = len(self.sent) + number
        self.fleet.wait(lambda: len(self.sent) >= expected_count, "requests do not end")

    def is_healthy(self, entry: str) -> bool:
        """Return whether the load balancer would route calls to an entry."""
        try:
            status, _ = self.fleet.call(entry, "GET", "/healthz", Connection="close")
        except urllib3.exceptions.HTTPError:
            return False
        return status == 200

    def wait_for_clean_exit(self, name: str) -> None:
        """Wait until a stopped process has exited and check its exit status."""
        assert self.fleet.children_by_name[name].process.wait(15.0) == 0
