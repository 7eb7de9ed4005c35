"""Decisions of the leader while availability zones are evacuated."""

import logging
from collections.abc import Sequence

import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.leader_harness import EVACUATION_PREFIX, WORKER, LeaderHarness
from tests.batch.test_urgent_waits import waiting_lines

from chicorycrank.batch.evacuation_checks import ZONE_EVACUATED
from chicorycrank.batch.evacuations import REFRESH_INTERVAL_S, Evacuations
from chicorycrank.batch.keys import decode, encode, order_key, presence_key, report_key
from chicorycrank.batch.metrics import EVACUATED_ZONES
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.queued_jobs import QueuedJobBuilder
from chicorycrank.batch.units import UnitRef
from chicorycrank.batch.urgent_waits import MIN_WAIT_MS, UrgentWaitLog
from chicorycrank.model.batch import EndKind, Step, Submission, TaskEnd, WorkOrder
from chicorycrank.model.ids import RackId, TargetId, TaskId, ZoneId
from chicorycrank.policy.headroom import used_share
from chicorycrank.ports.transactions import StoreUnavailableError, Write

A, B, C = ZoneId("a"), ZoneId("b"), ZoneId("c")
WORKER_B, WORKER_C = TargetId("w-b"), TargetId("w-c")
WHOLE_WORKER = Step(count=1, accelerators=8, cores=1000, run_time_s=5.0)
JOB = make_job([WHOLE_WORKER])
GANG = make_job([Step(count=2, accelerators=8, cores=1000, run_time_s=5.0, gang=True)])
TASK = TaskId(f"{JOB.job_id}.0.0.0")


class Zones(LeaderHarness):
    """A leader with one worker in each of the zones a, b and c; that of b and c may be absent."""

    def __init__(self, *others: TargetId) -> None:
        super().__init__()
        self.report(WORKER, A)
        for worker, zone in ((WORKER_B, B), (WORKER_C, C)):
            if worker in others:
                self.report(worker, zone)
                self.store.apply(Write(values={presence_key(worker): b"1"}))
        self.hear_reports()

    def report(self, worker: TargetId, zone: ZoneId, **changes: object) -> None:
        """Store the report of a worker's agent."""
        report = make_report(f"i-{worker}:1", zone=zone, rack=RackId(f"r-{zone}"), **changes)
        self.store.apply(Write(values={report_key(worker): encode(report)}))

    def hear_reports(self) -> None:
        """Let the leader's watch of the reports bring all changes."""
        for _ in range(3):
            self.term._report_replica.sync()

    def evacuate(self, *zones: ZoneId, is_heard: bool = True) -> None:
        """Store the operator's keys of zones."""
        self.store.apply(Write(values={EVACUATION_PREFIX + zone: b"" for zone in zones}))
        if is_heard:
            self.leader.hear()

    def take_back(self, *zones: ZoneId) -> None:
        """Delete the operator's keys of zones."""
        self.store.apply(Write(values={}, deletes=[EVACUATION_PREFIX + zone for zone in zones]))
        self.leader.hear()

    def submit_and_plan(self, job: Submission = JOB) -> None:
        """Submit a job and plan."""
        self.leader.submit(job)
        self.plan()

    def accept(self, worker: TargetId, zone: ZoneId, task: TaskId = TASK) -> None:
        """Let the agent of a worker accept the first run of a task."""
        self.report(worker, zone, accepted={task: 1})
        self.hear_reports()

    def reject(self, worker: TargetId, zone: ZoneId, task: TaskId = TASK) -> None:
        """Let the agent of a worker reject the first run of a task for an evacuation."""
        end = TaskEnd(task, 1, EndKind.REJECTED, "", ZONE_EVACUATED)
        self.report(worker, zone, ends=[end])
        self.hear_reports()

    def assigned(self, worker: TargetId) -> dict[TaskId, bool]:
        """Return whether they are to be stopped, by task, for the tasks in a worker's order."""
        item = self.store.items.get(order_key(worker))
        order = decode(item.value, WorkOrder) if item and item.value else None
        return {a.task: a.stop for a in order.assignments} if order else {}


@pytest.mark.parametrize("evacuated", [(A,), (A, C)], ids=["one", "two at once"])
def test_nothing_starts_on_the_workers_of_evacuated_zones(evacuated: Sequence[ZoneId]) -> None:
    """Guards against work that is given to a zone in which no agent may start it."""
    zones = Zones(WORKER_B, WORKER_C)
    zones.evacuate(*evacuated)
    wide = make_job([Step(count=6, accelerators=4, cores=1000, run_time_s=5.0)])
    zones.submit_and_plan(wide)
    for worker, zone in ((WORKER, A), (WORKER_B, B), (WORKER_C, C)):
        assert bool(zones.assigned(worker)) == (zone not in evacuated)
    assert EVACUATED_ZONES._value.get() == len(evacuated)


def test_a_change_of_a_zone_wakes_the_leader() -> None:
    """Guards against withdrawals that wait for the next plan, half a second later."""
    zones = Zones()
    zones.plan()
    assert not zones.leader.view.has_changed_keys
    zones.evacuate(A)
    assert zones.leader.view.has_changed_keys


def test_one_of_two_zones_is_taken_back() -> None:
    """Guards against a zone that stays closed, or opens, with another one."""
    zones = Zones(WORKER_B)
    zones.evacuate(A, B)
    zones.submit_and_plan()
    assert zones.assigned(WORKER) == zones.assigned(WORKER_B) == {}
    zones.take_back(B)
    zones.plan()
    assert zones.assigned(WORKER) == {}
    assert TASK in zones.assigned(WORKER_B)


def test_a_run_that_no_agent_has_accepted_is_withdrawn_at_once() -> None:
    """Guards against a unit that waits for the time in which an agent may accept its run."""
    zones = Zones()
    zones.submit_and_plan()
    assert TASK in zones.assigned(WORKER)
    zones.report(WORKER_B, B)
    zones.store.apply(Write(values={presence_key(WORKER_B): b"1"}))
    zones.hear_reports()
    zones.evacuate(A)
    zones.plan()
    assert zones.assigned(WORKER) == {}
    assert zones.assigned(WORKER_B) == {TASK: False}


def test_a_run_that_was_accepted_meanwhile_goes_on() -> None:
    """Guards against a withdrawal of a run that may work already, which would run twice."""
    zones = Zones(WORKER_B)
    zones.report(WORKER_B, B, is_unreachable=True)
    zones.hear_reports()
    zones.submit_and_plan()
    # The watch has not brought the acceptance.
    zones.report(WORKER, A, accepted={TASK: 1})
    zones.evacuate(A)
    zones.plan()
    zones.plan()
    assert zones.assigned(WORKER) == {TASK: False}


def test_a_gang_of_which_a_member_was_rejected_starts_elsewhere() -> None:
    """Guards against a gang whose other members wait for one that may not start."""
    zones = Zones(WORKER_B)
    zones.submit_and_plan(GANG)
    first, second = sorted({**zones.assigned(WORKER), **zones.assigned(WORKER_B)})
    task_a, task_b = (first, second) if first in zones.assigned(WORKER) else (second, first)
    zones.accept(WORKER_B, B, task_b)
    zones.evacuate(A)
    zones.reject(WORKER, A, task_a)
    zones.plan()
    assert zones.assigned(WORKER_B) == {task_b: True}
    zones.report(WORKER_B, B, ends=[TaskEnd(task_b, 1, EndKind.STOPPED)])
    zones.report(WORKER_C, C)
    zones.store.apply(Write(values={presence_key(WORKER_C): b"1"}))
    zones.hear_reports()
    zones.plan()
    zones.report(WORKER_B, B)
    zones.hear_reports()
    zones.plan()
    assert len({**zones.assigned(WORKER_B), **zones.assigned(WORKER_C)}) == 2
    assert zones.assigned(WORKER) == {}


def test_a_leader_whose_watch_heard_nothing_learns_from_a_rejection() -> None:
    """Guards against a leader that gives runs to the zone again and again."""
    zones = Zones(WORKER_B)
    zones.report(WORKER_B, B, is_unreachable=True)
    zones.hear_reports()
    zones.submit_and_plan()
    zones.evacuate(A, is_heard=False)
    zones.reject(WORKER, A)
    zones.plan()
    assert zones.term._planner.workers.evacuated_zones == {A}
    zones.clock.seconds += 10.0
    zones.report(WORKER, A)
    zones.hear_reports()
    zones.plan()
    assert zones.assigned(WORKER) == {}


def test_an_old_rejection_costs_no_further_reads() -> None:
    """Guards against a read of all keys each second for a report that its agent left behind."""
    zones = Zones()
    zones.submit_and_plan()
    zones.evacuate(A, is_heard=False)
    zones.reject(WORKER, A)
    zones.plan()
    zones.take_back(A)
    reads: list[str] = []
    zones.store.fault = lambda operation: reads.append(operation) or ""  # type: ignore[func-returns-value]
    for _ in range(5):
        zones.clock.seconds += 2 * REFRESH_INTERVAL_S
        zones.plan()
    assert "list" not in reads


def test_a_store_that_does_not_answer_the_leader_is_asked_again() -> None:
    """Guards against a leader that never learns as one read has failed."""
    planner = Planner(QueuedJobBuilder(1.0), 1000.0)
    end = TaskEnd(TASK, 1, EndKind.REJECTED, "", ZONE_EVACUATED)
    planner.apply_report(WORKER, make_report(zone=A, ends=[end]))
    planner.workers.by_id[WORKER].revision = 7  # type: ignore[assignment]
    calls = []

    def refresh() -> None:
        calls.append(planner.now_s)
        raise StoreUnavailableError("slow", has_no_effect=True)

    evacuations = Evacuations(None, refresh)
    view = Zones().leader.view
    for now_s in (1000.0, 1000.5, 1001.0, 1002.5):
        planner.set_time(now_s, 0)
        evacuations.learn(planner, view)
    assert calls == [1000.0, 1001.0, 1002.5]


def test_a_key_without_the_name_of_a_zone_closes_no_worker() -> None:
    """Guards against workers of no zone that are closed, as no zone has an empty name."""
    zones = Zones()
    zones.report(WORKER, ZoneId(""))
    zones.hear_reports()
    zones.evacuate(ZoneId(""))
    zones.submit_and_plan()
    assert zones.assigned(WORKER) == {TASK: False}


@pytest.mark.parametrize("is_heard", [True, False])
def test_a_new_leader_knows_the_evacuations_before_it_plans(is_heard: bool) -> None:
    """Guards against starts by a leader that has read only jobs and configuration."""
    zones = Zones()
    zones.evacuate(A, is_heard=is_heard)
    zones.leader.submit(JOB)
    zones.take_over()
    zones.plan()
    assert zones.assigned(WORKER) == {}


def test_a_new_leader_withdraws_what_the_last_one_left() -> None:
    """Guards against runs that wait in the zone as their leader was lost."""
    zones = Zones()
    zones.submit_and_plan()
    zones.evacuate(A, is_heard=False)
    zones.take_over()
    zones.plan()
    assert zones.assigned(WORKER) == {}


def make_zoned_planner(racks: Sequence[tuple[ZoneId, str, int]]) -> Planner:
    """Return a planner with a number of workers in each rack of a zone; zone a is evacuated."""
    planner = Planner(QueuedJobBuilder(1.0), 1000.0)
    for zone, rack, count in racks:
        for number in range(count):
            worker = TargetId(f"{rack}-{number}")
            labels = ("label-" + zone, rack)
            report = make_report(f"i-{worker}:1", zone=zone, rack=RackId(rack), labels=labels)
            planner.apply_report(worker, report)
            planner.workers.set_present(worker, True)
    Evacuations(None, lambda: None).apply(planner, {A})
    return planner


def workers_of(planner: Planner) -> set[TargetId]:
    return {worker for worker, members in planner.members_by_worker.items() if members}


@pytest.mark.parametrize("priority", [0, 1, 2])
def test_a_job_that_may_run_only_in_an_evacuated_zone_waits_with_a_reason(
    priority: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a wait that nobody can explain, of a job of any priority."""
    planner = make_zoned_planner([(A, "r1", 2), (B, "r2", 2)])
    step = Step(count=1, accelerators=8, label="label-a", run_time_s=5.0)
    planner.add_job(make_job([step], queue=make_queue(priority=priority)), None)
    planner.set_time(1000.0 + MIN_WAIT_MS / 1000, MIN_WAIT_MS)
    with caplog.at_level(logging.INFO):
        planner.plan()
        UrgentWaitLog().update(planner)
    assert workers_of(planner) == set()
    (line,) = waiting_lines(caplog)
    assert (line["cause"], line["closed"]) == ("evacuated", "evacuated:2")


def test_waits_for_other_reasons_are_logged_for_urgent_jobs_only(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a line for each waiting batch job while some zone is evacuated."""
    planner = make_zoned_planner([(A, "r1", 2), (B, "r2", 1)])
    for number in range(3):
        planner.add_job(make_job([WHOLE_WORKER], name=f"{number:016x}"), None)
    planner.set_time(1000.0 + MIN_WAIT_MS / 1000, MIN_WAIT_MS)
    with caplog.at_level(logging.INFO):
        planner.plan()
        UrgentWaitLog().update(planner)
    assert waiting_lines(caplog) == []


def test_a_gang_that_fits_no_rack_of_the_open_zones_is_spread() -> None:
    """Guards against a gang that waits for the only rack in which it would fit as a whole."""
    planner = make_zoned_planner([(A, "r1", 3), (B, "r2", 2), (B, "r3", 1)])
    step = Step(count=3, accelerators=8, run_time_s=5.0, gang=True, same_rack=True)
    planner.add_job(make_job([step]), None)
    planner.plan()
    assert workers_of(planner) == {"r2-0", "r2-1", "r3-0"}


def test_a_closed_zone_is_no_room_for_a_unit_that_has_failed_elsewhere() -> None:
    """Guards against a unit that avoids its last open worker in favour of an evacuated zone."""
    planner = make_zoned_planner([(A, "r1", 2), (B, "r2", 1)])
    job = make_job([WHOLE_WORKER])
    planner.add_job(job, None)
    planner.plan()
    task = TaskId(f"{job.job_id}.0.0.0")
    planner.record_end(TargetId("r2-0"), TaskEnd(task, 1, EndKind.FAILED))
    assert not planner.job_builder.can_hold(
        planner, UnitRef(job.job_id, 0, 0, 0), [TargetId("r1-0")]
    )
    planner.plan()
    assert workers_of(planner) == {"r2-0"}


def test_data_in_an_evacuated_zone_delays_nothing() -> None:
    """Guards against a wait for the rack of the data, in which nothing may start."""
    planner = make_zoned_planner([(A, "r1", 1), (B, "r2", 1)])
    step = Step(count=1, accelerators=8, run_time_s=50.0, data_rack="r1")
    planner.add_job(make_job([step]), None)
    planner.plan()
    assert workers_of(planner) == {"r2-0"}


@pytest.mark.parametrize("placed", [True, False])
def test_a_reservation_is_not_kept_in_an_evacuated_zone(placed: bool) -> None:
    """Guards against a gang that waits for capacity that an evacuation has closed."""
    planner = make_zoned_planner([(A, "r1", 2), (B, "r2", 2)])
    if placed:  # the reservation was made before the evacuation
        Evacuations(None, lambda: None).apply(planner, {B})
    blocker = make_job([Step(count=2, accelerators=8, run_time_s=9.0)], name="b" * 16)
    planner.add_job(blocker, None)
    planner.plan()
    gang = make_job([Step(count=2, accelerators=8, run_time_s=5.0, gang=True)], name="c" * 16)
    planner.add_job(gang, None)
    planner.plan()
    Evacuations(None, lambda: None).apply(planner, {A})
    planner.plan()
    reserved = {
        worker
        for reservation in planner.cell.reservations_by_id.values()
        for worker, _ in reservation.worker_masks
    }
    started = {
        worker
        for worker in workers_of(planner)
        if any(task.startswith("c") for task in planner.members_by_worker[worker])
    }
    assert reserved | started == {"r2-0", "r2-1"}


def test_an_evacuated_zone_counts_neither_as_capacity_nor_as_used() -> None:
    """Guards against a full fleet that seems half empty, so that no headroom is kept."""
    planner = make_zoned_planner([(A, "r1", 2), (B, "r2", 2)])
    planner.add_job(make_job([Step(count=2, accelerators=8, run_time_s=9.0)]), None)
    planner.plan()
    assert used_share(planner.cell) == 0.5
    assert used_share(planner.cell, [TargetId("r1-0"), TargetId("r1-1")]) == 1.0


def test_headroom_is_kept_on_a_fleet_whose_open_zones_are_full() -> None:
    """Guards against a full fleet that seems half empty, so that urgent jobs find no worker."""
    planner = make_zoned_planner([(A, "r1", 4), (B, "r2", 4)])
    planner.add_job(make_job([WHOLE_WORKER], queue=make_queue(priority=0)), None)
    batch = Step(count=2, accelerators=8, run_time_s=9.0)
    planner.add_job(make_job([batch], name="b" * 16), None)
    planner.plan()
    assert len(workers_of(planner)) == 3
    assert planner.job_builder.headroom_workers(planner) == 1


def test_an_urgent_gang_evicts_nothing_in_an_evacuated_zone() -> None:
    """Guards against work that is stopped for a gang that could not start in its place."""
    planner = make_zoned_planner([(A, "r1", 2), (B, "r2", 2)])
    Evacuations(None, lambda: None).apply(planner, set())
    planner.add_job(make_job([Step(count=4, accelerators=8, run_time_s=9.0)]), None)
    planner.plan()
    Evacuations(None, lambda: None).apply(planner, {A})
    step = Step(count=2, accelerators=8, run_time_s=5.0, gang=True)
    urgent = make_job([step], name="b" * 16, queue=make_queue(priority=0))
    planner.add_job(urgent, None)
    planner.plan()
    stopped = {
        worker
        for worker in planner.members_by_worker
        if any(assignment.stop for assignment in planner.order_for(worker).assignments)
    }
    assert stopped == {"r2-0", "r2-1"}


def test_each_change_of_a_zone_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against an evacuation that the logs of entry and leader do not show."""
    with caplog.at_level(logging.INFO):
        zones = Zones()
        zones.submit_and_plan()
        zones.evacuate(A)
        zones.plan()
        zones.take_back(A)
        zones.plan()
    lines = [record.getMessage() for record in caplog.records]
    for expected in (
        "event=evacuation_learned zone=a evacuated=True",
        "event=zone_evacuated zone=a workers=1 runs=1",
        "event=evacuation_learned zone=a evacuated=False",
        "event=zone_taken_back zone=a workers=1 runs=0",
        "done=True evacuated=True",
        f"how=withdrawn detail={ZONE_EVACUATED}",
    ):
        assert any(expected in line for line in lines), expected
