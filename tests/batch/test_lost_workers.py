"""Conditions for the reassignment of work after a presence has expired."""

import pytest
from tests.batch.fakes import make_report
from tests.batch.leader_harness import JOB, LOST_AFTER_S, LeaderHarness

from chicorycrank.batch.keys import encode, presence_key, report_key, resumption_key
from chicorycrank.batch.lost_workers import (
    MACHINE_POLL_INTERVAL_S,
    SUSPENSION_LIMIT_S,
    LostWorkerDetector,
)
from chicorycrank.batch.workers import WorkerRegistry
from chicorycrank.model.batch import BatchState, EndKind, TaskEnd, WorkerState
from chicorycrank.model.ids import TargetId, TaskId
from chicorycrank.policy.cell import Cell
from chicorycrank.ports.machines import MachinesUnavailableError
from chicorycrank.ports.transactions import Item, Revision, Write

WORKER_LOST_TIMEOUT_S = 20.0
WORKER = TargetId("w")
OTHER = TargetId("other")


class FakeMachineList:
    """Machine list, which is unavailable if ``running`` is None."""

    def __init__(self, running: frozenset[str] | None) -> None:
        self.running = running

    def running_executors(self) -> frozenset[str]:
        """Return the listed executors."""
        if self.running is None:
            raise MachinesUnavailableError
        return self.running


@pytest.mark.parametrize(
    ("expired_s", "running", "lost"),
    [
        (WORKER_LOST_TIMEOUT_S - 1, frozenset(), False),
        (WORKER_LOST_TIMEOUT_S + 1, frozenset(), True),
        (WORKER_LOST_TIMEOUT_S + 1, frozenset({"i-1"}), False),
        (WORKER_LOST_TIMEOUT_S + 1, frozenset({"i-2"}), True),
        (WORKER_LOST_TIMEOUT_S + 1, None, False),
        (SUSPENSION_LIMIT_S - 1, None, False),
        (SUSPENSION_LIMIT_S + 1, None, True),
        (SUSPENSION_LIMIT_S - 1, frozenset({"i-1"}), False),
        (SUSPENSION_LIMIT_S + 1, frozenset({"i-1"}), True),
    ],
)
def test_work_of_a_suspended_machine_is_not_reassigned(
    expired_s: float, running: frozenset[str] | None, lost: bool
) -> None:
    """Guards against a second run of a task while a suspension stops its executor's clock."""
    workers = WorkerRegistry(Cell(), 1000.0, lambda: None)
    workers.apply_report(WORKER, make_report("i-1:1"))
    workers.set_present(WORKER, True)
    workers.set_present(WORKER, False)
    workers.now_s += expired_s
    found = LostWorkerDetector(FakeMachineList(running), WORKER_LOST_TIMEOUT_S).find_lost(
        workers, {WORKER}
    )
    assert found == ([WORKER] if lost else [])
    assert (
        LostWorkerDetector(FakeMachineList(running), WORKER_LOST_TIMEOUT_S).find_lost(
            workers, set()
        )
        == []
    )


@pytest.mark.parametrize(
    ("lists", "age_ms", "lost"),
    [
        pytest.param([frozenset()], 60_000, False, id="one list may leave out a machine"),
        pytest.param([frozenset(), frozenset()], 60_000, True, id="removed"),
        pytest.param([frozenset(), frozenset({"i-1"}), frozenset()], 60_000, False, id="listed"),
        pytest.param([frozenset(), None], 60_000, False, id="the second list is unavailable"),
        pytest.param([frozenset(), None, frozenset()], 60_000, True, id="one is unavailable"),
        pytest.param([frozenset(), frozenset()], 5_000, False, id="not listed yet"),
        pytest.param([frozenset(), frozenset()], -5_000, False, id="clocks differ"),
    ],
)
def test_work_of_a_removed_machine_does_not_wait_until_its_lease_would_have_expired(
    lists: list[frozenset[str] | None], age_ms: int, lost: bool
) -> None:
    """Guards against gangs that wait for the members on a machine that was taken away."""
    workers = WorkerRegistry(Cell(), 1000.0, lambda: None)
    now_ms = 1_000_000
    report = make_report("i-1:1")
    report.started_at_ms = now_ms - age_ms
    workers.apply_report(WORKER, report)
    workers.set_present(WORKER, True)
    machines = FakeMachineList(frozenset())
    detector = LostWorkerDetector(machines, WORKER_LOST_TIMEOUT_S)
    assert detector.find_lost(workers, {WORKER}, now_ms) == []
    workers.set_present(WORKER, False)
    found: list[TargetId] = []
    for machines.running in lists:
        found = detector.find_lost(workers, {WORKER}, now_ms)
        workers.now_s += MACHINE_POLL_INTERVAL_S
    assert found == ([WORKER] if lost else [])


def test_lists_from_before_the_agent_was_back_do_not_count() -> None:
    """Guards against a second run after a list that was read in an earlier absence."""
    workers = WorkerRegistry(Cell(), 1000.0, lambda: None)
    report = make_report("i-1:1")
    report.started_at_ms = 1
    workers.apply_report(WORKER, report)
    detector = LostWorkerDetector(FakeMachineList(frozenset()), WORKER_LOST_TIMEOUT_S)
    for is_present in (True, False, True, False):
        workers.set_present(WORKER, is_present)
        assert detector.find_lost(workers, {WORKER}, 60_000) == []
        workers.now_s += MACHINE_POLL_INTERVAL_S
    assert detector.find_lost(workers, {WORKER}, 60_000) == [WORKER]


@pytest.mark.parametrize("is_resumption", [False, True])
def test_lists_of_an_earlier_absence_do_not_count_if_the_agent_was_back_between_two_plans(
    is_resumption: bool,
) -> None:
    """Guards against a second run beside an agent whose short return no plan has seen."""
    workers = WorkerRegistry(Cell(), 1000.0, lambda: None)
    report = make_report("i-1:1")
    report.started_at_ms = 1
    workers.apply_report(WORKER, report)
    detector = LostWorkerDetector(FakeMachineList(frozenset()), WORKER_LOST_TIMEOUT_S)
    assert detector.find_lost(workers, {WORKER}, 60_000) == []
    workers.now_s += MACHINE_POLL_INTERVAL_S
    if is_resumption:
        workers.set_resumption(WORKER, Revision(7))
    else:
        workers.set_present(WORKER, True)
        workers.set_present(WORKER, False)
    assert detector.find_lost(workers, {WORKER}, 60_000) == []
    workers.now_s += MACHINE_POLL_INTERVAL_S
    assert detector.find_lost(workers, {WORKER}, 60_000) == [WORKER]


def test_lists_that_may_not_name_a_young_executor_yet_do_not_count() -> None:
    """Guards against a second run beside an executor that another worker's loss had listed."""
    workers = WorkerRegistry(Cell(), 1000.0, lambda: None)
    for number, (worker, started_at_ms) in enumerate([(WORKER, 47_000), (OTHER, 1)], start=1):
        report = make_report(f"i-{number}:1")
        report.started_at_ms = started_at_ms
        workers.apply_report(worker, report)
    detector = LostWorkerDetector(FakeMachineList(frozenset()), WORKER_LOST_TIMEOUT_S)
    found = []
    for now_ms in (58_000, 60_000, 62_000, 64_000):
        found.append(WORKER in detector.find_lost(workers, {WORKER, OTHER}, now_ms))
        workers.now_s += MACHINE_POLL_INTERVAL_S
    assert found == [False, False, False, True]


@pytest.mark.parametrize("executor", ["i-2", ""])
def test_a_list_from_before_the_loss_proves_nothing(executor: str) -> None:
    """Guards against a second run beside a machine that an old list does not name yet."""
    workers = WorkerRegistry(Cell(), 1000.0, lambda: None)
    for number, worker in enumerate([WORKER, OTHER], start=1):
        workers.apply_report(worker, make_report(f"i-{number}:1"))
        workers.set_present(worker, True)
    workers.by_id[OTHER].report.executor = executor
    machines = FakeMachineList(frozenset())
    detector = LostWorkerDetector(machines, WORKER_LOST_TIMEOUT_S)
    workers.set_present(WORKER, False)
    workers.now_s += 1
    workers.set_present(OTHER, False)
    workers.now_s += WORKER_LOST_TIMEOUT_S - 0.5
    assert detector.find_lost(workers, {WORKER, OTHER}) == [WORKER]
    machines.running = None
    workers.now_s += 1
    assert detector.find_lost(workers, {OTHER}) == []
    workers.now_s += MACHINE_POLL_INTERVAL_S
    assert detector.find_lost(workers, {OTHER}) == []
    machines.running = frozenset()
    workers.now_s += MACHINE_POLL_INTERVAL_S
    assert detector.find_lost(workers, {OTHER}) == ([OTHER] if executor else [])


@pytest.mark.parametrize(
    ("unheard", "is_reassigned"),
    [
        ((), True),
        (("back",), False),
        (("back", "gone"), False),
        (("back", "gone", "pause"), False),
        (("done",), False),
    ],
)
def test_work_is_reassigned_only_if_the_store_shows_that_the_agent_was_missing_all_the_time(
    unheard: tuple[str, ...], is_reassigned: bool
) -> None:
    """Guards against a second run after a pause of the leader or a watch that hears nothing."""
    harness = LeaderHarness()
    harness.leader.submit()
    harness.plan()
    task = harness.started_tasks()[0]
    present = {presence_key(WORKER): b"1", resumption_key(WORKER): b"1"}
    other = {report_key(OTHER): encode(make_report("i-2:1")), presence_key(OTHER): b"1"}
    accepted = make_report(accepted={task: 1})
    for write in (
        Write(values={**present, **other, report_key(WORKER): encode(accepted)}),
        Write(deletes=[presence_key(WORKER)]),
    ):
        harness.store.apply(write)
    hear_reports(harness)
    changes = {
        "back": Write(values=present),
        "gone": Write(deletes=[presence_key(WORKER)]),
        "done": Write(values={report_key(WORKER): encode(make_report(ends=[done(task)]))}),
    }
    harness.clock.seconds += LOST_AFTER_S / 2
    for change in unheard:
        if change == "pause":
            harness.clock.seconds += LOST_AFTER_S
        else:
            harness.store.apply(changes[change])
    harness.clock.seconds += LOST_AFTER_S / 2 + 1
    for _ in range(3):
        harness.plan()
    assert (task in harness.started_tasks(OTHER)) is is_reassigned
    if "gone" in unheard:
        harness.clock.seconds += LOST_AFTER_S + 1
        harness.plan()
        assert task in harness.started_tasks(OTHER)
    if "done" in unheard:
        assert harness.leader.intake.job_state(JOB.job_id).state is BatchState.COMPLETED


@pytest.mark.parametrize("is_deletion", [False, True])
def test_a_report_that_was_read_before_a_later_one_changes_nothing(is_deletion: bool) -> None:
    """Guards against runs that end as an old report names an earlier life of the executor."""
    harness = LeaderHarness()
    old = harness.store.items[report_key(WORKER)]
    harness.store.apply(Write(values={report_key(WORKER): encode(make_report("i-1:2"))}))
    hear_reports(harness)
    harness.leader.submit()
    harness.plan()
    late = Item(key=old.key, value=None, revision=old.revision) if is_deletion else old
    harness.term._queue_report_items([late])
    harness.plan()
    report = harness.term._planner.workers.by_id[WORKER].report
    assert (report.incarnation, report.state) == ("i-1:2", WorkerState.READY)
    assert len(harness.started_tasks()) == 1


def hear_reports(harness: LeaderHarness) -> None:
    """Let the leader hear of all reports and plan."""
    harness.term._report_replica.sync()
    harness.plan()


def done(task: str) -> TaskEnd:
    """Return the end of the first run of a task."""
    return TaskEnd(TaskId(task), 1, EndKind.DONE)
