"""Start and stop calls for the runs of an executor, repeated until they are answered."""

import logging
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass

from chicorycrank.batch.call_queue import CallQueue
from chicorycrank.batch.cancellation_checks import CancellationChecks
from chicorycrank.batch.evacuation_checks import (
    NO_ZONE,
    ZONE_EVACUATED,
    EvacuationChecks,
    log_rejection,
)
from chicorycrank.batch.run import Run
from chicorycrank.batch.runs import RunTable
from chicorycrank.batch.threads import Condition, Event, make_pool
from chicorycrank.batch.units import job_of
from chicorycrank.model.batch import EndKind
from chicorycrank.model.ids import Incarnation, ZoneId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.executor import (
    BatchExecutor,
    ExecutorUnreachableError,
    OtherIncarnationError,
    StartAnswer,
    StartOrder,
)
from chicorycrank.ports.transactions import StoreUnavailableError

MAX_CONCURRENT_CALLS = 8
RETRY_DELAY_S = 0.15
# Repetitions of a start that an executor answers as unhealthy, or by an error.
MAX_FAILED_STARTS = 6
FAILURES = (StartAnswer.UNHEALTHY, StartAnswer.ERROR, StartAnswer.FENCED)
# FENCED rejects this agent, not the run.
ANSWERS_THAT_KEEP_THE_RUN = (StartAnswer.STARTED, StartAnswer.OUTDATED, StartAnswer.FENCED)

logger = logging.getLogger("absl")


@dataclass(frozen=True, slots=True)
class CallContext:
    """Current parameters of calls to the executor.

    :param is_registered: the agent's fencing token is stored, so calls may be made
    :param is_reachable: the executor answers, and no heartbeat says that it has been replaced
    :param may_start: it is reachable, and its state and capacity are known
    :param is_ready: the executor accepts new work
    :param fence: fencing token of the agent
    :param deadline_ms: expiry of the lease to grant, as a time on the executor's clock; None if no
        lease may be granted
    :param zone: zone of the worker; empty if it is unknown
    """

    incarnation: Incarnation
    is_registered: bool
    is_reachable: bool
    may_start: bool
    is_ready: bool
    fence: int
    deadline_ms: int | None
    zone: ZoneId = NO_ZONE


class RunDriver:
    """Driver that starts and stops the runs of a table, each in a separate call.

    The jobs take turns, so that calls for a job don't wait for those of all runs of another one.

    :param cancellation_checks: show whether the job of a run is cancelled
    :param evacuation_checks: show whether the zone of the worker is evacuated
    :param lock: guards ``table``; held while ``get_context`` is called
    :param stop: set when the process stops
    :param get_context: returns the current parameters of calls
    :param granting: records a call that grants a lease until the given time on the executor's clock
    :param has_room: returns whether the executor's capacity fits a run; called with ``lock`` held
    :param on_fenced: called with the fencing token of a call that the executor rejects because it
        has seen a higher one
    """

    def __init__(
        self,
        executor: BatchExecutor,
        clock: Clock,
        table: RunTable,
        cancellation_checks: CancellationChecks,
        evacuation_checks: EvacuationChecks,
        lock: Condition,
        stop: Event,
        *,
        get_context: Callable[[], CallContext],
        granting: Callable[[int], AbstractContextManager[None]],
        has_room: Callable[[Run], bool],
        on_fenced: Callable[[int], None],
    ) -> None:
        self._executor = executor
        self._clock = clock
        self._table = table
        self._cancellation_checks = cancellation_checks
        self._evacuation_checks = evacuation_checks
        self._lock = lock
        self._stop = stop
        self._get_context = get_context
        self._granting = granting
        self._has_room = has_room
        self._on_fenced = on_fenced
        self._waiting = CallQueue()
        self._pool = make_pool(MAX_CONCURRENT_CALLS, "order")

    def submit_calls(self) -> None:
        """Submit the calls that are needed and not active yet; the caller holds the lock."""
        if self._stop.is_set():
            return
        for run in self._table.claim_runs_to_call():
            self._waiting.add(run)
            self._pool.submit(self._call_next)

    def _call_next(self) -> None:
        with self._lock:
            run = self._waiting.take()
        self._call_until_done(run)

    def _call_until_done(self, run: Run) -> None:
        assignment = run.assignment
        try:
            while not self._stop.is_set():
                with self._lock:
                    context = self._get_context()
                    # The next status or registration triggers a call that has to wait.
                    if not self._may_call(run, context):
                        run.is_call_active = False
                        return
                if not self._needs_check(run, context):
                    self._attempt_call(run, context)
                elif not self._check_start(run, context):
                    self._stop.wait(RETRY_DELAY_S)
        except Exception:
            # The next status of the executor triggers the call again.
            logger.exception("event=run_call_failed task=%s", assignment.task)
            run.unresolved_starts += 1
            run.is_call_active = False

    def _may_call(self, run: Run, context: CallContext) -> bool:
        return (
            context.is_registered
            and run.incarnation == context.incarnation
            and self._table.needs_call(run)
            and (run.should_stop or context.may_start)
        )

    def _needs_check(self, run: Run, context: CallContext) -> bool:
        """Return whether a start call has to wait for a check that it is still allowed."""
        is_call_next = context.is_ready and context.deadline_ms is not None
        is_start = is_call_next and not run.should_stop
        return is_start and (
            self._cancellation_checks.is_due(job_of(run.assignment.task))
            or self._evacuation_checks.is_due(context.zone)
        )

    def _check_start(self, run: Run, context: CallContext) -> bool:
        """Make the checks that are due; return false if the store has to be asked again."""
        if self._evacuation_checks.is_due(context.zone):
            return self._check_evacuation(run, context.zone)
        return self._check_cancellation(run)

    def _check_evacuation(self, run: Run, zone: ZoneId) -> bool:
        """Reject a run if its zone is evacuated; return false if the store has to be asked again.

        The store did not respond, or so late that its answer does not allow a start any more.
        """
        try:
            is_evacuated = self._evacuation_checks.is_evacuated(zone)
        except StoreUnavailableError as error:
            logger.warning("event=evacuation_unknown zone=%s error=%s", zone, error)
            return False
        if is_evacuated:
            log_rejection(run, zone)
            self._reject(run, ZONE_EVACUATED)
        return is_evacuated or not self._evacuation_checks.is_due(zone)

    def _check_cancellation(self, run: Run) -> bool:
        """Stop a run if its job is cancelled; return false if the store did not respond."""
        job_id = job_of(run.assignment.task)
        try:
            is_cancelled = self._cancellation_checks.is_cancelled(job_id)
        except StoreUnavailableError as error:
            logger.warning("event=cancellation_unknown job=%s error=%s", job_id, error)
            return False
        if is_cancelled:
            with self._lock:
                self._table.stop_jobs([job_id])
            logger.info(
                "event=cancelled_run_stopped task=%s run=%d",
                run.assignment.task,
                run.assignment.run,
            )
        return True

    def _attempt_call(self, run: Run, context: CallContext) -> None:
        """Make one call for a run, and wait before it is repeated."""
        is_stop = run.should_stop
        try:
            is_done = self._stop_run(run, context) if is_stop else self._start_run(run, context)
        except ExecutorUnreachableError as error:
            is_done = False
            if not is_stop:
                self._record_failed_start(
                    run, had_no_effect=error.refused, has_reached=not error.timed_out
                )
            logger.warning(
                "event=executor_unreachable task=%s run=%d stop=%s error=%s",
                run.assignment.task,
                run.assignment.run,
                is_stop,
                error,
            )
        except OtherIncarnationError:
            is_done = False
            if not is_stop:
                self._record_failed_start(run, had_no_effect=True)
        if not is_done:
            self._stop.wait(RETRY_DELAY_S)

    def _record_failed_start(
        self, run: Run, *, had_no_effect: bool, has_reached: bool = True
    ) -> None:
        """Record a start call that has not started the run.

        :param had_no_effect: the call certainly does nothing, so a crash of the executor is none
            under the run unless an earlier call may have started it
        :param has_reached: the call has certainly reached the executor
        """
        with self._lock:
            if not had_no_effect:
                run.unresolved_starts += 1
                run.has_reached_executor = run.has_reached_executor or has_reached
            elif not run.unresolved_starts and run.started_at is None:
                run.first_called_at = None

    def _start_run(self, run: Run, context: CallContext) -> bool:
        """Start a run; return false if the call has to be repeated."""
        assignment = run.assignment
        if not context.is_ready:
            self._reject(run, "the executor drains")
            return True
        if context.deadline_ms is None:
            return False
        with self._lock:
            has_room = run.may_be_present or self._has_room(run)
            if has_room and run.first_called_at is None:
                run.first_called_at = self._clock.monotonic()
        if not has_room:
            self._reject(run, "the executor lacks free capacity")
            return True
        order = StartOrder(
            task=assignment.task,
            run=assignment.run,
            payload=assignment.payload,
            checkpoint=assignment.checkpoint,
            ticket=assignment.ticket,
            deadline_ms=context.deadline_ms,
            fence=context.fence,
            incarnation=run.incarnation,
        )
        with self._granting(context.deadline_ms):
            answer = self._executor.start(order)
        logger.info(
            "event=run_start_answered task=%s run=%d answer=%s",
            assignment.task,
            assignment.run,
            answer.value,
        )
        if answer in FAILURES:
            self._record_failed_start(run, had_no_effect=answer is not StartAnswer.ERROR)
        if answer in (StartAnswer.UNHEALTHY, StartAnswer.ERROR):
            run.failed_starts += 1
            if run.failed_starts <= MAX_FAILED_STARTS:
                return False
        if answer not in ANSWERS_THAT_KEEP_THE_RUN:
            self._reject(run, answer.value)
            return True
        with self._lock:
            if answer is StartAnswer.STARTED:
                run.started_at = self._clock.monotonic()
            elif answer is StartAnswer.OUTDATED:
                run.starts_rejected_since = self._clock.monotonic()
        if answer is StartAnswer.FENCED:
            self._on_fenced(context.fence)
        return answer is not StartAnswer.FENCED

    def _reject(self, run: Run, reason: str) -> None:
        """Report a run as rejected once no earlier call can start it any more."""
        with self._lock:
            if run.started_at is not None or not self._table.needs_call(run):
                return
            run.rejection_reason = reason
            if run.unresolved_starts or run.is_adopted:
                run.should_stop = True
            else:
                self._table.end_run(run, EndKind.REJECTED, "", reason)
                self._lock.notify_all()

    def _stop_run(self, run: Run, context: CallContext) -> bool:
        """Stop a run; return false if the call has to be repeated."""
        assignment = run.assignment
        is_accepted = self._executor.stop(
            assignment.task, assignment.run, context.fence, run.incarnation
        )
        logger.info(
            "event=run_stop_answered task=%s run=%d accepted=%s",
            assignment.task,
            assignment.run,
            is_accepted,
        )
        if not is_accepted:
            self._on_fenced(context.fence)
            return False
        with self._lock:
            run.starts_rejected_since = self._clock.monotonic()
        return True
