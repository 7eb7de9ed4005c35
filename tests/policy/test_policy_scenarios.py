"""Steps of the scenarios for placement, eviction, backfill and admission."""

from pytest_bdd import given, parsers, scenarios, then, when
from tests.policy.conftest import NOW_S, TEAMS, make_job, run_job

from chicorycrank.model.config import Guarantee
from chicorycrank.model.ids import GuaranteeId, JobId, RegionId, TeamId
from chicorycrank.model.jobs import Adjacency, GangShape, JobSpec, WorkKind
from chicorycrank.policy.admission import check_guarantees, check_job
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Decision, Evict, Start

scenarios(
    "../features/placement.feature",
    "../features/eviction.feature",
    "../features/backfill.feature",
    "../features/admission.feature",
)

# Letters in the text of a guarantee, which is <count>x<members>x<accelerators><letter>.
ADJACENCIES = {"w": Adjacency.WORKER, "r": Adjacency.RACK, "a": Adjacency.ANY}


def parse_numbers(text: str) -> tuple[int, ...]:
    return tuple(int(part) for part in text.split(",") if part.strip())


def starts_by_id(decisions: list[Decision]) -> dict[str, Start]:
    return {d.job_id: d for d in decisions if isinstance(d, Start)}


def evicted_ids(decisions: list[Decision]) -> list[str]:
    return [d.job_id for d in decisions if isinstance(d, Evict)]


# Steps of placement.feature.


@given(parsers.parse('accelerators "{accelerators}" of worker {worker:d} are in use'))
def occupy(cell: Cell, accelerators: str, worker: int) -> None:
    occupied = parse_numbers(accelerators)
    run_job(cell, make_job("occupant", "blue", 1, len(occupied)), worker, occupied)


@given(parsers.parse("all cores of worker {worker:d} are in use"))
def occupy_cores(cell: Cell, worker: int) -> None:
    run_job(cell, make_job("cores", "blue", 1, 1, cores=64), worker, (0,))


@when(
    parsers.parse(
        'a decision pass runs with a gang of {members:d} x {accelerators:d} "{adjacency}"'
    ),
    target_fixture="decisions",
)
def decide_gang(cell: Cell, members: int, accelerators: int, adjacency: str) -> list[Decision]:
    cores = 1 if accelerators == 4 else 0
    job = make_job("gang", "red", members, accelerators, adjacency=adjacency, cores=cores)
    return decide(cell, [job], NOW_S)


@then(parsers.parse('it is placed on accelerators "{placed}" of worker {worker:d}'))
def check_accelerators(decisions: list[Decision], placed: str, worker: int) -> None:
    (member,) = starts_by_id(decisions)["gang"].placement
    assert (member.worker, member.accelerators) == (f"w{worker}", parse_numbers(placed))


@then(parsers.re(r'it "(?P<result>\w+)" on workers "(?P<workers>[\d,]*)"'))
def check_workers(decisions: list[Decision], result: str, workers: str) -> None:
    start = starts_by_id(decisions).get("gang")
    assert (start is not None) == (result == "starts")
    used = {member.worker for member in start.placement} if start else set()
    assert used == {f"w{number}" for number in parse_numbers(workers)}


# Steps of eviction.feature.


@given("borrowed jobs run with these sizes, ages and checkpoints")
def run_borrowed(cell: Cell, datatable: list[list[str]]) -> None:
    for name, worker, accelerators, age_s, checkpointable in datatable[1:]:
        count = int(accelerators)
        job = make_job(name, "blue", 1, count, checkpointable=checkpointable == "yes")
        run_job(cell, job, int(worker), tuple(range(count)), age_s=float(age_s))


@given(parsers.parse('team "{team}" runs a gang of 1 x 8 inside its guarantee'))
def run_guaranteed(cell: Cell, team: str) -> None:
    job = make_job("inside", team, 1, 8)
    run_job(cell, job, 0, tuple(range(8)), kind=WorkKind.GUARANTEED)


@when(
    parsers.re(
        r"a decision pass runs with an? (?P<kind>urgent|normal) gang of "
        r'(?P<members>\d+) x (?P<accelerators>\d+) of team "(?P<team>\w+)"',
    ),
    converters={"members": int, "accelerators": int},
    target_fixture="decisions",
)
def decide_for_team(
    cell: Cell, kind: str, members: int, accelerators: int, team: str
) -> list[Decision]:
    job = make_job("gang", team, members, accelerators, urgent=kind == "urgent")
    return decide(cell, [job], NOW_S)


@when("another decision pass runs with the same queue", target_fixture="decisions")
def decide_again(cell: Cell, decisions: list[Decision]) -> list[Decision]:
    for decision in decisions:
        assert isinstance(decision, Evict)
        cell.mark_stopping(decision.job_id)
    return [*decisions, *decide(cell, [make_job("gang", "green", 1, 8, urgent=True)], NOW_S)]


@then(parsers.parse('"{victim}" is evicted and nothing else'))
def check_victim(decisions: list[Decision], victim: str) -> None:
    assert evicted_ids(decisions) == [victim]


@then(parsers.parse("{count:d} jobs are evicted"))
def check_count(decisions: list[Decision], count: int) -> None:
    assert len(evicted_ids(decisions)) == count


@then(parsers.parse('the gang starts as "{kind}" work'))
def check_kind(decisions: list[Decision], kind: str) -> None:
    assert starts_by_id(decisions)["gang"].kind is WorkKind(kind)


@given('an urgent gang of 1 x 8 of team "green" runs on worker 0')
def run_urgent(cell: Cell) -> None:
    run_job(cell, make_job("first", "green", 1, 8, urgent=True), 0, tuple(range(8)))


@when("the evicted job stops and both jobs are queued", target_fixture="decisions")
def stop_evicted(cell: Cell, decisions: list[Decision]) -> list[Decision]:
    assert evicted_ids(decisions) == ["first"]
    evicted = cell.running_by_id[JobId("first")].job
    cell.mark_stopping(evicted.job_id)
    cell.finish(evicted.job_id)
    return decide(cell, [make_job("gang", "red", 1, 8), evicted], NOW_S + 5.0)


@given('team "red" runs a borrowed gang of 1 x 8 on worker 1')
def run_second_borrowed(cell: Cell) -> None:
    run_job(cell, make_job("second", "red", 1, 8), 1, tuple(range(8)))
    assert cell.running_by_id[JobId("second")].kind is WorkKind.BORROWED


@when("the gang inside the guarantee ends")
def end_guaranteed(cell: Cell) -> None:
    cell.finish(JobId("inside"))


@then("the borrowed gang counts as guaranteed")
def check_promoted(cell: Cell) -> None:
    assert cell.running_by_id[JobId("second")].kind is WorkKind.GUARANTEED
    assert not cell.is_evictable(JobId("second"))


# Steps of backfill.feature.


@given(
    parsers.parse(
        'a job of team "{team}" uses 8 accelerators of worker 0 for another {remaining_s:d} s'
    )
)
def occupy_worker(cell: Cell, team: str, remaining_s: int) -> None:
    job = make_job("long", team, 1, 8, run_time_s=remaining_s + 100.0)
    run_job(cell, job, 0, tuple(range(8)), age_s=100.0)


@given("a gang of 2 x 8 waits at the head of the queue", target_fixture="head")
def make_head() -> QueuedJob:
    return make_job("head", "green", 2, 8, submitted_s=NOW_S - 9 * 3600)


@given(parsers.parse('earlier jobs of team "{team}" ran {factor:g} times as long as declared'))
def record_run_times(cell: Cell, team: str, factor: float) -> None:
    for _ in range(5):
        cell.estimates.record(TeamId(team), 100.0, 100.0 * factor)


@when(
    parsers.parse(
        'a decision pass runs with a later job of team "{team}" '
        "with {accelerators:d} accelerators and {declared_s:d} s"
    ),
    target_fixture="decisions",
)
def decide_backfill(
    cell: Cell, head: QueuedJob, team: str, accelerators: int, declared_s: int
) -> list[Decision]:
    job = make_job("later", team, 1, accelerators, run_time_s=float(declared_s))
    return decide(cell, [head, job], NOW_S)


@then(parsers.re(r'the later job "(?P<result>starts|waits)"'))
def check_backfill(decisions: list[Decision], result: str) -> None:
    assert ("later" in starts_by_id(decisions)) == (result == "starts")
    assert "head" not in starts_by_id(decisions)


@given(
    parsers.parse(
        'a backfilled job of team "{team}" declared {declared_s:d} s '
        "and has used 4 accelerators of worker 1 for {age_s:d} s"
    )
)
def run_backfilled(cell: Cell, team: str, declared_s: int, age_s: int) -> None:
    job = make_job("backfilled", team, 1, 4, run_time_s=float(declared_s))
    run_job(cell, job, 1, (0, 1, 2, 3), age_s=float(age_s), backfill=True)


@when("a decision pass runs with the head of the queue only", target_fixture="decisions")
def decide_head(cell: Cell, head: QueuedJob) -> list[Decision]:
    return decide(cell, [head], NOW_S)


@when("a decision pass runs with an empty queue", target_fixture="decisions")
def decide_empty_queue(cell: Cell) -> list[Decision]:
    return decide(cell, [], NOW_S)


@then(parsers.parse('the backfilled job "{result}"'))
def check_backfilled(decisions: list[Decision], result: str) -> None:
    assert evicted_ids(decisions) == (["backfilled"] if result == "is evicted" else [])


# Steps of admission.feature.


@when(
    parsers.parse(
        'a job of team "{team}" with {members:d} x {accelerators:d} "{adjacency}", '
        "{cores:d} cores, {memory:d} GB and {run_time:d} s is checked"
    ),
    target_fixture="findings",
)
def check_spec(
    cell: Cell,
    team: str,
    members: int,
    accelerators: int,
    adjacency: str,
    cores: int,
    memory: int,
    run_time: int,
) -> list[str]:
    shape = GangShape(
        members=members,
        accelerators=accelerators,
        adjacency=Adjacency(adjacency),
        cores=cores,
        memory_gb=memory,
    )
    spec = JobSpec(team=TeamId(team), name="job", shape=shape, run_time_s=float(run_time))
    return [f.code.value for f in check_job(spec, cell.workers_by_id.values(), TEAMS)]


@then(parsers.re(r'the findings are "(?P<expected>.*)"'))
def check_findings(findings: list[str], expected: str) -> None:
    assert findings == expected.split()


@when(parsers.parse('guarantees "{text}" are checked'), target_fixture="rejected")
def check_guarantee_list(cell: Cell, text: str) -> list[str]:
    guarantee_by_id = {}
    for index, part in enumerate(text.split()):
        count, members, rest = part.split("x")
        shape = GangShape(
            members=int(members), accelerators=int(rest[:-1]), adjacency=ADJACENCIES[rest[-1]]
        )
        guarantee_by_id[GuaranteeId(f"g{index}")] = Guarantee(
            team=TeamId("red"), region=RegionId("north"), shape=shape, count=int(count)
        )
    return [
        f.field.split(".")[1]
        for f in check_guarantees(cell.workers_by_id.values(), guarantee_by_id)
    ]


@then(parsers.re(r'guarantees "(?P<expected>.*)" are rejected'))
def check_rejected(rejected: list[str], expected: str) -> None:
    assert rejected == expected.split()
