"""What the watch of an entry brings."""

import pytest
from tests.batch.leader_harness import WORKER, LeaderHarness

from chicorycrank.batch.keys import (
    FORMER_ORDERS_PREFIX,
    WATCHED_PREFIX,
    decode,
    encode,
    order_key,
    presence_key,
    progress_key,
    report_key,
    resumption_key,
)
from chicorycrank.model.batch import Assignment, WorkOrder
from chicorycrank.model.ids import Incarnation, JobId, TaskId
from chicorycrank.ports.transactions import Write

FORMER_ORDER = f"{FORMER_ORDERS_PREFIX}{WORKER}"


@pytest.mark.parametrize(
    "key",
    [
        order_key(WORKER),
        report_key(WORKER),
        presence_key(WORKER),
        resumption_key(WORKER),
        progress_key(JobId("a" * 16)),
    ],
)
def test_entries_watch_no_records_of_runs(key: str) -> None:
    """Guards against an entry that learns of the configuration late, behind orders on its link."""
    assert not key.startswith(WATCHED_PREFIX)


def test_a_leader_removes_the_orders_of_an_earlier_version() -> None:
    """Guards against an agent of that version that accepts a run which was withdrawn."""
    harness = LeaderHarness()
    order = WorkOrder(
        incarnation=Incarnation("i-1:1"), assignments=(Assignment(task=TaskId("a.0.0.0"), run=1),)
    )
    harness.store.apply(Write(values={FORMER_ORDER: encode(order)}))
    harness.leader.hear()
    harness.leader.submit()
    harness.leader.hear()
    harness.plan()
    harness.leader.hear()
    assert FORMER_ORDER not in harness.store.items or not harness.store.items[FORMER_ORDER].value
    assert harness.leader.view.former_orders == set()
    assert decode(harness.store.items[order_key(WORKER)].value or b"", WorkOrder).assignments
