"""Polls of an executor: lease extension, status, and the proof that an incarnation has ended."""

import logging
from collections.abc import Callable

from chicorycrank.batch.confirmation import CallError, check_incarnation
from chicorycrank.batch.executor_state import ExecutorEnd, ExecutorState
from chicorycrank.batch.metrics import EXECUTORS_ENDED
from chicorycrank.batch.run_driver import CallContext
from chicorycrank.batch.running_time import RunningTime
from chicorycrank.batch.runs import RunTable
from chicorycrank.batch.threads import Condition, Event
from chicorycrank.model.batch import WorkerState
from chicorycrank.model.ids import Incarnation, TargetId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.executor import (
    BatchExecutor,
    ExecutorStatus,
    ExecutorUnreachableError,
    OtherIncarnationError,
)

# Limit of a long poll, which occupies a thread on the executor's machine.
LONG_POLL_S = 1.0
# The executor lists no end for a run that was stopped before it started, so that does not complete
# a long poll. Polls are short while runs may end in this way.
ENDING_RUNS_POLL_S = 0.1
# Polls show for how long a run on probation has lived if the executor crashes. Soon after its
# start call this tells whether it has outlived its start; later the usual polls are enough.
PROBATION_POLL_S = 0.25
PROBATION_POLLS_FOR_S = 3.0
RETRY_DELAY_S = 0.15
# Delay between polls while the executor lists ends that are not stored yet.
UNACKNOWLEDGED_WAIT_S = 0.5

logger = logging.getLogger("absl")


class ExecutorPoller:
    """Poller of the registered incarnation of an executor.

    :param lock: guards ``state`` and ``table``; held while ``get_context`` and ``stored_end`` are
        called
    :param get_context: returns the current parameters of calls
    :param stored_end: returns the number of the last stored end of the registered incarnation
    :param apply_status: called with a status of the registered incarnation, and the monotonic and
        the running time at which it was requested
    :param on_fenced: called with the fencing token of a call that was rejected
    """

    def __init__(
        self,
        worker: TargetId,
        executor: BatchExecutor,
        clock: Clock,
        running_time: RunningTime,
        state: ExecutorState,
        table: RunTable,
        lock: Condition,
        stop: Event,
        *,
        get_context: Callable[[], CallContext],
        stored_end: Callable[[], int],
        apply_status: Callable[[ExecutorStatus, Incarnation, float, float], None],
        on_fenced: Callable[[int], None],
    ) -> None:
        self._worker = worker
        self._executor = executor
        self._clock = clock
        self._running_time = running_time
        self._state = state
        self._table = table
        self._lock = lock
        self._stop = stop
        self._get_context = get_context
        self._stored_end = stored_end
        self._apply_status = apply_status
        self._on_fenced = on_fenced

    def run(self) -> None:
        """Poll until the process stops."""
        while not self._stop.is_set():
            with self._lock:
                if not self._get_context().is_registered:
                    self._lock.wait(LONG_POLL_S)
                    continue
                if self._stored_end() < self._table.last_end_number:
                    # The executor does not delay its response while ends are unacknowledged.
                    self._lock.wait(UNACKNOWLEDGED_WAIT_S)
                context = self._get_context()
                # A new incarnation would take the number as one of its own ends.
                last_acknowledged_end = self._stored_end() if context.is_reachable else 0
                wait_s = self._wait_s(context)
            sent_at, sent_at_running_s = self._clock.monotonic(), self._running_time.seconds
            try:
                with self._state.clock.granting(context.deadline_ms):
                    status = self._executor.extend_lease(
                        fence=context.fence,
                        last_acknowledged_end=last_acknowledged_end,
                        deadline_ms=context.deadline_ms,
                        wait_s=wait_s,
                        incarnation=context.incarnation,
                    )
                check_incarnation(self._worker, status, context.incarnation)
                self._apply_status(status, context.incarnation, sent_at, sent_at_running_s)
            except PermissionError:
                self._on_fenced(context.fence)
                self._stop.wait(RETRY_DELAY_S)
            except (ExecutorUnreachableError, OtherIncarnationError) as error:
                self.record_failed_call(error, context.incarnation, sent_at_running_s)
                self._wait_after_failure()

    def _wait_s(self, context: CallContext) -> float:
        if not context.is_reachable:
            return 0.0
        runs, now_s = self._table.tracked_runs(), self._clock.monotonic()
        if any(run.starts_rejected_since is not None for run in runs):
            return ENDING_RUNS_POLL_S
        is_on_probation = any(
            run.assignment.probation_ms > 0
            and not run.is_cleared(now_s)
            and run.age_s(now_s) < PROBATION_POLLS_FOR_S
            for run in runs
        )
        return PROBATION_POLL_S if is_on_probation else LONG_POLL_S

    def _wait_after_failure(self) -> None:
        with self._lock:
            if self._state.end is not None:
                self._lock.wait(LONG_POLL_S)
        self._stop.wait(RETRY_DELAY_S)

    def record_failed_call(
        self, error: CallError, incarnation: Incarnation, sent_at_running_s: float
    ) -> None:
        """Record a failed call, which is a hint, or the last part of a proof.

        :param incarnation: incarnation that was called
        :param sent_at_running_s: running time at which the call was sent
        """
        is_other = isinstance(error, OtherIncarnationError)
        is_refused = isinstance(error, ExecutorUnreachableError) and error.refused
        state = self._state
        with self._lock:
            if incarnation != state.report.incarnation:
                state.record_unconfirmed(incarnation, is_other=is_other)
                return
            has_expired = state.clock.record_failed_call(
                sent_at_running_s, may_be_frozen=not (is_other or is_refused)
            )
            if is_other or is_refused:
                state.mark_unreachable("other-incarnation" if is_other else "refused")
            elif not state.clock.is_responsive:
                state.mark_unreachable("no-answer")
            state.is_candidate_due = is_other and state.has_candidates
            has_left = is_refused and state.has_left(sent_at_running_s)
            if (has_expired or has_left) and state.end is None:
                logger.warning("event=executor_lost target=%s error=%s", self._worker, error)
                state.mark_unreachable("no-answer")
                how = ExecutorEnd.LEFT if has_left else ExecutorEnd.LEASE_EXPIRED
                self.end_incarnation(how, has_crashed=state.clock.has_refused)
            self._lock.notify_all()

    def end_incarnation(self, how: ExecutorEnd, *, has_crashed: bool) -> None:
        """End all runs of the registered incarnation, as its end is proven; needs the lock.

        :param has_crashed: it seems to have ended without notice; an executor that drains or has
            said that it ends has not crashed
        """
        now_s = self._clock.monotonic()
        state = self._state
        EXECUTORS_ENDED.labels(how.value).inc()
        logger.info(
            "event=executor_ended target=%s incarnation=%s how=%s state=%s runs=%s",
            self._worker,
            state.report.incarnation,
            how.value,
            state.report.state.name.lower(),
            ",".join(
                f"{run.assignment.task}/{run.assignment.run}/{run.age_s(now_s):.1f}s"
                f"/lived={run.survived_s:.1f}s"
                for run in self._table.tracked_runs()
            ),
        )
        state.end = how
        is_crash = (
            has_crashed and not state.has_exit_notice and state.report.state is WorkerState.READY
        )
        self._table.end_all(
            state.clock.down_since or now_s,
            has_crashed=is_crash,
            was_watched=not state.clock.has_slept,
        )
