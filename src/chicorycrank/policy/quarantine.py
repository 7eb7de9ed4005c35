"""Quarantine of workers that repeatedly fail jobs, until a probe job succeeds."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf

from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.model.jobs import MemberPlacement

logger = logging.getLogger("absl")


@dataclass(frozen=True, kw_only=True)
class QuarantineRules:
    """Thresholds and probe delays of the quarantine.

    :param max_failed_jobs: number of different jobs that must fail in a row on a worker
    :param max_failures_per_job: number of failures of a single job on a worker; without this limit
        the job would never be tried on another worker
    :param probe_delay_min_s: delay before the first probe in seconds, doubled after each failed one
    :param probe_delay_max_s: upper limit of the delay in seconds
    :param stall_probation_s: time in seconds without a stall after which a probe has succeeded on a
        worker that is quarantined for a stall; longer than a stall takes to be noticed
    """

    max_failed_jobs: int = 3
    max_failures_per_job: int = 3
    probe_delay_min_s: float = 30.0
    probe_delay_max_s: float = 3600.0
    stall_probation_s: float = 60.0


DEFAULT_RULES = QuarantineRules()


@dataclass(kw_only=True)
class QuarantinedWorker:
    """State of a quarantined worker.

    :param probe_at_s: monotonic time from which one probe job may start
    :param failed_probes: number of probes that failed
    :param probe_job: job that runs as probe now
    :param probation_s: time in seconds after which a probe that still runs has succeeded
    :param passes_at_s: monotonic time at which the present probe has succeeded
    """

    reason: str
    probe_at_s: float
    failed_probes: int = 0
    probe_job: JobId | None = None
    probation_s: float = inf
    passes_at_s: float = inf


class Quarantine:
    """Consecutive failures by worker, and the quarantined workers.

    A failure counts against a worker only if its job has failed on no other worker. Otherwise a
    few jobs that fail everywhere would quarantine one worker after the other.

    :param now_s: returns the monotonic time in seconds
    """

    def __init__(self, now_s: Callable[[], float], rules: QuarantineRules = DEFAULT_RULES) -> None:
        self._now_s = now_s
        self._rules = rules
        self._failures_by_worker: dict[TargetId, dict[JobId, int]] = {}
        self._failed_workers_by_job: dict[JobId, set[TargetId]] = {}
        self.quarantined_by_worker: dict[TargetId, QuarantinedWorker] = {}

    def record_failure(self, worker: TargetId, job_id: JobId, reason: str) -> bool:
        """Record a failed task; return true if the failure counts against the job."""
        if worker in self.quarantined_by_worker:
            self._record_failed_probe(worker, job_id, reason)
            return False
        if self._has_failed_elsewhere(worker, job_id):
            return True
        failures_by_job = self._failures_by_worker.setdefault(worker, {})
        failures_by_job[job_id] = failures_by_job.get(job_id, 0) + 1
        if (
            len(failures_by_job) >= self._rules.max_failed_jobs
            or failures_by_job[job_id] >= self._rules.max_failures_per_job
        ):
            self._quarantine(
                worker, f"{sum(failures_by_job.values())} failures in a row; last: {reason}", 0
            )
            return False
        return True

    def record_stall(self, worker: TargetId, job_id: JobId, reason: str) -> None:
        """Quarantine a worker on which a job made no progress, unless it has failed elsewhere."""
        if worker in self.quarantined_by_worker:
            self._record_failed_probe(worker, job_id, reason)
        elif not self._has_failed_elsewhere(worker, job_id):
            self._quarantine(worker, reason, 0, self._rules.stall_probation_s)

    def _record_failed_probe(self, worker: TargetId, job_id: JobId, reason: str) -> None:
        """Delay the next probe of a quarantined worker if this job was its probe."""
        self._failed_workers_by_job.setdefault(job_id, set()).add(worker)
        quarantined = self.quarantined_by_worker[worker]
        if quarantined.probe_job == job_id:
            failed_probes = quarantined.failed_probes + 1
            self._quarantine(worker, reason, failed_probes, quarantined.probation_s)

    def _has_failed_elsewhere(self, worker: TargetId, job_id: JobId) -> bool:
        """Record that a job has failed on a worker; return whether it has on others, too."""
        workers = self._failed_workers_by_job.setdefault(job_id, set())
        workers.add(worker)
        return len(workers) > 1

    def record_attempt_end(
        self, job_id: JobId, placement: Iterable[MemberPlacement], *, ok: bool
    ) -> None:
        """Record an attempt that ended without a failure of a worker.

        :param ok: the attempt completed, so the failures of its workers are cleared and each
            quarantine that it probed ends
        """
        for worker in {place.worker for place in placement}:
            quarantined = self.quarantined_by_worker.get(worker)
            if ok and (quarantined is None or quarantined.probe_job == job_id):
                self.release(worker)
            elif quarantined is not None and quarantined.probe_job == job_id:
                quarantined.probe_job = None

    def discard_job(self, job_id: JobId, *, is_faulty: bool) -> None:
        """Discard the state of an ended job.

        :param is_faulty: the job itself is faulty, so its failures no longer count against workers
        """
        workers = self._failed_workers_by_job.pop(job_id, set())
        for worker in workers if is_faulty else ():
            failures_by_job = self._failures_by_worker.get(worker, {})
            failures_by_job.pop(job_id, None)
            quarantined = self.quarantined_by_worker.get(worker)
            is_release_candidate = (
                len(failures_by_job) < self._rules.max_failed_jobs
                and quarantined is not None
                and quarantined.failed_probes == 0
            )
            if (
                is_release_candidate
                and max(failures_by_job.values(), default=0) < self._rules.max_failures_per_job
            ):
                self.release(worker)

    def release(self, worker: TargetId) -> bool:
        """Clear the failures of a worker and end its quarantine.

        :returns: false if it was not quarantined
        """
        self._failures_by_worker.pop(worker, None)
        was_quarantined = self.quarantined_by_worker.pop(worker, None) is not None
        if was_quarantined:
            logger.info("event=quarantine_ended target=%s", worker)
        return was_quarantined

    def rejects_jobs(self, worker: TargetId) -> bool:
        """Return whether a worker accepts no new job now."""
        quarantined = self.quarantined_by_worker.get(worker)
        if quarantined is None:
            return False
        if quarantined.probe_job is not None:
            return self._now_s() < quarantined.passes_at_s
        return self._now_s() < quarantined.probe_at_s

    def record_start(self, job_id: JobId, placement: Iterable[MemberPlacement]) -> bool:
        """Record the start of a job, or return false if one of its workers accepts no job now.

        The job becomes the probe of its quarantined workers, or ends the quarantine of those whose
        probe has succeeded.
        """
        workers = {place.worker for place in placement}
        if any(map(self.rejects_jobs, workers)):
            return False
        for worker in workers & self.quarantined_by_worker.keys():
            quarantined = self.quarantined_by_worker[worker]
            if quarantined.probe_job is not None:
                self.release(worker)
                continue
            quarantined.probe_job = job_id
            quarantined.passes_at_s = self._now_s() + quarantined.probation_s
        return True

    def describe(self) -> dict[str, str]:
        """Return the reason for the quarantine of each quarantined worker."""
        return {
            worker: quarantined.reason
            for worker, quarantined in sorted(self.quarantined_by_worker.items())
        }

    def _quarantine(
        self, worker: TargetId, reason: str, failed_probes: int, probation_s: float = inf
    ) -> None:
        delay_s = min(
            self._rules.probe_delay_max_s,
            self._rules.probe_delay_min_s * 2.0 ** min(failed_probes, 10),
        )
        probe_at_s = self._now_s() + delay_s
        self.quarantined_by_worker[worker] = QuarantinedWorker(
            reason=reason,
            probe_at_s=probe_at_s,
            failed_probes=failed_probes,
            probation_s=probation_s,
        )
        logger.warning("event=quarantined target=%s reason=%s", worker, reason)
