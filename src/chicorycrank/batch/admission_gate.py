"""Admission at an entry: decides on new jobs before they are written to the store."""

import logging
from collections import Counter
from dataclasses import dataclass, field

from chicorycrank.batch.intake import (
    CHECK_TIMEOUT_S,
    RESPONSE_MARGIN_S,
    JobIntake,
    Outcome,
)
from chicorycrank.batch.keys import job_key
from chicorycrank.batch.load_view import LoadView, ReceivedSummary
from chicorycrank.batch.metrics import ADMISSIONS
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.threads import make_lock
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import Submission
from chicorycrank.model.ids import JobId, TeamId
from chicorycrank.policy.job_admission import (
    Decision,
    JobDemand,
    Verdict,
    decide_admission,
    demand_of,
    is_exempt,
    retry_after_s,
)
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import StoreUnavailableError, TransactionalStore

# A write without an answer may be applied after its attempt has ended, so its job is not refused
# for this time. It is longer than any call of a client.
UNANSWERED_RETENTION_S = 30.0

logger = logging.getLogger("absl")


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """Answer to a submission.

    :param retry_after_s: time in whole seconds after which to retry, if the job was refused as it
        cannot end in time; otherwise None
    """

    outcome: Outcome
    retry_after_s: int | None = None


@dataclass(kw_only=True)
class AdmittedJobs:
    """Jobs that this entry has admitted since it received a load summary.

    The summary does not contain them yet, or only some of them.
    """

    summary: ReceivedSummary | None = None
    by_team: dict[TeamId, list[JobDemand]] = field(default_factory=dict)


class AdmissionGate:
    """Gate before the intake, which refuses jobs that cannot end in time.

    :param replica: keeps ``view`` and ``load_view`` up to date
    """

    def __init__(
        self,
        intake: JobIntake,
        store: TransactionalStore,
        view: SharedView,
        load_view: LoadView,
        replica: Replica,
        clock: Clock,
    ) -> None:
        self._intake = intake
        self._store = store
        self._view = view
        self._load_view = load_view
        self._replica = replica
        self._clock = clock
        self._lock = make_lock()
        self._admitted = AdmittedJobs()
        # Monotonic time at which the last write of a job began that may still be applied.
        self._unanswered_at: dict[JobId, float] = {}
        self._open_calls: Counter[JobId] = Counter()

    def submit(self, job: Submission, deadline_at: float) -> SubmitAnswer:
        """Store a job, unless it is new and cannot end in time.

        :param deadline_at: monotonic time in seconds until which the caller waits
        """
        with self._lock:
            has_other_write = self._may_be_written(job.job_id)
            self._open_calls[job.job_id] += 1
        outcome = Outcome.UNKNOWN
        demand = delay_s = None
        try:
            if not has_other_write and self._view.state_of(job.job_id) is None:
                demand, delay_s = self._check(job, deadline_at)
                if delay_s is not None:
                    return SubmitAnswer(Outcome.NOT_DONE, delay_s)
            outcome = self._intake.submit(job, deadline_at)
            return SubmitAnswer(outcome)
        finally:
            if delay_s is None:
                with self._lock:
                    self._end_call(job, demand, outcome)

    def _end_call(self, job: Submission, demand: JobDemand | None, outcome: Outcome) -> None:
        self._open_calls[job.job_id] -= 1
        if not self._open_calls[job.job_id]:
            del self._open_calls[job.job_id]
        if outcome is Outcome.UNKNOWN:
            self._unanswered_at.pop(job.job_id, None)
            self._unanswered_at[job.job_id] = self._clock.monotonic()
        admitted = self._admitted.by_team.get(job.team, [])
        if outcome is Outcome.NOT_DONE and demand in admitted:
            admitted.remove(demand)

    def _may_be_written(self, job_id: JobId) -> bool:
        """Return whether another call of this entry may still store the job."""
        limit = self._clock.monotonic() - UNANSWERED_RETENTION_S
        while self._unanswered_at:
            oldest = next(iter(self._unanswered_at))
            if self._unanswered_at[oldest] >= limit:
                break
            del self._unanswered_at[oldest]
        return job_id in self._unanswered_at or job_id in self._open_calls

    def _close_if_alone(self, job_id: JobId) -> bool:
        """Close the call of a job that is refused, unless another call has been there beside it.

        That call may have stored the job after the store was asked for it. A call that comes
        later is decided on its own.
        """
        with self._lock:
            is_alone = self._open_calls[job_id] == 1 and job_id not in self._unanswered_at
            if not is_alone or self._view.state_of(job_id) is not None:
                return False
            del self._open_calls[job_id]
            return True

    def _check(self, job: Submission, deadline_at: float) -> tuple[JobDemand | None, int | None]:
        """Check whether a new job is admitted.

        :returns: the demand of the job if it is counted as admitted, and the time in seconds after
            which to retry if it is refused; the call is then closed
        """
        received = self._load_view.current()
        if received is None:
            return None, None
        if is_exempt(job, int(self._clock.now().timestamp() * 1000)):
            ADMISSIONS.labels(Verdict.EXEMPT.value).inc()
            return None, None
        demand = demand_of(job, job.queue, received.summary.resource)
        decision = self._decide(demand, received)
        if decision.is_admitted:
            ADMISSIONS.labels(decision.verdict.value).inc()
            return demand, None
        if not self._is_certainly_new(job.job_id, deadline_at):
            return None, None
        if not self._close_if_alone(job.job_id):
            return None, None
        ADMISSIONS.labels(decision.verdict.value).inc()
        delay_s = retry_after_s(job.job_id, demand, decision.capacity_in_s)
        logger.info(
            "event=job_refused job=%s team=%s queue=%s end_s=%.1f limit_s=%.1f retry_after_s=%d",
            job.job_id,
            job.team,
            job.queue.queue_id,
            decision.end_s,
            demand.limit_s,
            delay_s,
        )
        return None, delay_s

    def _decide(self, demand: JobDemand, received: ReceivedSummary) -> Decision:
        """Decide on a job, and count it if it is admitted."""
        with self._view.lock:
            config = self._view.config.config
            teams = config.teams if config is not None else ()
        quota = next((team.quota for team in teams if team.team == demand.team), 0)
        with self._lock:
            if self._admitted.summary is not received:
                self._admitted = AdmittedJobs(summary=received)
            admitted = self._admitted.by_team
            decision = decide_admission(demand, received.summary, quota, admitted)
            if decision.is_admitted:
                admitted.setdefault(demand.team, []).append(demand)
        return decision

    def _is_certainly_new(self, job_id: JobId, deadline_at: float) -> bool:
        """Return whether the store has answered that it does not have the job."""
        remaining_s = deadline_at - RESPONSE_MARGIN_S - self._clock.monotonic()
        if remaining_s <= 0 or self._replica.failed_since is not None:
            return False
        try:
            item = self._store.read(job_key(job_id), timeout_s=min(CHECK_TIMEOUT_S, remaining_s))
        except StoreUnavailableError as error:
            logger.warning("event=store_check_failed key=%s error=%s", job_key(job_id), error)
            return False
        if item is not None:
            self._replica.apply_own([item])
        return item is None
