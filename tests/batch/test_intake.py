"""Outcomes of calls under store faults."""

import pytest
from tests.batch.fakes import ManualClock, MemoryStore, make_job

from chicorycrank.batch.intake import JobIntake, Outcome
from chicorycrank.batch.keys import cancel_key, job_key
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import BatchState, Step

JOB = make_job([Step(count=1)])


class IntakeHarness:
    """Intake over a store whose writes take 0.3 s each once faults are set."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.view = SharedView("op/config", lambda data: None)
        self.replica = Replica(self.store, "o", self.view.apply, self.clock, wait_s=0.0)
        self.intake = JobIntake(self.store, self.view, self.replica, self.clock)

    def set_faults(self, *names: str, then: str = "") -> None:
        """Apply these faults to the next writes in order, and ``then`` to all later writes."""
        remaining_faults = list(names)

        def fault(operation: str) -> str:
            if operation != "commit":
                return ""
            self.clock.seconds += 0.3
            return remaining_faults.pop(0) if remaining_faults else then

        self.store.fault = fault

    def submit(self) -> Outcome:
        """Submit the job with a deadline of 3 s."""
        return self.intake.submit(JOB, self.clock.monotonic() + 3.0)


@pytest.mark.parametrize(
    ("names", "then", "outcome", "stored"),
    [
        ((), "", Outcome.DONE, True),
        (("refuse",), "", Outcome.DONE, True),
        ((), "refuse", Outcome.NOT_DONE, False),
        (("lose",), "", Outcome.DONE, True),
        (("lose",), "refuse", Outcome.UNKNOWN, True),
        (("no_response",), "refuse", Outcome.UNKNOWN, False),
        (("no_response",), "", Outcome.DONE, True),
    ],
)
def test_a_submission_is_refused_only_if_it_is_certainly_not_stored(
    names: tuple[str, ...], then: str, outcome: Outcome, stored: bool
) -> None:
    """Guards against a job that runs although its submission was refused."""
    harness = IntakeHarness()
    harness.set_faults(*names, then=then)
    assert harness.submit() is outcome
    assert (job_key(JOB.job_id) in harness.store.items) is stored


def test_a_submission_is_refused_at_once_while_the_store_is_unavailable() -> None:
    """Guards against a caller that waits until its deadline although the outcome is known."""
    harness = IntakeHarness()
    harness.replica.failed_since = harness.clock.monotonic()
    before = harness.clock.monotonic()
    assert (harness.submit(), harness.clock.monotonic()) == (Outcome.NOT_DONE, before)


def test_a_repeated_submission_changes_nothing() -> None:
    """Guards against a job that a repeated submission replaces."""
    harness = IntakeHarness()
    assert [harness.submit(), harness.submit()] == [Outcome.DONE, Outcome.DONE]
    assert len(harness.store.writes) == 1
    other_harness = IntakeHarness()
    other_harness.store.items = harness.store.items
    assert other_harness.submit() is Outcome.DONE


@pytest.mark.parametrize(
    ("known", "outcome", "stored"), [(True, Outcome.DONE, True), (False, Outcome.ABSENT, False)]
)
def test_a_cancellation_is_stored_for_a_known_job(
    known: bool, outcome: Outcome, stored: bool
) -> None:
    """Guards against a cancellation that is acknowledged and lost."""
    harness = IntakeHarness()
    if known:
        harness.submit()
    assert harness.intake.cancel(JOB.job_id, harness.clock.monotonic() + 3.0) is outcome
    assert (cancel_key(JOB.job_id) in harness.store.items) is stored
    if known:
        assert harness.intake.job_state(JOB.job_id).state is BatchState.CANCELLED


def test_a_job_that_another_entry_accepted_is_found_in_the_store() -> None:
    """Guards against a job that is reported as missing because the watch lags."""
    harness, other_harness = IntakeHarness(), IntakeHarness()
    harness.submit()
    other_harness.store.items = harness.store.items
    assert other_harness.intake.job_state(JOB.job_id).state is BatchState.QUEUED
