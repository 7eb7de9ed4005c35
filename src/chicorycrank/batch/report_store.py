"""Stored report of a worker, which is written only if no other agent has written it since."""

import logging
from collections.abc import Collection

import msgspec

from chicorycrank.batch.keys import cancel_key, decode, encode, order_key, report_key
from chicorycrank.batch.metrics import REPORTS_WRITTEN
from chicorycrank.model.batch import WorkerReport
from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.ports.transactions import (
    MISSING,
    Committed,
    Conflict,
    Item,
    Revision,
    TransactionalStore,
    Write,
)

COMMIT_TIMEOUT_S = 0.8
# The store accepts 32 keys and conditions per write. The report takes two, the order and the
# evacuation of the zone one each.
MAX_JOBS_PER_REPORT = 28

logger = logging.getLogger("absl")


class OrderChangedError(Exception):
    """The order has changed, so the report was not written.

    :param item: the order; None if it was deleted
    """

    def __init__(self, item: Item | None) -> None:
        super().__init__("the order has changed")
        self.item = item


class JobsCancelledError(Exception):
    """Jobs on whose runs the report depends are cancelled, so it was not written.

    :param job_ids: the cancelled jobs
    """

    def __init__(self, job_ids: Collection[JobId]) -> None:
        super().__init__(f"cancelled jobs: {', '.join(sorted(job_ids))}")
        self.job_ids = job_ids


class ZoneEvacuatedError(Exception):
    """The zone of the worker is evacuated and the report accepts runs, so it was not written."""


class ReportConflictError(Exception):
    """Another agent has written the report."""


class ReportStore:
    """Reader and writer of the report; used by one thread.

    :ivar written: last report that was written; None before
    """

    def __init__(self, worker: TargetId, store: TransactionalStore) -> None:
        self._worker = worker
        self._store = store
        self._revision = MISSING
        self.written: WorkerReport | None = None

    def read(self) -> WorkerReport:
        """Return the stored report; the next write depends on it.

        :raises StoreUnavailableError: the store did not respond
        """
        item = self._store.read(report_key(self._worker))
        self._revision = item.revision if item is not None else MISSING
        try:
            return decode(item.value, WorkerReport) if item and item.value else WorkerReport()
        except msgspec.DecodeError as error:
            logger.warning("event=report_unreadable target=%s error=%s", self._worker, error)
            return WorkerReport()

    def write(
        self,
        report: WorkerReport,
        order_revision: Revision | None,
        uncancelled_jobs: Collection[JobId] = (),
        evacuation_key: str = "",
    ) -> bool:
        """Write the report.

        :param order_revision: revision that the order must have; None for any
        :param uncancelled_jobs: jobs that must not be cancelled, ``MAX_JOBS_PER_REPORT`` at most
        :param evacuation_key: key that must be missing, as it exists while the zone is evacuated;
            empty for none
        :returns: whether this call has written it, not an earlier one without an answer
        :raises JobsCancelledError: jobs are cancelled
        :raises OrderChangedError: the order has another revision
        :raises ReportConflictError: another agent has written the report since
        :raises StoreUnavailableError: the store did not respond
        :raises ZoneEvacuatedError: the evacuation key exists
        """
        key = report_key(self._worker)
        expected = {key: self._revision}
        if order_revision is not None:
            expected[order_key(self._worker)] = order_revision
        expected |= {cancel_key(job_id): MISSING for job_id in uncancelled_jobs}
        if evacuation_key:
            expected[evacuation_key] = MISSING
        value = encode(report)
        answer = self._store.commit(
            Write(expected=expected, values={key: value}), timeout_s=COMMIT_TIMEOUT_S
        )
        if isinstance(answer, Conflict):
            item = answer.items.get(key)
            if item is not None and item.revision == self._revision:
                self._raise_if_cancelled(answer, uncancelled_jobs)
                if _exists(answer, evacuation_key):
                    raise ZoneEvacuatedError
                logger.info("event=order_changed target=%s", self._worker)
                raise OrderChangedError(answer.items.get(order_key(self._worker)))
            # An earlier attempt may have been applied without an answer.
            if item is None or item.value != value:
                logger.warning("event=report_conflict target=%s", self._worker)
                raise ReportConflictError
            self._revision = item.revision
        else:
            self._revision = answer.revision
        REPORTS_WRITTEN.inc()
        self.written = report
        return isinstance(answer, Committed)

    def _raise_if_cancelled(self, conflict: Conflict, job_ids: Collection[JobId]) -> None:
        cancelled = {job_id for job_id in job_ids if _exists(conflict, cancel_key(job_id))}
        if cancelled:
            raise JobsCancelledError(cancelled)


def _exists(conflict: Conflict, key: str) -> bool:
    """Return whether a conflict shows that a key exists."""
    item = conflict.items.get(key)
    return item is not None and item.revision != MISSING
