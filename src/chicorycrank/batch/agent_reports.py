"""Reports of an agent to the store, on which the acceptance of runs depends."""

import logging

import msgspec

from chicorycrank.batch.agent_state import AgentState
from chicorycrank.batch.evacuation_checks import reject_unaccepted
from chicorycrank.batch.report_store import (
    MAX_JOBS_PER_REPORT,
    JobsCancelledError,
    OrderChangedError,
    ReportConflictError,
    ZoneEvacuatedError,
)
from chicorycrank.model.batch import WorkerReport
from chicorycrank.model.ids import JobId

logger = logging.getLogger("absl")


class AgentReports(AgentState):
    """State of an agent with the reports about it."""

    def _has_unwritten_changes(self) -> bool:
        return self._is_registered and self._current_report() != self._report_store.written

    def _has_unaccepted(self) -> bool:
        return self.table.has_unaccepted(includes_new=self.executor_state.accepts_runs)

    def _unaccepted_jobs(self) -> list[JobId]:
        return self.table.unaccepted_jobs(includes_new=self.executor_state.accepts_runs)

    def _current_report(self) -> WorkerReport:
        includes_new = self.executor_state.accepts_runs
        return msgspec.structs.replace(
            self.report,
            zone=self.zone,
            ends=list(self.table.ends),
            seen=self.table.last_end_number,
            suspects=dict(self.table.suspects),
            checkpoints=dict(self.table.checkpoints),
            work_rates=dict(self.table.work_rates),
            accepted=self.table.runs_to_accept(includes_new=includes_new),
            cleared=dict(self.table.cleared),
        )

    def _write_report(self) -> bool:
        """Write the report; return whether it was written.

        It is not written if another agent of this worker has written it since, or if the order has
        changed while runs wait for their acceptance.

        Runs are accepted on condition that the order that names them is unchanged, so that the
        leader can withdraw runs that have not been accepted, that their jobs are not cancelled, and
        that the zone is not evacuated.
        """
        with self._lock:
            report = self._current_report()
            accepts_runs = self._has_unaccepted()
            order_revision = self._order_revision if accepts_runs else None
            zone = self.zone
            evacuation_key = self._evacuation_checks.key_of(zone) if accepts_runs else ""
            # The starts of further jobs are checked one by one.
            new_jobs = self._unaccepted_jobs()[:MAX_JOBS_PER_REPORT]
        sent_at = self._clock.monotonic()
        try:
            if self._report_store.write(report, order_revision, new_jobs, evacuation_key):
                self._cancellation_checks.record_absent(new_jobs, sent_at)
                if evacuation_key:
                    self._evacuation_checks.record_absent(zone, sent_at)
        except JobsCancelledError as error:
            logger.info("event=acceptance_prevented jobs=%s", ",".join(sorted(error.job_ids)))
            with self._lock:
                self.table.stop_jobs(error.job_ids)
            return False
        except ZoneEvacuatedError:
            with self._lock:
                reject_unaccepted(self.table, zone)
            return False
        except OrderChangedError as error:
            self._apply_order_items([error.item] if error.item is not None else [])
            return False
        except ReportConflictError:
            with self._lock:
                self._is_registered = False
            return False
        with self._lock:
            if report.incarnation == self.report.incarnation:
                self.table.record_accepted(report.accepted)
                self._run_driver.submit_calls()
            self._lock.notify_all()
        return True
