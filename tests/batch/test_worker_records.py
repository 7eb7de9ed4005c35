"""Records of a worker that a new leader reads in any order."""

from collections.abc import Callable
from itertools import permutations

import pytest
from tests.batch.fakes import make_report
from tests.batch.test_planner import WORKERS, make_planner

from chicorycrank.batch.planner import Planner
from chicorycrank.ports.transactions import Revision

WORKER = WORKERS[0]
STEPS: dict[str, Callable[[Planner], None]] = {
    "presence": lambda planner: planner.workers.set_present(WORKER, True),
    "resumption": lambda planner: planner.workers.set_resumption(WORKER, Revision(4)),
    "report": lambda planner: planner.apply_report(WORKER, make_report("i-1:1")),
}
ORDERS = [
    order
    for names in (("resumption", "report"), ("presence", "resumption", "report"))
    for order in permutations(names)
]


@pytest.mark.parametrize("order", ORDERS, ids=lambda order: "-".join(order))
def test_a_worker_without_a_presence_is_absent_from_the_takeover_on(order: tuple[str, ...]) -> None:
    """Guards against work on a lost VM that a new leader waits for without end."""
    planner = make_planner([])
    for name in order:
        STEPS[name](planner)
    is_absent = planner.workers.by_id[WORKER].presence_expired_at is not None
    assert is_absent is ("presence" not in order)
