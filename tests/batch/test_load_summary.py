"""Load summary: what the leader publishes, when, and when entries ignore it."""

import logging
from collections.abc import Mapping, Sequence

import msgspec
import pytest
from tests.batch.fakes import RED, ManualClock, make_job, make_queue, make_report
from tests.batch.leader_harness import LOST_AFTER_S, RETENTION_S, WORKER, LeaderHarness
from tests.batch.test_planner import end_task, make_planner, submit
from tests.batch.test_whole_path import NoMachines, UnavailableAdviceService

from chicorycrank.batch.keys import LOAD_KEY, decode, encode
from chicorycrank.batch.load_summary import (
    MAX_SUMMARY_BYTES,
    REFRESH_INTERVAL_S,
    LoadPublisher,
    summarize,
)
from chicorycrank.batch.load_view import MAX_AGE_S, LoadView
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.role import LeaderRole
from chicorycrank.batch.term import Term, TermDependencies
from chicorycrank.batch.threads import make_event
from chicorycrank.model.batch import BatchTeam, EndKind, Step, Submission
from chicorycrank.model.ids import JobId, TargetId, TeamId, ZoneId
from chicorycrank.model.load import LoadSummary, Resource, TeamLoad
from chicorycrank.ports.transactions import Item, Lease, Revision

RUN_S = 10.0
BLUE = TeamId("blue")
URGENT_QUEUE = make_queue(priority=0, name="urgent")
TASK = Step(count=1, accelerators=1, cores=1000, run_time_s=RUN_S)
SUMMARY = LoadSummary(
    resource=Resource.ACCELERATORS,
    capacity=8,
    priorities=(1,),
    running=(80,),
    waiting=(400,),
    jobs=(10,),
    arrivals=(8,),
    fair_rates=(8,),
    team_count=0,
    teams={},
)


def make_wide_job(count: int, name: str = "a", team: TeamId = RED) -> Submission:
    return make_job([msgspec.structs.replace(TASK, count=count)], name=name * 16, team=team)


class Publication:
    """Publisher of a planner, with a store that only keeps the summary."""

    def __init__(self, planner: Planner) -> None:
        self.clock = ManualClock()
        self.planner = planner
        self.view = LoadView(self.clock)
        self.values: list[bytes | None] = []
        self.begin_term()

    def begin_term(self) -> None:
        """Replace the publisher by that of a new leader."""
        self._publisher = LoadPublisher(self.view, self._write)

    def _write(self, values: Mapping[str, bytes], deletes: Sequence[str]) -> None:
        assert len(values) + len(deletes) == 1
        self.values.append(values.get(LOAD_KEY))
        revision = Revision(len(self.values))
        self.view.apply([Item(key=LOAD_KEY, value=self.values[-1], revision=revision)])

    def advance(self, seconds: float) -> int:
        """Advance time, update, and return the number of writes so far."""
        self.clock.seconds += seconds
        now_ms = round((self.clock.seconds - 1000.0) * 1000)
        self.planner.set_time(self.clock.seconds, now_ms)
        self._publisher.update(self.planner)
        return len(self.values)


def test_the_summary_counts_running_and_waiting_work() -> None:
    """Guards against work that is missing, counted twice, or counted after it is done."""
    planner = make_planner()
    planner.set_config({}, [BatchTeam(team=RED, quota=4), BatchTeam(team=BLUE)])
    urgent = make_job(
        [Step(count=4, accelerators=1, run_time_s=RUN_S, gang=True)],
        name="b" * 16,
        queue=URGENT_QUEUE,
    )
    submit(planner, urgent)
    submit(planner, make_wide_job(30))
    submit(planner, make_wide_job(5, "c", BLUE))
    planner.set_time(planner.now_s + 4.0, 4000)
    summary = summarize(planner)
    assert summary.resource is Resource.ACCELERATORS
    assert (summary.capacity, summary.priorities, summary.team_count) == (24, (0, 1), 2)
    # 24 of 39 tasks run, with 6 of their 10 s left.
    assert (summary.running, summary.waiting) == ((24, 120), (0, 150))
    assert summary.jobs == (1, 2)
    assert summary.teams[RED].quota_used == 4
    assert sum(summary.teams[RED].work) + sum(summary.teams[BLUE].work) == 294
    end_task(planner, "aaaaaaaaaaaaaaaa.0.0.0", EndKind.DONE)
    # Of the begun work, 40 were urgent and 200 were not; the window is at least 10 s long.
    assert summary.arrivals == (4, 20)
    # Another task has started in its place.
    assert sum(summarize(planner).running) == 144 - 6 + 10
    assert summarize(planner).waiting == (0, 140)


def test_the_scarcest_resource_counts() -> None:
    """Guards against idle accelerators that hide that all cores are in use, or the reverse."""
    planner = make_planner()
    job = make_job([Step(count=20, accelerators=1, cores=32000, run_time_s=RUN_S)])
    submit(planner, job)
    summary = summarize(planner)
    assert (summary.resource, summary.capacity) == (Resource.CORES, 3 * 64)
    assert summary.running == (6 * 32 * 10,)
    assert summary.waiting == (14 * 32 * 10,)


def test_capacity_is_that_of_open_workers_without_endless_work() -> None:
    """Guards against capacity that is promised although nothing can run there."""
    planner = make_planner()
    submit(planner, make_job([Step(count=3, accelerators=1, long_running=True)], name="d" * 16))
    submit(planner, make_wide_job(30))
    assert summarize(planner).capacity == 21
    assert sum(summarize(planner).jobs) == 1
    planner.workers.set_present(TargetId("w0"), False)
    assert summarize(planner).capacity == 13
    planner.apply_report(TargetId("w1"), make_report("i-w1:1", is_unreachable=True))
    assert summarize(planner).capacity == 5


def test_endless_work_in_an_evacuated_zone_takes_no_capacity_from_the_others() -> None:
    """Guards against refusals for the capacity of tasks that run on in an evacuated zone."""
    planner = make_planner()
    planner.apply_report(TargetId("w0"), msgspec.structs.replace(make_report("i-w0:1"), zone="a"))
    submit(planner, make_job([Step(count=3, accelerators=1, long_running=True)], name="d" * 16))
    assert set(planner.members_by_worker) == {"w0"}
    assert summarize(planner).capacity == 21
    planner.workers.evacuated_zones = frozenset({ZoneId("a")})
    assert summarize(planner).capacity == 16


def test_work_that_is_not_due_does_not_count() -> None:
    """Guards against refusals for occurrences of a job in the future."""
    planner = make_planner()
    steps = [msgspec.structs.replace(TASK, count=100)]
    changes = {"repeat_count": 3, "first_at_ms": 5_000, "interval_ms": 60_000}
    submit(planner, make_job(steps, **changes))  # type: ignore[arg-type]
    assert summarize(planner).waiting == ()
    planner.set_time(planner.now_s + 6.0, 6_000)
    assert summarize(planner).waiting == (1000,)


def test_the_record_is_small_with_24_teams_and_bounded_with_more() -> None:
    """Guards against a record that takes the link of an entry or grows without bound."""
    planner = make_planner()
    for number in range(24):
        for priority in range(3):
            name = f"{number:08x}{priority:08x}"
            queue = make_queue(priority=priority, name=f"q{priority}")
            job = make_job([msgspec.structs.replace(TASK, count=39)], name=name, queue=queue)
            planner.add_job(msgspec.structs.replace(job, team=TeamId(f"team-{number:02d}")), None)
    assert len(summarize(planner).teams) == 24
    assert len(encode(summarize(planner))) <= MAX_SUMMARY_BYTES
    for number in range(300):
        job = make_wide_job(1, team=TeamId(f"a-team-with-a-long-name-{number:03d}"))
        planner.add_job(msgspec.structs.replace(job, job_id=JobId(f"f{number:015x}")), None)
    summary = summarize(planner)
    assert len(encode(summary)) <= MAX_SUMMARY_BYTES
    assert summary.team_count == 324
    assert TeamId("team-07") in summary.teams
    assert sum(summary.waiting) == 24 * 3 * 390 + 300 * 10


def test_priorities_share_the_last_level_if_there_are_many() -> None:
    """Guards against a record that grows with the number of priorities."""
    planner = make_planner()
    for priority in range(9):
        queue = make_queue(priority=priority, name=f"q{priority}")
        planner.add_job(make_job([TASK], name=f"{priority:016x}", queue=queue), None)
    summary = summarize(planner)
    assert (summary.priorities, summary.jobs) == ((0, 1, 2, 8), (1, 1, 1, 6))


def test_a_fleet_that_is_not_full_publishes_nothing() -> None:
    """Guards against store calls and bytes that nobody needs."""
    publication = Publication(make_planner())
    submit(publication.planner, make_wide_job(27))
    assert [publication.advance(0.5) for _ in range(10)] == [0] * 10


def test_a_loaded_fleet_publishes_changes_and_refreshes() -> None:
    """Guards against a summary that is written too often, or is too old to be used under load."""
    publication = Publication(make_planner())
    submit(publication.planner, make_wide_job(300))
    assert [publication.advance(0.5) for _ in range(4)] == [1] * 4
    submit(publication.planner, make_wide_job(300, "b"))
    # The change is published at once, and the record is refreshed while nothing changes.
    writes = [publication.advance(0.5) for _ in range(16)]
    assert writes[0] == 2
    assert writes[-1] - writes[0] == 2
    submit(publication.planner, make_wide_job(300, "c"))
    before = len(publication.values)
    for number in range(20):
        submit(publication.planner, make_wide_job(300, f"{number:02x}"[-1]))
        publication.advance(0.1)
    assert len(publication.values) - before <= 2
    assert REFRESH_INTERVAL_S < MAX_AGE_S - 1.0


def test_a_summary_that_cannot_be_made_does_not_stop_the_leader(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a leader that plans no more as one job has an unreadable record."""
    publication = Publication(make_planner())
    job = submit(publication.planner, make_wide_job(80))
    del publication.planner.units_by_id[job.job_id]
    assert publication.advance(1.0) == 0
    assert "event=load_summary_failed" in caplog.text


def test_the_summary_is_removed_once_the_load_is_over() -> None:
    """Guards against refusals by a summary of a load that is over, and against needless writes."""
    publication = Publication(make_planner())
    job = submit(publication.planner, make_wide_job(80))
    assert publication.advance(1.0) == 1
    publication.planner.cancel(job.job_id)
    assert publication.advance(1.0) == 2
    assert publication.values[-1] is None
    assert publication.advance(60.0) == 2


@pytest.mark.parametrize("is_loaded", [True, False])
@pytest.mark.parametrize("left", [encode(SUMMARY), b"{"], ids=["readable", "unreadable"])
def test_a_new_leader_replaces_or_removes_the_summary_of_the_last(
    is_loaded: bool, left: bytes
) -> None:
    """Guards against decisions by the summary of a leader that has ended."""
    publication = Publication(make_planner())
    publication.view.apply([Item(key=LOAD_KEY, value=left, revision=Revision(1))])
    if is_loaded:
        submit(publication.planner, make_wide_job(300))
    publication.begin_term()
    assert publication.advance(0.0) == 1
    assert (publication.values[0] is not None) is is_loaded
    assert (publication.view.current() is not None) is is_loaded


@pytest.mark.parametrize(
    ("value", "age_s", "is_used"),
    [
        (None, 0.0, False),
        (encode(SUMMARY), 0.0, True),
        (encode(SUMMARY), MAX_AGE_S, True),
        (encode(SUMMARY), MAX_AGE_S + 0.1, False),
        (b"{", 0.0, False),
        (b'{"capacity":1}', 0.0, False),
    ],
)
def test_only_a_readable_and_recent_summary_is_used(
    value: bytes | None, age_s: float, is_used: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against decisions without a summary, by an old one or by another kind of record."""
    clock = ManualClock()
    view = LoadView(clock)
    view.apply([Item(key=LOAD_KEY, value=encode(SUMMARY), revision=Revision(1))])
    with caplog.at_level(logging.WARNING, logger="absl"):
        view.apply([Item(key=LOAD_KEY, value=value, revision=Revision(2))])
    clock.seconds += age_s
    assert (view.current() is not None) is is_used
    is_unreadable = value is not None and value != encode(SUMMARY)
    assert ("event=load_summary_unreadable" in caplog.text) is is_unreadable


def test_a_record_of_a_later_version_is_readable() -> None:
    """Guards against entries of an older version that read nothing during an upgrade."""
    value = msgspec.json.encode([*msgspec.json.decode(encode(SUMMARY)), "new field"])
    assert decode(value, LoadSummary) == SUMMARY


def test_the_terms_of_two_leaders_publish_under_the_role() -> None:
    """Guards against a summary that a leader writes after it has lost the role."""
    harness = LeaderHarness()
    view = LoadView(harness.clock)
    wide = make_job([msgspec.structs.replace(TASK, count=100)])
    harness.leader.submit(wide)

    def begin_term() -> Term:
        for lease in list(harness.store.keys_by_lease):
            harness.store.expire_lease(Lease(lease))
        role = LeaderRole(harness.store, harness.leader.name)
        assert role.acquire()
        dependencies = TermDependencies(
            advice=UnavailableAdviceService(),
            machines=NoMachines(),
            checkpoint_s=1.0,
            worker_lost_timeout_s=LOST_AFTER_S,
            ended_job_retention_s=RETENTION_S,
            load_view=view,
        )
        leader = harness.leader
        term = Term(
            harness.store,
            leader.view,
            leader.replica,
            harness.clock,
            role,
            dependencies,
            make_event(),
        )
        term._report_replica.sync()
        term._load_planner()
        return term

    first = begin_term()
    first._plan_once()
    item = harness.store.items[LOAD_KEY]
    assert decode(item.value or b"", LoadSummary).teams[RED] == TeamLoad(0, 0, (1000,))
    harness.clock.seconds += 2.0
    second = begin_term()
    second._plan_once()
    assert harness.store.items[LOAD_KEY].revision > item.revision
    load_writes = [write for write in harness.store.writes if LOAD_KEY in write.values]
    assert all("own/leader" in write.expected for write in load_writes)
    assert WORKER in second._planner.workers.by_id
