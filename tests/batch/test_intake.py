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
        (("lose",), "refuse", Outcome.DONE, True),
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


@pytest.mark.parametrize(("failing_reads", "outcome"), [(100, Outcome.NOT_DONE), (1, Outcome.DONE)])
def test_nothing_is_written_to_a_store_that_does_not_respond(
    failing_reads: int, outcome: Outcome
) -> None:
    """Guards against an unknown outcome, after which the caller may not retry.

    It comes about when a store that has just become silent is sent the write at once.
    """
    harness = IntakeHarness()
    remaining = [*["no_response"] * failing_reads]
    commits: list[str] = []

    def fault(operation: str) -> str:
        harness.clock.seconds += 0.3
        if operation == "read":
            return remaining.pop() if remaining else ""
        commits.append(operation)
        return "no_response" if remaining else ""

    harness.store.fault = fault
    started_at = harness.clock.monotonic()
    assert harness.submit() is outcome
    assert len(commits) == (outcome is Outcome.DONE)
    assert harness.clock.monotonic() - started_at <= 1.0


def test_an_unanswered_write_is_unknown_if_the_store_stays_silent() -> None:
    """Guards against a refusal of a submission that the store may still apply."""
    harness = IntakeHarness()
    operations: list[str] = []

    def fault(operation: str) -> str:
        operations.append(operation)
        harness.clock.seconds += 0.3
        return "" if len(operations) == 1 else "no_response"

    harness.store.fault = fault
    assert harness.submit() is Outcome.UNKNOWN


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
