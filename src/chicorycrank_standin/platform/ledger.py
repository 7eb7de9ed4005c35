"""What runs on all executors, and the promises that it breaks."""

import threading
import time
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class RunRow:
    """A run of a task on an executor.

    :param ends_at: monotonic time at which its work is done; None while its gang is incomplete
    """

    task: str
    run: int
    executor: str
    seconds: float
    members: int
    accelerators: int
    begun_at: float
    ends_at: float | None = None


@dataclass
class Ledger:
    """Runs of all executors; guarded by one lock."""

    lock: threading.RLock = field(default_factory=threading.RLock)
    running: dict[tuple[str, str], RunRow] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    noted_done: set[str] = field(default_factory=set)
    starts: list[tuple[float, str, int]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    begun_at: float = field(default_factory=time.monotonic)

    def begin(self, row: RunRow) -> None:
        """Note a run that begins."""
        with self.lock:
            self.starts.append((time.monotonic(), row.task, row.run))
            for (task, executor), other in self.running.items():
                if task == row.task and executor != row.executor:
                    self.report(
                        f"two runs at once: {task} run {other.run} on {executor},"
                        f" run {row.run} on {row.executor}"
                    )
            if row.task in self.noted_done:
                self.report(f"started after its end: {row.task} run {row.run} on {row.executor}")
            self.running[row.task, row.executor] = row
            self._complete_gang(row)

    def _complete_gang(self, row: RunRow) -> None:
        job = row.task.rpartition(".")[0]
        mates = [
            other
            for other in self.running.values()
            if other.task.rpartition(".")[0] == job and other.run == row.run
        ]
        if row.members <= 1:
            row.ends_at = row.begun_at + row.seconds
        elif len({mate.task for mate in mates}) == row.members:
            for mate in mates:
                mate.ends_at = time.monotonic() + mate.seconds

    def end(self, row: RunRow, how: str) -> None:
        """Note that a run has ended."""
        with self.lock:
            if how == "done":
                self.done.add(row.task)
            self.running.pop((row.task, row.executor), None)

    def note_done(self, task: str) -> None:
        """Note that the system knows that a task has ended as done."""
        with self.lock:
            self.noted_done.add(task)

    def report(self, text: str) -> None:
        """Note a broken promise."""
        with self.lock:
            self.violations.append(f"{time.monotonic() - self.begun_at:.2f} s: {text}")
