"""Tickets of the advice service for the steps of waiting jobs."""

from collections.abc import Sequence

import pytest
from tests.batch.fakes import ManualClock, make_job, make_queue
from tests.batch.test_planner import make_planner
from tests.batch.test_whole_path import wait_until

from chicorycrank.batch.advice import MAX_EXECUTORS_PER_CALL, AdviceCache
from chicorycrank.model.batch import Advice, Step
from chicorycrank.model.ids import TargetId
from chicorycrank.ports.advice import AdviceUnavailableError, AllowedExecutors

WORKERS = [TargetId(f"w{number:03d}") for number in range(2 * MAX_EXECUTORS_PER_CALL + 20)]
ADVICE = Advice(decision_s=0.0, per_worker_s=0.0, validity_s=10.0)


class FakeAdviceService:
    """Service that permits one executor and fails the calls of which a test says so.

    :param failing_calls: numbers of the calls that fail, from 0
    """

    def __init__(self, allowed: str, failing_calls: Sequence[int] = ()) -> None:
        self._allowed = allowed
        self._failing_calls = failing_calls
        self.queried: list[list[str]] = []

    def query_executors(
        self, step: str, executors: Sequence[str], *, timeout_s: float
    ) -> AllowedExecutors:
        """Return a ticket for the permitted executor if the call names it."""
        self.queried.append(list(executors))
        if len(self.queried) - 1 in self._failing_calls:
            raise AdviceUnavailableError(step)
        tickets = {name: "ticket" for name in executors if name == self._allowed}
        return AllowedExecutors(tickets, validity_s=10.0)


@pytest.mark.parametrize("failing_calls", [(), (0,)], ids=["all answered", "first call fails"])
@pytest.mark.parametrize("number", [0, MAX_EXECUTORS_PER_CALL, len(WORKERS) - 1])
def test_a_step_starts_on_the_only_worker_that_may_run_it(
    number: int, failing_calls: tuple[int, ...]
) -> None:
    """Guards against workers beyond the limit of one call that are never asked about."""
    service = FakeAdviceService(f"i-{WORKERS[number]}", failing_calls)
    planner = make_planner(WORKERS)
    planner.add_job(
        make_job([Step(count=1, accelerators=1, run_time_s=1.0)], queue=make_queue(advice=ADVICE)),
        None,
    )
    clock = ManualClock()
    cache = AdviceCache(service, clock, lambda: None)

    def is_started() -> bool:
        clock.seconds += 0.05
        cache.update(planner)
        planner.plan()
        return bool(planner.members_by_worker.get(WORKERS[number]))

    try:
        wait_until(is_started)
    finally:
        cache.stop()
    assert max(map(len, service.queried)) <= MAX_EXECUTORS_PER_CALL
