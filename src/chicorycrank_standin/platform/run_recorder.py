"""Records the runs of all executors and judges them."""

import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from chicorycrank_standin.platform.disturbances import STORE, DisturbanceLog

# A task that has crashed this many executors may be started by undisturbed agents fewer times than
# this again.
MAX_CRASHES = 3
FORBIDDEN_STARTS = 3
# A job may be given up once this many executors have crashed under one of its tasks.
MIN_CRASHES_TO_FAIL = 2
# Bounds of the platform, in seconds.
CONTACT_S = 4.0  # a program or the store counts as disturbed for this time after a disturbance
CANCEL_S = 3.0  # a cancelled job starts nothing later than this after the acknowledgement
STOP_S = 0.4  # a stop takes at most this time
EVACUATE_S = 2.5  # nothing starts in a zone later than this after the start of its evacuation
DRAIN_S = 2.5  # an executor starts nothing later than this after it has reported that it drains


@dataclass(kw_only=True, eq=False)
class RunRecord:
    """Run of a task on an executor.

    :param run: number of the run of the task
    :param duration_s: time that the work takes once the gang is complete
    :param members: number of tasks in the gang
    :param started_at: monotonic time
    :param agent: agent beside the executor
    :param ordered_at: monotonic time at which the start order arrived
    :param is_late: the executor has carried the order out late, or got it late
    :param draining_since: monotonic time at which the agent has acknowledged that this incarnation
        of the executor drains; None if it has not
    :param ends_at: monotonic time at which the work is done; None while the gang is incomplete
    :param ended_at: monotonic time of the end; None while the run lasts
    :param end_kind: how it ended; empty while the run lasts
    :param is_end_seen: the agent has acknowledged the end before the executor's lease lapsed again
    """

    task: str
    run: int
    executor: str
    duration_s: float
    members: int
    accelerators: int
    started_at: float
    agent: str = ""
    ordered_at: float = 0.0
    is_late: bool = False
    draining_since: float | None = None
    ends_at: float | None = None
    ended_at: float | None = None
    end_kind: str = ""
    is_end_seen: bool = False

    @property
    def job(self) -> str:
        """Id of the job, the first part of the task's name."""
        return self.task.partition(".")[0]

    def __str__(self) -> str:
        return f"{self.task} run {self.run} on {self.executor}"


@dataclass
class RunRecorder:
    """Runs of all executors, guarded by one lock.

    :param clock: returns the monotonic time in seconds
    :param runs: all runs in the order of their starts
    :param cancelled_at_by_job: monotonic time of the first acknowledgement of a cancellation
    :param evacuated_at_by_executor: monotonic time at which the store had the key of the executor's
        zone, while it has it
    :param crashes_by_task: number of executors that each task has crashed
    :param last_crash_at: monotonic time of the last of these crashes
    """

    clock: Callable[[], float] = time.monotonic
    disturbances: DisturbanceLog = field(default_factory=DisturbanceLog)
    lock: threading.RLock = field(default_factory=threading.RLock)
    runs: list[RunRecord] = field(default_factory=list)
    cancelled_at_by_job: dict[str, float] = field(default_factory=dict)
    evacuated_at_by_executor: dict[str, float] = field(default_factory=dict)
    crashes_by_task: dict[str, int] = field(default_factory=dict)
    last_crash_at: float = float("-inf")
    violations: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._started_at = self.clock()
        # Starts by undisturbed agents after the third crash.
        self._late_starts_by_task: dict[str, int] = {}

    def record_start(self, record: RunRecord) -> None:
        """Record the start of a run and report the rules that it breaks."""
        with self.lock:
            for other in self._runs_of(record.task):
                if other.ended_at is None:
                    self.report_violation(f"two runs at once: {other}, {record}")
                if other.end_kind == "done" and other.is_end_seen:
                    self.report_violation(f"started after its end: {record}")
            self._check_start_of_cancelled_job(record)
            self._check_start_on_draining_executor(record)
            self._check_start_in_evacuated_zone(record)
            self.runs.append(record)
            self._start_work_of_complete_gang(record)

    def _runs_of(self, task: str) -> list[RunRecord]:
        return [run for run in self.runs if run.task == task]

    def _check_start_of_cancelled_job(self, record: RunRecord) -> None:
        cancelled_at = self.cancelled_at_by_job.get(record.job)
        if cancelled_at is None or record.ordered_at <= cancelled_at + CANCEL_S or record.is_late:
            return
        if self._is_in_touch(record.agent, record.ordered_at):
            self.report_violation(
                f"cancelled job started: {record},"
                f" {record.ordered_at - cancelled_at:.2f} s after the acknowledgement"
            )

    def _check_start_on_draining_executor(self, record: RunRecord) -> None:
        since = record.draining_since
        if since is None or record.ordered_at <= since + DRAIN_S or record.is_late:
            return
        if self._is_in_touch(record.agent, since) and self._is_in_touch(
            record.agent, record.ordered_at
        ):
            self.report_violation(
                f"started on a draining executor: {record},"
                f" {record.ordered_at - since:.2f} s after the acknowledgement"
            )

    def _check_start_in_evacuated_zone(self, record: RunRecord) -> None:
        since = self.evacuated_at_by_executor.get(record.executor)
        if since is None or record.ordered_at <= since + EVACUATE_S or record.is_late:
            return
        if self._is_in_touch(record.agent, record.ordered_at):
            self.report_violation(
                f"started in an evacuated zone: {record},"
                f" {record.ordered_at - since:.2f} s after the acknowledgement"
            )

    def record_evacuation(self, executor: str, *, is_evacuated: bool) -> None:
        """Record that an executor's zone is evacuated, or is about to be taken back."""
        with self.lock:
            if is_evacuated:
                self.evacuated_at_by_executor.setdefault(executor, self.clock())
            else:
                self.evacuated_at_by_executor.pop(executor, None)

    def _is_in_touch(self, program: str, at: float) -> bool:
        """Return whether neither the program nor the store was disturbed shortly before a time."""
        return self.disturbances.is_calm(program, STORE, since=at - CONTACT_S, until=at)

    def record_crash_by(self, record: RunRecord) -> None:
        """Record that a run has crashed its executor, as each run of the task does.

        Reports a violation if undisturbed agents started the task too often after its third crash.
        """
        with self.lock:
            task = record.task
            self.last_crash_at = self.clock()
            crashes = self.crashes_by_task[task] = self.crashes_by_task.get(task, 0) + 1
            if crashes <= MAX_CRASHES or not self._is_in_touch(record.agent, record.ordered_at):
                return
            starts = self._late_starts_by_task[task] = self._late_starts_by_task.get(task, 0) + 1
            if starts == FORBIDDEN_STARTS:
                self.report_violation(f"{task} was started again after {MAX_CRASHES} crashes")

    def may_be_given_up(self, job_id: str) -> bool:
        """Return whether enough executors have crashed under one task of a job.

        News of the pages: a task under which two executors have crashed may be given up. It doesn't
        matter whether the task has caused the crashes.
        """
        with self.lock:
            crashes = Counter(
                run.task for run in self.runs if run.job == job_id and run.end_kind == "crashed"
            )
        return max(crashes.values(), default=0) >= MIN_CRASHES_TO_FAIL

    def _start_work_of_complete_gang(self, record: RunRecord) -> None:
        step = record.task.rpartition(".")[0]
        gang = [
            other
            for other in self.runs
            if other.ended_at is None
            and other.task.rpartition(".")[0] == step
            and other.run == record.run
        ]
        if record.members <= 1:
            record.ends_at = record.started_at + record.duration_s
        elif len({member.task for member in gang}) == record.members:
            for member in gang:
                member.ends_at = self.clock() + member.duration_s

    def record_end(self, record: RunRecord, kind: str) -> None:
        """Record the end of a run."""
        with self.lock:
            record.ended_at, record.end_kind = self.clock(), kind

    def record_acknowledged_end(self, record: RunRecord) -> None:
        """Record that the agent has acknowledged the end of a run.

        Reports a violation if the end is one as done and the task has started again since.
        """
        with self.lock:
            record.is_end_seen = True
            if record.end_kind != "done" or record.ended_at is None:
                return
            for other in self._runs_of(record.task):
                if other is not record and other.started_at >= record.ended_at:
                    self.report_violation(f"started after its end: {other}")

    def record_cancellation(self, job: str) -> None:
        """Record that the cancellation of a job was acknowledged to its caller."""
        with self.lock:
            self.cancelled_at_by_job.setdefault(job, self.clock())

    def is_running_cancelled(self) -> bool:
        """Return whether a task of a cancelled job still runs."""
        with self.lock:
            return any(r.ended_at is None and r.job in self.cancelled_at_by_job for r in self.runs)

    def check_runs_of_cancelled_jobs(self, entries: list[str]) -> None:
        """Report the tasks of cancelled jobs that ran on for too long while nothing was disturbed.

        :param entries: names of the entries, each of which may be the leader
        """
        with self.lock:
            now = self.clock()
            for record in self.runs:
                cancelled_at = self.cancelled_at_by_job.get(record.job)
                if cancelled_at is None:
                    continue
                earliest = record.started_at + (CONTACT_S if record.is_late else 0.0)
                stretches = self.disturbances.calm_stretches(
                    *entries,
                    record.agent,
                    record.executor,
                    STORE,
                    since=max(cancelled_at, earliest),
                    until=now if record.ended_at is None else record.ended_at,
                    contact_s=CONTACT_S,
                )
                longest_s = max([until - since for since, until in stretches], default=0.0)
                if longest_s > CANCEL_S + STOP_S:
                    self.report_violation(
                        f"cancelled job runs on: {record}, {longest_s:.2f} s undisturbed"
                    )

    def report_violation(self, text: str) -> None:
        """Record the violation of an invariant."""
        with self.lock:
            self.violations.append(f"{self.clock() - self._started_at:.2f} s: {text}")
