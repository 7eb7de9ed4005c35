"""Interruptions of workers, and limits for those that flap.

Load that it answers: executors that go down and up by turns. A gang that starts there each time is
lost each time, with all its unsaved work on other workers.

An interruption is a crash of a worker's executor, its replacement, or its becoming unreachable. A
worker with two of them in a short time flaps. Once its executor is up again, it gets only single
tasks that lose little, until it has been up for a time that grows with the interruptions.
"""

import logging
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from chicorycrank.batch.metrics import WORKERS_FLAPPING
from chicorycrank.model.batch import Crash, Progress, Step, WorkerReport, WorkerState
from chicorycrank.model.ids import Incarnation, TargetId

# Interruptions within this time of the last one count together.
FLAP_WINDOW_S = 30.0
MIN_INTERRUPTIONS = 2
# Time that a worker has to be up after two, three, and four or more interruptions.
SETTLING_TIMES_S = (3.0, 6.0, 12.0)
# A task of at most this run time loses no more than one that saves checkpoints.
SHORT_RUN_S = 3.0
# A leader records a crash after the start of the next incarnation, by a clock of another machine.
CRASH_CLOCK_MARGIN_MS = 3000

logger = logging.getLogger("absl")


def count_together(interrupted_at: Sequence[float]) -> int:
    """Return how many interruptions count together with the last one.

    :param interrupted_at: times in seconds, the last one at the end
    """
    return sum(interrupted_at[-1] - at <= FLAP_WINDOW_S for at in interrupted_at)


def settling_time_s(interrupted_at: Sequence[float]) -> float:
    """Return how long a worker has to be up until it gets all work; 0 if it does not flap.

    :param interrupted_at: times of its interruptions in seconds, the last one at the end
    """
    count = count_together(interrupted_at)
    if count < MIN_INTERRUPTIONS:
        return 0.0
    return SETTLING_TIMES_S[min(count - MIN_INTERRUPTIONS, len(SETTLING_TIMES_S) - 1)]


def loses_little(step: Step) -> bool:
    """Return whether a unit of a step loses little work if the executor of a worker goes down."""
    if step.gang and step.count > 1:
        return False
    return step.checkpointing or (not step.long_running and step.run_time_s <= SHORT_RUN_S)


def stored_interruptions_ms(
    report: WorkerReport, crashes: Iterable[Crash], now_ms: int
) -> list[int]:
    """Return the Unix times in milliseconds of the recent interruptions that records show.

    :param report: report of a worker of which nothing else is known
    :param crashes: crashes on this worker that the records of units name
    """
    at_ms_by_incarnation = {crash.incarnation: crash.at_ms for crash in crashes}
    times_ms = list(at_ms_by_incarnation.values())
    # The first registration of an executor has the fencing token 1.
    is_restart = report.started_at_ms > 0 and report.fence > 1
    is_recorded = any(
        incarnation != report.incarnation and at_ms >= report.started_at_ms - CRASH_CLOCK_MARGIN_MS
        for incarnation, at_ms in at_ms_by_incarnation.items()
    )
    if is_restart and not is_recorded:
        times_ms.append(report.started_at_ms)
    if report.is_unreachable and report.incarnation not in at_ms_by_incarnation:
        times_ms.append(now_ms)
    limit_ms = FLAP_WINDOW_S * 1000
    # Clocks of machines differ slightly, so a time may be ahead.
    return sorted(min(at_ms, now_ms) for at_ms in times_ms if now_ms - at_ms <= limit_ms)


@dataclass(kw_only=True)
class _History:
    """What is known of a worker's executor; times are monotonic, in seconds.

    :ivar up_since: time since which it has answered; None while it is down
    """

    incarnation: Incarnation
    up_since: float | None
    interrupted_at: deque[float] = field(
        default_factory=lambda: deque(maxlen=MIN_INTERRUPTIONS + len(SETTLING_TIMES_S))
    )

    def settling_time_s(self) -> float:
        return settling_time_s(self.interrupted_at)

    def is_restricted(self, now_s: float) -> bool:
        return self.up_since is not None and now_s - self.up_since < self.settling_time_s()

    def is_recent(self, now_s: float) -> bool:
        if not self.interrupted_at:
            return False
        last = self.interrupted_at[-1]
        since = last if self.up_since is None else max(last, self.up_since)
        return now_s - since < FLAP_WINDOW_S


class Interruptions:
    """Interruptions of all workers, from their reports."""

    def __init__(self) -> None:
        self._history_by_worker: dict[TargetId, _History] = {}
        self._stored_crashes: dict[TargetId, list[Crash]] = {}
        self._restricted: frozenset[TargetId] = frozenset()
        # Results by time, which a plan asks for once per waiting unit.
        self._restricted_at: tuple[float, frozenset[TargetId]] | None = None
        self._recent_at: tuple[float, frozenset[TargetId]] | None = None

    def restore(self, progress: Progress) -> None:
        """Take over the crashes in the record of a job, for workers without a report so far."""
        for unit in progress.units.values():
            for crash in unit.crashes:
                if crash.worker not in self._history_by_worker:
                    self._stored_crashes.setdefault(crash.worker, []).append(crash)

    def record(self, worker: TargetId, report: WorkerReport, now_s: float, now_ms: int) -> None:
        """Record what a report shows of a worker's executor."""
        if not report.incarnation:
            return
        is_up = report.state is not WorkerState.GONE and not report.is_unreachable
        self._restricted_at = self._recent_at = None
        history = self._history_by_worker.get(worker)
        if history is None:
            self._history_by_worker[worker] = self._restored(worker, report, is_up, now_s, now_ms)
            return
        is_replaced = history.incarnation != report.incarnation
        if history.up_since is not None and (is_replaced or not is_up):
            history.interrupted_at.append(now_s)
            settling_s = history.settling_time_s()
            if settling_s:
                logger.warning(
                    "event=worker_flapping target=%s interruptions=%d settling_s=%.0f",
                    worker,
                    count_together(history.interrupted_at),
                    settling_s,
                )
        if not is_up:
            history.up_since = None
        elif is_replaced or history.up_since is None:
            history.up_since = now_s
        history.incarnation = report.incarnation

    def _restored(
        self, worker: TargetId, report: WorkerReport, is_up: bool, now_s: float, now_ms: int
    ) -> _History:
        crashes = self._stored_crashes.pop(worker, [])
        history = _History(incarnation=report.incarnation, up_since=None)
        for at_ms in stored_interruptions_ms(report, crashes, now_ms):
            history.interrupted_at.append(now_s - (now_ms - at_ms) / 1000)
        if is_up:
            up_s = max(0.0, (now_ms - report.started_at_ms) / 1000)
            history.up_since = now_s - (up_s if report.started_at_ms else FLAP_WINDOW_S)
        return history

    def restricted(self, now_s: float) -> frozenset[TargetId]:
        """Return the workers that get only units that lose little, as they have flapped."""
        if self._restricted_at is None or self._restricted_at[0] != now_s:
            workers = frozenset(
                worker
                for worker, history in self._history_by_worker.items()
                if history.is_restricted(now_s)
            )
            self._restricted_at = now_s, workers
        return self._restricted_at[1]

    def recent(self, now_s: float) -> frozenset[TargetId]:
        """Return the workers that were interrupted, or came back from that, a short time ago."""
        if self._recent_at is None or self._recent_at[0] != now_s:
            workers = frozenset(
                worker
                for worker, history in self._history_by_worker.items()
                if history.is_recent(now_s)
            )
            self._recent_at = now_s, workers
        return self._recent_at[1]

    def update_metrics(self, now_s: float) -> None:
        """Log and count the workers whose limits have changed."""
        restricted = self.restricted(now_s)
        for worker in sorted(self._restricted - restricted):
            if self._history_by_worker[worker].up_since is not None:
                logger.info("event=worker_settled target=%s", worker)
        self._restricted = restricted
        WORKERS_FLAPPING.set(len(restricted))
