"""Records the runs of all executors and the invariants that they violate."""

import threading
import time
from dataclasses import dataclass, field

# A task that has crashed this many executors may start fewer times than this again.
MAX_CRASHES = 3
FORBIDDEN_STARTS = 3


@dataclass(kw_only=True)
class RunRecord:
    """Run of a task on an executor.

    :param run: number of the run of the task
    :param duration_s: time that the work takes once the gang is complete
    :param members: number of tasks in the gang
    :param started_at: monotonic time
    :param ends_at: monotonic time at which the work is done; None while the gang is incomplete
    :param ended_at: monotonic time of the end; None while the run lasts
    :param end_kind: how it ended; empty while the run lasts
    :param is_end_seen: the agent has acknowledged the end
    """

    task: str
    run: int
    executor: str
    duration_s: float
    members: int
    accelerators: int
    started_at: float
    ends_at: float | None = None
    ended_at: float | None = None
    end_kind: str = ""
    is_end_seen: bool = False


@dataclass
class RunRecorder:
    """Runs of all executors, guarded by one lock.

    :param done_tasks: tasks of which a run has ended as done
    :param acknowledged_tasks: tasks whose end as done the agent has acknowledged
    :param starts: monotonic time, task and run number of each start
    :param runs: all runs in the order of their starts
    :param crashes_by_task: number of executors that each task has crashed
    :param last_crash_at: monotonic time of the last of these crashes
    """

    lock: threading.RLock = field(default_factory=threading.RLock)
    run_by_task_and_executor: dict[tuple[str, str], RunRecord] = field(default_factory=dict)
    done_tasks: set[str] = field(default_factory=set)
    acknowledged_tasks: set[str] = field(default_factory=set)
    starts: list[tuple[float, str, int]] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    crashes_by_task: dict[str, int] = field(default_factory=dict)
    last_crash_at: float = float("-inf")
    violations: list[str] = field(default_factory=list)
    started_at: float = field(default_factory=time.monotonic)

    def record_start(self, record: RunRecord) -> None:
        """Record the start of a run.

        Reports a violation if the task still runs on another executor or if its end as done was
        acknowledged before.
        """
        with self.lock:
            self.starts.append((time.monotonic(), record.task, record.run))
            self.runs.append(record)
            for (task, executor), other in self.run_by_task_and_executor.items():
                if task == record.task and executor != record.executor:
                    self.report_violation(
                        f"two runs at once: {task} run {other.run} on {executor},"
                        f" run {record.run} on {record.executor}"
                    )
            if record.task in self.acknowledged_tasks:
                self.report_violation(
                    f"started after its end: {record.task} run {record.run} on {record.executor}"
                )
            self.run_by_task_and_executor[record.task, record.executor] = record
            self._start_work_of_complete_gang(record)

    def record_crash_by(self, task: str) -> None:
        """Record that a task has crashed its executor, as each of its starts does.

        Reports a violation if it was started too often after its third crash.
        """
        with self.lock:
            self.last_crash_at = time.monotonic()
            crashes = self.crashes_by_task[task] = self.crashes_by_task.get(task, 0) + 1
            if crashes == MAX_CRASHES + FORBIDDEN_STARTS:
                self.report_violation(f"{task} was started again after {MAX_CRASHES} crashes")

    def _start_work_of_complete_gang(self, record: RunRecord) -> None:
        job_prefix = record.task.rpartition(".")[0]
        gang_records = [
            other
            for other in self.run_by_task_and_executor.values()
            if other.task.rpartition(".")[0] == job_prefix and other.run == record.run
        ]
        if record.members <= 1:
            record.ends_at = record.started_at + record.duration_s
        elif len({member.task for member in gang_records}) == record.members:
            for member in gang_records:
                member.ends_at = time.monotonic() + member.duration_s

    def record_end(self, record: RunRecord, kind: str) -> None:
        """Record the end of a run."""
        with self.lock:
            record.ended_at, record.end_kind = time.monotonic(), kind
            if kind == "done":
                self.done_tasks.add(record.task)
            self.run_by_task_and_executor.pop((record.task, record.executor), None)

    def record_acknowledged_end(self, record: RunRecord) -> None:
        """Record that the agent has acknowledged the end of a run."""
        with self.lock:
            record.is_end_seen = True
            if record.end_kind == "done":
                self.acknowledged_tasks.add(record.task)

    def report_violation(self, text: str) -> None:
        """Record the violation of an invariant."""
        with self.lock:
            self.violations.append(f"{time.monotonic() - self.started_at:.2f} s: {text}")
