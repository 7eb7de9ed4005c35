"""Attribution of executor crashes to the jobs whose tasks may have caused them.

A crash is attributed to a job if no other explanation stands: each other job that had a run there
has been cleared, the worker has not crashed without the job, and no outage hit many workers.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil

from chicorycrank.model.ids import Incarnation, JobId, TargetId

# Crashes this close together may have one cause.
OUTAGE_WINDOW_MS = 3000
# An outage hits at least this share of the workers, or at least this number, and in any case two
# besides the one in question.
OUTAGE_MIN_SHARE = 1 / 3
OUTAGE_SUFFICIENT_WORKERS = 4
OUTAGE_MIN_WORKERS = 2
# A worker that has crashed this recently with no job to explain it may do so again.
WORKER_DOUBT_MS = 60_000


@dataclass(kw_only=True)
class CrashEvent:
    """Crash of one incarnation of an executor.

    :param at_ms: Unix time in milliseconds
    :param present: jobs that had a run there
    :param suspects: jobs that may have caused it and have not been cleared
    :param is_outage: the machine or its agent failed too, which explains the crash
    """

    worker: TargetId
    at_ms: int
    present: set[JobId] = field(default_factory=set)
    suspects: set[JobId] = field(default_factory=set)
    is_outage: bool = False


class CrashLedger:
    """Recent crashes by incarnation of the executor.

    Conclusions are kept until the crashes change: after a crash of a whole fleet, a plan asks for
    thousands of them, and each compares many crashes.
    """

    def __init__(self) -> None:
        self.events_by_id: dict[Incarnation, CrashEvent] = {}
        self._is_attributed: dict[tuple[Incarnation, JobId], bool] = {}
        self._has_culprit: dict[Incarnation, bool] = {}

    def record(
        self,
        crash: Incarnation,
        worker: TargetId,
        at_ms: int,
        *,
        present: Iterable[JobId] = (),
        suspects: Iterable[JobId] = (),
        is_outage: bool = False,
    ) -> None:
        """Record a crash, or add jobs to one that is known."""
        self._discard_conclusions()
        event = self.events_by_id.setdefault(crash, CrashEvent(worker=worker, at_ms=at_ms))
        event.present |= {*present, *suspects}
        event.suspects |= set(suspects)
        event.is_outage = event.is_outage or is_outage

    def clear(self, crash: Incarnation, job_id: JobId) -> None:
        """Clear a job of a crash."""
        event = self.events_by_id.get(crash)
        if event is not None:
            event.suspects.discard(job_id)
            self._discard_conclusions()

    def discard(self, crash: Incarnation) -> bool:
        """Discard a crash that has not happened; return false if it is not known."""
        if self.events_by_id.pop(crash, None) is None:
            return False
        self._discard_conclusions()
        return True

    def blame(self, job_id: JobId) -> list[tuple[Incarnation, JobId]]:
        """Attribute every crash at which a job was present to it.

        :returns: crashes and jobs that are cleared by this
        """
        cleared = [
            (crash, other)
            for crash, event in self.events_by_id.items()
            if job_id in event.suspects
            for other in event.suspects - {job_id}
        ]
        for crash, other in cleared:
            self.clear(crash, other)
        return cleared

    def is_attributed(self, crash: Incarnation, job_id: JobId, worker_count: int) -> bool:
        """Return whether nothing but one job explains a crash.

        :param worker_count: number of workers of the fleet
        """
        event = self.events_by_id.get(crash)
        if event is None or event.suspects != {job_id} or event.is_outage:
            return False
        key = (crash, job_id)
        if key not in self._is_attributed:
            self._is_attributed[key] = not self._is_worker_in_doubt(
                crash, event, job_id, worker_count
            ) and not self._is_part_of_outage(event, job_id, worker_count)
        return self._is_attributed[key]

    def forget(self, now_ms: int) -> None:
        """Forget crashes without suspects that are too old to explain another crash."""
        for crash, event in list(self.events_by_id.items()):
            if not event.suspects and now_ms - event.at_ms > 2 * WORKER_DOUBT_MS:
                del self.events_by_id[crash]
                self._discard_conclusions()

    def _discard_conclusions(self) -> None:
        self._is_attributed.clear()
        self._has_culprit.clear()

    def _is_worker_in_doubt(
        self, crash: Incarnation, event: CrashEvent, job_id: JobId, worker_count: int
    ) -> bool:
        """Return whether the worker crashed lately though no job and no outage explains it."""
        return any(
            other.worker == event.worker
            and other_crash != crash
            and abs(other.at_ms - event.at_ms) <= WORKER_DOUBT_MS
            and job_id not in other.present
            and not other.suspects
            and not other.is_outage
            and not self._is_part_of_outage(other, job_id, worker_count)
            for other_crash, other in self.events_by_id.items()
        )

    def _is_part_of_outage(self, event: CrashEvent, job_id: JobId, worker_count: int) -> bool:
        """Return whether many other workers crashed at the same time without a culprit there."""
        others = self._simultaneous_crashes(event, job_id)
        if not _are_many(others.values(), worker_count):
            return False
        unexplained = [
            other
            for crash, other in others.items()
            if not self._is_known_culprit_at(crash, other, worker_count)
        ]
        return _are_many(unexplained, worker_count)

    def _simultaneous_crashes(
        self, event: CrashEvent, job_id: JobId
    ) -> dict[Incarnation, CrashEvent]:
        return {
            crash: other
            for crash, other in self.events_by_id.items()
            if other.worker != event.worker
            and job_id not in other.present
            and abs(other.at_ms - event.at_ms) <= OUTAGE_WINDOW_MS
        }

    def _is_known_culprit_at(
        self, crash: Incarnation, event: CrashEvent, worker_count: int
    ) -> bool:
        """Return whether the only suspect of a crash was also at one outside of any outage."""
        if crash not in self._has_culprit:
            self._has_culprit[crash] = len(event.suspects) == 1 and any(
                event.suspects <= other.suspects
                and not other.is_outage
                and not _are_many(
                    self._simultaneous_crashes(other, next(iter(event.suspects))).values(),
                    worker_count,
                )
                for other in self.events_by_id.values()
                if other is not event
            )
        return self._has_culprit[crash]


def _are_many(events: Iterable[CrashEvent], worker_count: int) -> bool:
    workers = {event.worker for event in events}
    share = min(OUTAGE_SUFFICIENT_WORKERS, ceil(worker_count * OUTAGE_MIN_SHARE))
    return len(workers) >= max(OUTAGE_MIN_WORKERS, share)
