"""In-memory store and executor for the batch tests."""

import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from chicorycrank.model.batch import (
    Advice,
    EndKind,
    Queue,
    Step,
    Submission,
    TaskEnd,
    WorkerReport,
    WorkerState,
)
from chicorycrank.model.ids import (
    Incarnation,
    JobId,
    QueueId,
    RackId,
    ServiceId,
    TaskId,
    TeamId,
)
from chicorycrank.ports.executor import (
    ExecutorStatus,
    ExecutorUnreachableError,
    NumberedEnd,
    OtherIncarnationError,
    RunningTask,
    StartAnswer,
    StartOrder,
)
from chicorycrank.ports.transactions import (
    Changes,
    Committed,
    Conflict,
    HistoryLostError,
    Item,
    Lease,
    LeaseEndedError,
    Revision,
    StoreUnavailableError,
    Write,
)

SERVICE = ServiceId("service")
RED = TeamId("red")
POLL_S = 0.01
# An incarnation is the id of an executor and its start time in milliseconds.
FIRST_INCARNATION = Incarnation("i-1:1")


class ManualClock:
    """Clock whose time a test sets."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def now(self) -> datetime:
        """Return the set time in UTC."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.seconds)

    def monotonic(self) -> float:
        """Return the set seconds."""
        return self.seconds

    async def sleep(self, delay: timedelta) -> None:
        """Fail, as no test sleeps."""
        raise NotImplementedError


class MemoryStore:
    """In-memory :class:`TransactionalStore`.

    ``fault`` maps the operation of each call to a fault: "refuse" certainly has no effect,
    "no_response" has no effect but reports that it may have one, and "lose" applies a write and
    loses the response.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.revision = 1
        self.discarded_revision = 0
        self.lease_count = 0
        self.keys_by_lease: dict[int, set[str]] = {}
        self.fault: Callable[[str], str] = lambda operation: ""
        self.lock = threading.Condition()
        self.writes: list[Write] = []

    def read(self, key: str, *, timeout_s: float = 1.0) -> Item | None:
        """Return the item of a key, or None."""
        self._raise_fault("read")
        with self.lock:
            return self.items.get(key)

    def read_all(self, prefix: str) -> Changes:
        """Return the items under a prefix."""
        self._raise_fault("list")
        with self.lock:
            found = [item for key, item in self.items.items() if key.startswith(prefix)]
            return Changes(items=found, revision=Revision(self.revision))

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Changes:
        """Wait briefly for changes."""
        self._raise_fault("watch")
        with self.lock:
            if after < self.discarded_revision:
                raise HistoryLostError(prefix)
            self.lock.wait_for(lambda: bool(self._since(prefix, after)), min(wait_s, POLL_S * 5))
            return Changes(items=self._since(prefix, after), revision=Revision(self.revision))

    def _since(self, prefix: str, after: int) -> list[Item]:
        return [i for i in self.history if i.revision > after and i.key.startswith(prefix)]

    def commit(self, write: Write, *, timeout_s: float) -> Committed | Conflict:
        """Apply a write unless ``fault`` prevents it."""
        fault = self._raise_fault("commit")
        answer = self.apply(write)
        if fault == "lose":
            raise StoreUnavailableError("lost", has_no_effect=False)
        return answer

    def apply(self, write: Write) -> Committed | Conflict:
        """Apply a write at once, regardless of ``fault``; tests use it for late writes."""
        with self.lock:
            for key, revision in write.expected.items():
                item = self.items.get(key)
                if (item.revision if item else 0) != revision:
                    found = {k: self.items[k] for k in write.expected if k in self.items}
                    return Conflict(items=found)
            for lease in write.leases.values():
                if lease and lease not in self.keys_by_lease:
                    raise LeaseEndedError(str(lease))
            self.revision += 1
            self.writes.append(write)
            for key, value in write.values.items():
                self._put(Item(key=key, value=value, revision=Revision(self.revision)))
                for keys in self.keys_by_lease.values():
                    keys.discard(key)
                if write.leases.get(key):
                    self.keys_by_lease[write.leases[key]].add(key)
            for key in write.deletes:
                self._delete(key)
            self.lock.notify_all()
            return Committed(revision=Revision(self.revision))

    def _put(self, item: Item) -> None:
        self.items[item.key] = item
        self.history.append(item)

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append(Item(key=key, value=None, revision=Revision(self.revision)))

    def grant(self, ttl_s: float) -> Lease:
        """Create a lease."""
        self._raise_fault("grant")
        with self.lock:
            self.lease_count += 1
            lease = Lease(self.lease_count)
            self.keys_by_lease[lease] = set()
            return lease

    def renew(self, lease: Lease) -> bool:
        """Return whether a lease exists."""
        self._raise_fault("renew")
        return lease in self.keys_by_lease

    def revoke(self, lease: Lease) -> None:
        """End a lease."""
        self._raise_fault("revoke")
        self.expire_lease(lease)

    def expire_lease(self, lease: Lease) -> None:
        """End a lease as if it had expired."""
        with self.lock:
            self.revision += 1
            for key in self.keys_by_lease.pop(lease, set()):
                self._delete(key)
            self.lock.notify_all()

    def discard_history(self) -> None:
        """Discard all changes so far."""
        with self.lock:
            self.history.clear()
            self.discarded_revision = self.revision

    def _raise_fault(self, operation: str) -> str:
        fault = self.fault(operation)
        if fault == "refuse":
            raise StoreUnavailableError("refused", has_no_effect=True)
        if fault == "no_response":
            raise StoreUnavailableError("no response", has_no_effect=False)
        return fault


@dataclass(kw_only=True)
class FakeExecutor:
    """Executor that runs tasks until a test ends them.

    :param fault: "no_response" for calls without a response, "refused" for a refused connection,
        "late" for a start without a response that a test can execute later
    """

    incarnation: Incarnation = FIRST_INCARNATION
    fence: int = 0
    clock_ms: int = 1000
    runs: dict[TaskId, StartOrder] = field(default_factory=dict)
    closed_run_by_task: dict[TaskId, int] = field(default_factory=dict)
    ends: list[NumberedEnd] = field(default_factory=list)
    late_orders: list[StartOrder] = field(default_factory=list)
    started: list[tuple[str, int]] = field(default_factory=list)
    end_count: int = 0
    fault: str = ""
    answer: StartAnswer | None = None
    finish_at_once: bool = False

    def start(self, order: StartOrder) -> StartAnswer:
        """Start a run, or fail according to ``fault``."""
        if self.fault == "late":
            self.late_orders.append(order)
        if self.fault:
            raise ExecutorUnreachableError(self.fault, refused=self.fault == "refused")
        return self.answer or self.execute(order)

    def execute(self, order: StartOrder) -> StartAnswer:
        """Start a run at once, regardless of ``fault``; tests use it for late orders."""
        if order.incarnation != self.incarnation:
            raise OtherIncarnationError(order.incarnation)
        if order.fence < self.fence:
            return StartAnswer.FENCED
        self.fence = order.fence
        if order.run <= self.closed_run_by_task.get(order.task, 0):
            return StartAnswer.OUTDATED
        if order.task not in self.runs:
            self.runs[order.task] = order
            self.started.append((order.task, order.run))
            if self.finish_at_once:
                self.end(order.task, EndKind.DONE)
        return StartAnswer.STARTED

    def _check_id(self, incarnation: Incarnation) -> None:
        """Raise an error if a call names another id; it names no start time."""
        if incarnation.rpartition(":")[0] != self.incarnation.rpartition(":")[0]:
            raise OtherIncarnationError(incarnation)

    def stop(self, task: TaskId, run: int, fence: int, incarnation: Incarnation) -> bool:
        """Stop a run."""
        if self.fault:
            raise ExecutorUnreachableError(self.fault, refused=self.fault == "refused")
        self._check_id(incarnation)
        if fence < self.fence:
            return False
        self.closed_run_by_task[task] = max(run, self.closed_run_by_task.get(task, 0))
        if task in self.runs:
            self.end(task, EndKind.STOPPED, "saved")
        return True

    def set_pace(
        self, task: TaskId, run: int, percent: int, fence: int, incarnation: Incarnation
    ) -> bool:
        """Accept any pace."""
        return True

    def extend_lease(
        self,
        *,
        fence: int,
        last_acknowledged_end: int,
        deadline_ms: int | None,
        wait_s: float,
        incarnation: Incarnation,
    ) -> ExecutorStatus:
        """Return runs and ends after a short wait."""
        time.sleep(min(wait_s, POLL_S))
        if self.fault:
            raise ExecutorUnreachableError(self.fault, refused=self.fault == "refused")
        self._check_id(incarnation)
        if fence < self.fence:
            raise PermissionError
        self.fence = fence
        self.ends = [end for end in self.ends if end.number > last_acknowledged_end]
        runs = list(self.runs.values())  # tests end runs from another thread
        running_tasks = [RunningTask(o.task, o.run, "", 100, 0.0) for o in runs]
        return ExecutorStatus(
            incarnation=self.incarnation,
            clock_ms=self.clock_ms,
            running=running_tasks,
            ends=list(self.ends),
        )

    def end(self, task: TaskId, kind: EndKind, checkpoint: str = "") -> None:
        """End a run."""
        order = self.runs.pop(task)
        self.end_count += 1
        self.closed_run_by_task[task] = max(order.run, self.closed_run_by_task.get(task, 0))
        self.ends.append(NumberedEnd(self.end_count, TaskEnd(task, order.run, kind, checkpoint)))


def make_queue(
    priority: int = 1, max_attempts: int = 3, advice: Advice | None = None, name: str = "q"
) -> Queue:
    return Queue(
        queue_id=QueueId(name),
        host="host",
        prefix=f"/{name}/",
        service=SERVICE,
        priority=priority,
        max_attempts=max_attempts,
        advice=advice,
    )


def make_job(
    steps: Sequence[Step],
    *,
    name: str = "aaaaaaaaaaaaaaaa",
    queue: Queue | None = None,
    team: TeamId = RED,
    payload: str = "text",
    **changes: int,
) -> Submission:
    return Submission(
        job_id=JobId(name),
        queue=queue or make_queue(),
        team=team,
        payload=payload,
        steps=tuple(steps),
        submitted_at_ms=0,
        **changes,
    )


def make_report(incarnation: str = "i-1:1", **changes: object) -> WorkerReport:
    report = WorkerReport(
        incarnation=Incarnation(incarnation),
        executor=incarnation.partition(":")[0],
        service=SERVICE,
        state=WorkerState.READY,
        accelerators=8,
        cores=64000,
        memory_mb=256000,
        labels=("a", "r1"),
        rack=RackId("r1"),
    )
    for name, value in changes.items():
        setattr(report, name, value)
    return report
