"""What an agent knows of its executor: the registered incarnation and candidates for the next one.

Only a status that an incarnation itself has answered makes it the registered one. A heartbeat, an
exit notice and a failed call are hints: they close the worker for new work and cause a status call.
"""

import logging
from dataclasses import dataclass
from enum import Enum

import msgspec

from chicorycrank.batch.executor_clock import ExecutorClock
from chicorycrank.batch.leases import executor_lease_s
from chicorycrank.batch.metrics import HEARTBEATS_IGNORED
from chicorycrank.batch.running_time import RunningTime
from chicorycrank.model.batch import WorkerReport, WorkerState
from chicorycrank.model.ids import Incarnation, TargetId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.executor import ExecutorStatus

# Heartbeats of other writers and of earlier lives that are kept until one of them is confirmed.
MAX_CANDIDATES = 4
# Messages are held back by a partition for as long as it lasts. An exit notice that comes this long
# after the start of an executor is not one of its earlier life.
LATE_MESSAGE_LIMIT_S = 15.0
# Sequence number below that of each heartbeat.
NO_HEARTBEAT_NUMBER = -1

logger = logging.getLogger("absl")


class ExecutorEnd(Enum):
    """Proof of the end of an incarnation of an executor."""

    REPLACED = "replaced"  # a later incarnation answered at its address
    LEASE_EXPIRED = "lease-expired"  # a call after the expiry of all leases had no answer
    LEFT = "left"  # it drained, announced its exit and refused a call after that


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Heartbeat of an incarnation.

    :param report: the executor's part of the worker report
    :param number: sequence number within the incarnation
    :param started_at_ms: start time of the incarnation in milliseconds
    :param clock_ms: reading of the executor's clock in milliseconds
    :param received_at: monotonic time of its arrival
    """

    report: WorkerReport
    number: int
    started_at_ms: int
    clock_ms: int
    received_at: float


class ExecutorState:
    """State of the executor beside an agent; the agent's lock guards it.

    :ivar report: the executor's part of the worker report, of the registered incarnation
    :ivar last_heartbeat: latest heartbeat of the registered incarnation
    :ivar end: proof of the end of the registered incarnation; None while it may run
    :ivar has_exit_notice: it has said that it ends, and has not answered since
    :ivar is_candidate_due: the registered incarnation does not answer and another one does
    :ivar has_heartbeat: a heartbeat of the registered incarnation has come to this process
    """

    def __init__(
        self, worker: TargetId, clock: Clock, running_time: RunningTime, max_lease_s: float
    ) -> None:
        self._worker = worker
        self._clock = clock
        self._running_time = running_time
        self.clock = ExecutorClock(
            clock, lambda: running_time.seconds, executor_lease_s(max_lease_s), max_lease_s
        )
        self.report = WorkerReport()
        self.end: ExecutorEnd | None = None
        self.is_candidate_due = False
        self.has_heartbeat = False
        self._candidates: dict[Incarnation, Heartbeat] = {}
        self.last_heartbeat: Heartbeat | None = None
        self._hinted_at = float("-inf")
        self.has_exit_notice = False
        # Running time at which the registered incarnation announced its exit.
        self._announced_at_running_s: float | None = None

    @property
    def may_start(self) -> bool:
        """Whether the registered incarnation may get new work."""
        return self.has_heartbeat and self.is_reachable

    @property
    def is_reachable(self) -> bool:
        """Whether the registered incarnation answers, and no heartbeat of another one has come."""
        return not self.report.is_unreachable and not self._candidates

    @property
    def accepts_runs(self) -> bool:
        """Whether new runs of the order may be accepted for the registered incarnation.

        Without a heartbeat, its state and capacity may have changed since they were stored.
        """
        return self.has_heartbeat and not self.report.is_unreachable

    @property
    def has_candidates(self) -> bool:
        """Whether heartbeats of other incarnations than the registered one have come."""
        return bool(self._candidates)

    def restore(self, stored: WorkerReport) -> None:
        """Go on with the incarnation that an earlier process of the agent has registered.

        Its end is proven by the same calls as that of an incarnation that this process has seen.
        """
        logger.info(
            "event=incarnation_restored target=%s incarnation=%s runs=%d",
            self._worker,
            stored.incarnation,
            len(stored.accepted),
        )
        self.report = msgspec.structs.replace(stored, lease_left_s=None)
        self.last_heartbeat = Heartbeat(
            report=self.report,
            number=NO_HEARTBEAT_NUMBER,
            started_at_ms=0,
            clock_ms=0,
            received_at=self._clock.monotonic(),
        )
        self.clock.assume_longest_lease()
        heartbeat = self._candidates.pop(stored.incarnation, None)
        if heartbeat is not None:
            self._adopt_report(heartbeat)

    # Hints.

    def apply_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat of the registered incarnation; keep that of another as a candidate.

        :returns: whether it says something new
        """
        report = heartbeat.report
        if report.incarnation == self.report.incarnation:
            if not self._is_same_executor(report):
                self._record_ignored(heartbeat, "other-writer")
                return False
            if self.last_heartbeat is not None and heartbeat.number <= self.last_heartbeat.number:
                self._record_ignored(heartbeat, "late-number")
                return False
            if report.state is not self.report.state:
                logger.info(
                    "event=executor_state state=%s number=%d", report.state.name, heartbeat.number
                )
            self._adopt_report(heartbeat)
            return True
        known = self._candidates.get(report.incarnation)
        if known is not None and heartbeat.number <= known.number:
            self._record_ignored(heartbeat, "late-number")
            return False
        last = self.last_heartbeat
        is_earlier = last is not None and heartbeat.started_at_ms < last.started_at_ms
        self._record_ignored(heartbeat, "earlier-life" if is_earlier else "unconfirmed")
        self._candidates.pop(report.incarnation, None)  # keeps the newest at the end
        self._candidates[report.incarnation] = heartbeat
        if len(self._candidates) > MAX_CANDIDATES:
            del self._candidates[next(iter(self._candidates))]
        return True

    def apply_exit_notice(self, executor: str) -> bool:
        """Record that an executor says that it ends; return false if it is not the registered one.

        The notice does not name the incarnation, so it may be a late one of an earlier life.
        """
        if not executor or self.report.executor != executor:
            return False
        self.has_exit_notice = True
        if self.report.state is WorkerState.DRAINING and self._is_notice_its_own():
            self._announced_at_running_s = self._running_time.seconds
        self.mark_unreachable("exit-notice")
        return True

    def _is_notice_its_own(self) -> bool:
        """Return whether an exit notice cannot be a late one of an earlier life."""
        if self.last_heartbeat is None or not self.has_heartbeat:
            return False
        age_s = self._clock.now().timestamp() - self.last_heartbeat.started_at_ms / 1000
        return age_s >= LATE_MESSAGE_LIMIT_S

    def has_left(self, refused_at_running_s: float) -> bool:
        """Return whether a refused call proves an announced exit.

        :param refused_at_running_s: running time at which the call was sent
        """
        announced_at = self._announced_at_running_s
        return announced_at is not None and refused_at_running_s > announced_at

    def mark_unreachable(self, hint: str) -> None:
        """Close the worker for new work until the registered incarnation answers again."""
        self._hinted_at = self._clock.monotonic()
        if not self.report.is_unreachable:
            logger.info(
                "event=executor_hint target=%s incarnation=%s hint=%s",
                self._worker,
                self.report.incarnation,
                hint,
            )
            self.report.is_unreachable = True

    # Proofs.

    def record_answer(
        self, status: ExecutorStatus, sent_at: float, sent_at_running_s: float
    ) -> None:
        """Record that the registered incarnation has answered a status call.

        :param sent_at: monotonic time at which the status was requested
        :param sent_at_running_s: running time at which the status was requested
        """
        self.clock.record_response(status.clock_ms, sent_at, sent_at_running_s)
        if self.end is not None:
            logger.warning(
                "event=executor_answers_again target=%s incarnation=%s running=%s ends=%s",
                self._worker,
                status.incarnation,
                ",".join(f"{row.task}/{row.run}" for row in status.running),
                ",".join(f"{e.end.task}/{e.end.run}/{e.end.kind.name}" for e in status.ends),
            )
            self.end = None
        if sent_at >= self._hinted_at:
            self.report.is_unreachable = False
            self._discard_exit_notice()
        self.is_candidate_due = False
        for candidate in list(self._candidates.values()):
            if candidate.received_at <= sent_at:
                self.drop_candidate(candidate, "known-answers")

    def next_candidate(self) -> Heartbeat | None:
        """Return the candidate to confirm now, if there is one."""
        if self.report.incarnation and not self.is_candidate_due:
            return None
        return next(reversed(self._candidates.values()), None)

    def drop_candidate(self, candidate: Heartbeat, reason: str) -> None:
        """Drop a candidate that the executor has not confirmed."""
        self._candidates.pop(candidate.report.incarnation, None)
        logger.info(
            "event=candidate_dropped target=%s incarnation=%s known=%s reason=%s",
            self._worker,
            candidate.report.incarnation,
            self.report.incarnation,
            reason,
        )

    def record_unconfirmed(self, incarnation: Incarnation, *, is_other: bool) -> None:
        """Record that a candidate has not answered the call that would confirm it.

        :param is_other: another incarnation has answered it
        """
        self.is_candidate_due = False
        candidate = self._candidates.get(incarnation)
        if is_other and candidate is not None:
            self.drop_candidate(candidate, "not-confirmed")

    def register(self, candidate: Heartbeat) -> None:
        """Make a candidate the registered incarnation, as it has answered a status call."""
        logger.info(
            "event=executor_started target=%s incarnation=%s",
            self._worker,
            candidate.report.incarnation,
        )
        # A heartbeat that has come since then is newer.
        candidate = self._candidates.pop(candidate.report.incarnation, candidate)
        self.is_candidate_due = False
        self.end = None
        self._discard_exit_notice()
        self.report.is_unreachable = False
        self._adopt_report(candidate)
        self.clock.reset()

    def _is_same_executor(self, report: WorkerReport) -> bool:
        """Return whether a report agrees in what an executor cannot change while it runs."""
        current = self.report
        return (report.service, report.labels) == (current.service, current.labels)

    def _discard_exit_notice(self) -> None:
        self.has_exit_notice = False
        self._announced_at_running_s = None

    def _adopt_report(self, heartbeat: Heartbeat) -> None:
        self.last_heartbeat, self.has_heartbeat = heartbeat, True
        self.report = msgspec.structs.replace(
            heartbeat.report, fence=self.report.fence, is_unreachable=self.report.is_unreachable
        )

    def _record_ignored(self, heartbeat: Heartbeat, reason: str) -> None:
        HEARTBEATS_IGNORED.labels(reason).inc()
        logger.info(
            "event=heartbeat_ignored target=%s incarnation=%s number=%d known=%s reason=%s",
            self._worker,
            heartbeat.report.incarnation,
            heartbeat.number,
            self.report.incarnation,
            reason,
        )
