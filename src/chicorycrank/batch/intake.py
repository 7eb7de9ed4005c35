"""Submission, cancellation and state of batch jobs for callers."""

import logging
from dataclasses import dataclass
from enum import Enum

from chicorycrank.batch.keys import cancel_key, encode, job_key
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.threads import make_event
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import FINAL_BATCH_STATES, BatchState, Submission
from chicorycrank.model.ids import JobId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import (
    MISSING,
    Committed,
    Item,
    StoreUnavailableError,
    TransactionalStore,
    Write,
)

ATTEMPT_TIMEOUT_S = 0.8
# A store that is sixty times slower than usual responds in 0.25 s, plus 0.04 s between regions.
CHECK_TIMEOUT_S = 0.6
RETRY_DELAY_S = 0.1
# A write that the store rejects is retried for this long before the caller is asked to retry.
REFUSED_RETRY_LIMIT_S = 0.5
# Time reserved for the response to reach the caller before its deadline.
RESPONSE_MARGIN_S = 0.3

logger = logging.getLogger("absl")


class Outcome(Enum):
    """Outcome of a call."""

    DONE = "done"
    NOT_DONE = "not-done"  # no effect now or later
    UNKNOWN = "unknown"  # may have taken effect or may still do so
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class StateAnswer:
    """State of a job; ``state`` is None unless the outcome is ``DONE``.

    :param reason: why the job has failed, or why it is not planned
    """

    outcome: Outcome
    state: BatchState | None = None
    reason: str = ""


class JobIntake:
    """Service that stores submissions and cancellations before they are acknowledged.

    :param replica: keeps ``view`` up to date
    """

    def __init__(
        self, store: TransactionalStore, view: SharedView, replica: Replica, clock: Clock
    ) -> None:
        self._store = store
        self._view = view
        self._replica = replica
        self._clock = clock
        self._delay_event = make_event()

    def submit(self, job: Submission, deadline_at: float) -> Outcome:
        """Store a job; a repeated submission with the same id changes nothing.

        :param deadline_at: monotonic time in seconds until which the caller waits
        """
        if self._view.state_of(job.job_id) is not None:
            return Outcome.DONE
        outcome = self._create_key(job_key(job.job_id), encode(job), deadline_at)
        logger.info(
            "event=job_submitted job=%s team=%s queue=%s generation=%s outcome=%s",
            job.job_id,
            job.team,
            job.queue.queue_id,
            self._view.config.config.version if self._view.config.config else "",
            outcome.value,
        )
        return outcome

    def cancel(self, job_id: JobId, deadline_at: float) -> Outcome:
        """Store the cancellation of a job."""
        answer = self.job_state(job_id)
        if answer.outcome is not Outcome.DONE or answer.state in FINAL_BATCH_STATES:
            return answer.outcome
        outcome = self._create_key(cancel_key(job_id), b"1", deadline_at)
        logger.info("event=job_cancel job=%s outcome=%s", job_id, outcome.value)
        return outcome

    def job_state(self, job_id: JobId) -> StateAnswer:
        """Return the state of a job; read the store if the local view lacks the job."""
        state = self._view.state_of(job_id)
        if state is not None:
            reason = "" if state is BatchState.CANCELLED else self._view.state_reason(job_id)
            return StateAnswer(Outcome.DONE, state, reason)
        try:
            item = self._store.read(job_key(job_id))
        except StoreUnavailableError as error:
            logger.warning("event=job_state_unknown job=%s error=%s", job_id, error)
            return StateAnswer(Outcome.NOT_DONE)
        if item is None:
            return StateAnswer(Outcome.ABSENT)
        self._replica.apply_own([item])
        return StateAnswer(Outcome.DONE, self._view.state_of(job_id) or BatchState.QUEUED)

    def _create_key(self, key: str, value: bytes, deadline_at: float) -> Outcome:
        """Create a key unless it exists, and apply it to the view.

        An attempt without a response may still take effect, so ``NOT_DONE`` requires that every
        attempt certainly had no effect. Each write follows a read of the key: a store that stopped
        responding a moment ago then fails the read, which has no effect.
        """
        started_at = self._clock.monotonic()
        if self._replica.failed_since is not None:
            return Outcome.NOT_DONE
        may_be_applied = False
        while True:
            remaining_s = deadline_at - RESPONSE_MARGIN_S - self._clock.monotonic()
            if remaining_s <= 0:
                break
            try:
                item = self._store.read(key, timeout_s=min(CHECK_TIMEOUT_S, remaining_s))
            except StoreUnavailableError as error:
                logger.warning("event=store_check_failed key=%s error=%s", key, error)
            else:
                try:
                    item = item or self._write_missing(
                        key, value, min(ATTEMPT_TIMEOUT_S, remaining_s)
                    )
                except StoreUnavailableError as error:
                    may_be_applied = may_be_applied or not error.has_no_effect
                if item is not None:
                    self._replica.apply_own([item])
                    return Outcome.DONE
            waited_s = self._clock.monotonic() - started_at
            if not may_be_applied and waited_s >= REFUSED_RETRY_LIMIT_S:
                break
            self._delay_event.wait(RETRY_DELAY_S)
        return Outcome.UNKNOWN if may_be_applied else Outcome.NOT_DONE

    def _write_missing(self, key: str, value: bytes, timeout_s: float) -> Item | None:
        """Write a key unless it exists, and return its item; None if the key is not there.

        :raises StoreUnavailableError: the store did not respond
        """
        write = Write(expected={key: MISSING}, values={key: value})
        answer = self._store.commit(write, timeout_s=timeout_s)
        if isinstance(answer, Committed):
            return Item(key=key, value=value, revision=answer.revision)
        if key not in answer.items:
            logger.warning("event=conflict_without_key key=%s", key)
        return answer.items.get(key)
