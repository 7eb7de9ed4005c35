"""Workers that fail the jobs they are given get no work until a probe succeeds."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.model.jobs import MemberPlacement

logger = logging.getLogger("absl")


@dataclass(frozen=True, kw_only=True)
class QuarantineRules:
    """When a worker is quarantined, and for how long.

    :param strikes: different jobs that fail in a row
    :param same_job_strikes: failures of one job; it would otherwise never be tried elsewhere
    :param probe_delay_min_s: time until the first probe in seconds, doubled after each failed one
    :param probe_delay_max_s: longest time between probes in seconds
    """

    strikes: int = 3
    same_job_strikes: int = 3
    probe_delay_min_s: float = 30.0
    probe_delay_max_s: float = 3600.0


LONG_JOBS = QuarantineRules()


@dataclass(kw_only=True)
class Held:
    """A quarantined worker.

    :param rounds: failed probes so far
    :param probe_at: monotonic time from which one job may be tried
    :param probe: job that is tried now
    """

    reason: str
    probe_at: float
    rounds: int = 0
    probe: JobId | None = None


class Quarantine:
    """Failures in a row by worker, and the workers that are quarantined for them.

    :param now_s: monotonic time in seconds

    A failure counts only while its job has failed on no other worker, so that a few jobs that
    fail everywhere do not close one worker after the other.
    """

    def __init__(self, now_s: Callable[[], float], rules: QuarantineRules = LONG_JOBS) -> None:
        self._now_s = now_s
        self._rules = rules
        self._strikes_by_worker: dict[TargetId, dict[JobId, int]] = {}
        self._workers_by_job: dict[JobId, set[TargetId]] = {}
        self.held_by_worker: dict[TargetId, Held] = {}

    def note_failure(self, worker: TargetId, job_id: JobId, reason: str) -> bool:
        """Note that a job's task failed; true if the failure counts against the job."""
        workers = self._workers_by_job.setdefault(job_id, set())
        workers.add(worker)
        held = self.held_by_worker.get(worker)
        if held is not None:
            if held.probe == job_id:
                self._hold(worker, reason, held.rounds + 1)
            return False
        if len(workers) > 1:
            return True
        strikes = self._strikes_by_worker.setdefault(worker, {})
        strikes[job_id] = strikes.get(job_id, 0) + 1
        if len(strikes) >= self._rules.strikes or strikes[job_id] >= self._rules.same_job_strikes:
            self._hold(worker, f"{sum(strikes.values())} failures in a row; last: {reason}", 0)
            return False
        return True

    def note_end(self, job_id: JobId, placement: Iterable[MemberPlacement], *, ok: bool) -> None:
        """Note that an attempt ended without a failure; with ``ok`` its workers are sound."""
        for worker in {place.worker for place in placement}:
            held = self.held_by_worker.get(worker)
            if ok and (held is None or held.probe == job_id):
                self.release(worker)
            elif held is not None and held.probe == job_id:
                held.probe = None

    def note_final(self, job_id: JobId, *, is_faulty: bool) -> None:
        """Forget a job that has ended; the failures of a faulty one are not the workers'."""
        workers = self._workers_by_job.pop(job_id, set())
        for worker in workers if is_faulty else ():
            strikes = self._strikes_by_worker.get(worker, {})
            strikes.pop(job_id, None)
            held = self.held_by_worker.get(worker)
            is_unproven = (
                len(strikes) < self._rules.strikes and held is not None and held.rounds == 0
            )
            if is_unproven and max(strikes.values(), default=0) < self._rules.same_job_strikes:
                self.release(worker)

    def release(self, worker: TargetId) -> bool:
        """Give a worker work again; false if it was not quarantined."""
        self._strikes_by_worker.pop(worker, None)
        is_held = self.held_by_worker.pop(worker, None) is not None
        if is_held:
            logger.info("event=quarantine_ended target=%s", worker)
        return is_held

    def is_closed(self, worker: TargetId) -> bool:
        """Return whether a worker takes no new job now."""
        held = self.held_by_worker.get(worker)
        if held is None:
            return False
        return held.probe is not None or self._now_s() < held.probe_at

    def begin(self, job_id: JobId, placement: Iterable[MemberPlacement]) -> bool:
        """Note that a job starts; false if a worker is closed to it."""
        workers = {place.worker for place in placement}
        if any(map(self.is_closed, workers)):
            return False
        for worker in workers & self.held_by_worker.keys():
            self.held_by_worker[worker].probe = job_id
        return True

    def describe(self) -> dict[str, str]:
        """Return the reason of each quarantined worker."""
        return {worker: held.reason for worker, held in sorted(self.held_by_worker.items())}

    def _hold(self, worker: TargetId, reason: str, rounds: int) -> None:
        delay_s = min(
            self._rules.probe_delay_max_s, self._rules.probe_delay_min_s * 2.0 ** min(rounds, 10)
        )
        probe_at = self._now_s() + delay_s
        self.held_by_worker[worker] = Held(reason=reason, probe_at=probe_at, rounds=rounds)
        logger.warning("event=quarantined target=%s reason=%s", worker, reason)
