"""State of an agent, and what orders of the leader and answers of the executor change in it."""

import logging
from collections.abc import Sequence

import msgspec

from chicorycrank.batch.cancellation_checks import CancellationChecks
from chicorycrank.batch.confirmation import Confirmer
from chicorycrank.batch.evacuation_checks import DEFAULT_EVACUATE_S, NO_ZONE, EvacuationChecks
from chicorycrank.batch.executor_poller import ExecutorPoller
from chicorycrank.batch.executor_state import ExecutorState
from chicorycrank.batch.keys import decode, order_key
from chicorycrank.batch.leases import MAX_CONFIRMATION_AGE_S
from chicorycrank.batch.pacing import Pacer
from chicorycrank.batch.presence import Presence
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.report_store import ReportStore
from chicorycrank.batch.run_driver import CallContext, RunDriver
from chicorycrank.batch.running_time import RunningTime
from chicorycrank.batch.runs import RunTable
from chicorycrank.batch.threads import make_condition, make_event
from chicorycrank.model.batch import WorkerReport, WorkerState, WorkOrder
from chicorycrank.model.ids import Incarnation, TargetId, ZoneId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.executor import BatchExecutor, ExecutorStatus
from chicorycrank.ports.transactions import (
    MISSING,
    Item,
    StoreUnavailableError,
    TransactionalStore,
)

ORDER_WATCH_TIMEOUT_S = 2.0

logger = logging.getLogger("absl")


class AgentState:
    """State of the agent of one worker; one lock guards what its threads share.

    :param worker: id of the worker in the store
    :param max_lease_s: longest lease that the executor grants, in seconds
    :param zone: zone of the worker until a heartbeat of the executor names one
    :param evacuation_prefix: prefix of the operator's keys for evacuated zones; empty for none
    :param evacuate_s: time in seconds from the acknowledgement of an evacuation after which nothing
        may start
    """

    def __init__(
        self,
        worker: TargetId,
        store: TransactionalStore,
        executor: BatchExecutor,
        clock: Clock,
        *,
        max_lease_s: float,
        zone: ZoneId = NO_ZONE,
        evacuation_prefix: str = "",
        evacuate_s: float = DEFAULT_EVACUATE_S,
    ) -> None:
        self._worker = worker
        self._settings_zone = zone
        self._executor = executor
        self._clock = clock
        self._lock = make_condition()
        self._stop = make_event()
        self._reports_stop = False
        self._has_reported_last = make_event()
        self._running_time = RunningTime(clock, self._stop)
        self.executor_state = ExecutorState(worker, clock, self._running_time, max_lease_s)
        self._order_replica = Replica(
            store, order_key(worker), self._apply_order_items, clock, wait_s=ORDER_WATCH_TIMEOUT_S
        )
        self.table = RunTable()
        # Slows filling tasks down while they slow down tasks that serve users.
        self._pacer = Pacer()
        self._cancellation_checks = CancellationChecks(store, clock)
        self._evacuation_checks = EvacuationChecks(store, clock, evacuation_prefix, evacuate_s)
        self._run_driver = RunDriver(
            executor,
            clock,
            self.table,
            self._cancellation_checks,
            self._evacuation_checks,
            self._lock,
            self._stop,
            get_context=self._call_context,
            granting=self.executor_state.clock.granting,
            has_room=lambda run: self.table.has_room(run, self.report),
            on_fenced=self._invalidate_registration,
        )
        self._report_store = ReportStore(worker, store)
        self._order_revision = MISSING
        self._is_registered = False
        # Accepted runs that are not known here may have begun.
        self._may_be_present = True
        self._has_read_report = False
        # An earlier process has accepted runs, and this one is not registered yet.
        self._has_restored_runs = False
        self._poller = ExecutorPoller(
            worker,
            executor,
            clock,
            self._running_time,
            self.executor_state,
            self.table,
            self._lock,
            self._stop,
            get_context=self._call_context,
            stored_end=self._last_stored_end_number,
            apply_status=self._apply_status,
            on_fenced=self._invalidate_registration,
        )
        self._confirmer = Confirmer(
            worker,
            executor,
            clock,
            self._running_time,
            self.executor_state,
            self._poller.record_failed_call,
        )
        self._presence = Presence(store, worker, clock, self._stop, self._confirm_order)

    @property
    def report(self) -> WorkerReport:
        """The executor's part of the report, of the registered incarnation."""
        return self.executor_state.report

    @property
    def zone(self) -> ZoneId:
        """Zone of the worker, as the executor names it; that of the settings until it does."""
        return ZoneId(self.report.zone) or self._settings_zone

    # Calls to the executor, under the lease that the store's confirmations allow.

    def _deadline_ms(self) -> int | None:
        """Return the end of a new lease on the executor's clock, or None for no extension.

        After a loss of presence, the leader may have withdrawn the order that is known here, so the
        order has to be read before the lease is extended.
        """
        confirmed_at = min(self._presence.confirmed_at, self._order_replica.confirmed_at)
        is_outdated = self._clock.monotonic() - confirmed_at >= MAX_CONFIRMATION_AGE_S
        if is_outdated or not self._is_order_read or self._stop.is_set():
            return None
        return self.executor_state.clock.deadline_ms()

    @property
    def _is_order_read(self) -> bool:
        """Whether the order was read since the presence was restored.

        An answered watch does not show it, as a watch may hear nothing of changes for a while.
        """
        return self._order_replica.read_at >= self._presence.resumed_at

    def _confirm_order(self) -> None:
        """Read the order after a loss of presence."""
        if self._is_order_read or self._presence.resumed_at > self._clock.monotonic():
            return
        try:
            self._order_replica.refresh()
        except StoreUnavailableError as error:
            logger.warning("event=order_read_failed target=%s error=%s", self._worker, error)
            return
        with self._lock:
            self._run_driver.submit_calls()

    def _call_context(self) -> CallContext:
        """Return the context of calls to the executor; the caller holds the lock."""
        return CallContext(
            incarnation=self.report.incarnation,
            is_registered=self._is_registered,
            is_reachable=self.executor_state.is_reachable,
            may_start=self.executor_state.may_start,
            is_ready=self.report.state is WorkerState.READY,
            fence=self.report.fence,
            deadline_ms=self._deadline_ms(),
            zone=self.zone,
        )

    def _invalidate_registration(self, fence: int) -> None:
        """Request a new registration, as the executor has received a higher fencing token.

        :param fence: token of the call that it rejected
        """
        with self._lock:
            if fence != self.report.fence:
                return
            logger.warning("event=registration_fenced target=%s fence=%d", self._worker, fence)
            self._is_registered = False
            self._lock.notify_all()

    # Orders of the leader.

    def _apply_order_items(self, items: Sequence[Item]) -> None:
        with self._lock:
            for item in items:
                if item.key != order_key(self._worker) or item.revision < self._order_revision:
                    continue
                self._order_revision = item.revision
                try:
                    order = decode(item.value, WorkOrder) if item.value else None
                except msgspec.DecodeError as error:
                    logger.warning("event=order_unreadable error=%s", error)
                    continue
                order = order or WorkOrder(incarnation=Incarnation(""))
                logger.info(
                    "event=order_received incarnation=%s tasks=%s",
                    order.incarnation,
                    ",".join(f"{a.task}/{a.run}{'!' if a.stop else ''}" for a in order.assignments),
                )
                self._apply_order(order)

    def _apply_order(self, order: WorkOrder) -> None:
        self.table.order = order
        if not self._is_registered:
            return
        self.table.apply_order(order, self.report.incarnation, may_be_present=self._may_be_present)
        if self.executor_state.end is not None:
            self.table.end_unaccepted()
        self._run_driver.submit_calls()
        self._lock.notify_all()

    # Answers of the executor.

    def _apply_status(
        self,
        status: ExecutorStatus,
        incarnation: Incarnation,
        sent_at: float,
        sent_at_running_s: float,
    ) -> None:
        with self._lock:
            if incarnation != self.report.incarnation:
                return
            self.executor_state.record_answer(status, sent_at, sent_at_running_s)
            self.table.apply_status(status, sent_at)
            self._lock.notify_all()
            self._run_driver.submit_calls()
            pace_changes = self._pacer.update(list(self.table.runs_by_task.values()), sent_at)
        for pace_change in pace_changes:
            self._pacer.send(pace_change, self._executor, self.report.fence)

    def _last_stored_end_number(self) -> int:
        """Return the number of the last stored end of this incarnation of the executor."""
        written = self._report_store.written
        if written is None or written.incarnation != self.report.incarnation:
            return 0
        return written.seen
