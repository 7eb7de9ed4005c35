"""Scenarios of placement, eviction, backfill and admission."""

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

ADJACENCIES = {"w": Adjacency.WORKER, "r": Adjacency.RACK, "a": Adjacency.ANY}


def numbers(text: str) -> tuple[int, ...]:
    return tuple(int(part) for part in text.split(",") if part.strip())


def starts(decisions: list[Decision]) -> dict[str, Start]:
    return {d.job_id: d for d in decisions if isinstance(d, Start)}


def victims(decisions: list[Decision]) -> list[str]:
    return [d.job_id for d in decisions if isinstance(d, Evict)]


# Placement.


@given(parsers.parse('"{held}" is occupied on worker {worker:d}'))
def occupy(cell: Cell, held: str, worker: int) -> None:
    taken = numbers(held)
    run_job(cell, make_job("holder", "blue", 1, len(taken)), worker, taken)


@given(parsers.parse("all cores of worker {worker:d} are in use"))
def occupy_cores(cell: Cell, worker: int) -> None:
    run_job(cell, make_job("cores", "blue", 1, 1, cores=64), worker, (0,))


@when(
    parsers.parse('a gang of {members:d} x {accelerators:d} "{adjacency}" is decided'),
    target_fixture="decisions",
)
def decide_gang(cell: Cell, members: int, accelerators: int, adjacency: str) -> list[Decision]:
    cores = 1 if accelerators == 4 else 0
    job = make_job("gang", "red", members, accelerators, adjacency=adjacency, cores=cores)
    return decide(cell, [job], NOW_S)


@then(parsers.parse('it gets accelerators "{given}" of worker {worker:d}'))
def check_accelerators(decisions: list[Decision], given: str, worker: int) -> None:
    (member,) = starts(decisions)["gang"].placement
    assert (member.worker, member.accelerators) == (f"w{worker}", numbers(given))


@then(parsers.re(r'it "(?P<result>\w+)" on workers "(?P<workers>[\d,]*)"'))
def check_workers(decisions: list[Decision], result: str, workers: str) -> None:
    start = starts(decisions).get("gang")
    assert (start is not None) == (result == "starts")
    used = {member.worker for member in start.placement} if start else set()
    assert used == {f"w{number}" for number in numbers(workers)}


# Eviction.


@given("borrowed jobs run with these sizes, ages and checkpoints")
def run_borrowed(cell: Cell, datatable: list[list[str]]) -> None:
    for name, worker, accelerators, age_s, saved in datatable[1:]:
        count = int(accelerators)
        job = make_job(name, "blue", 1, count, checkpointable=saved == "yes")
        run_job(cell, job, int(worker), tuple(range(count)), age_s=float(age_s))


@given(parsers.parse('team "{team}" runs a gang of 1 x 8 inside its guarantee'))
def run_guaranteed(cell: Cell, team: str) -> None:
    job = make_job("inside", team, 1, 8)
    run_job(cell, job, 0, tuple(range(8)), kind=WorkKind.GUARANTEED)


@when(
    parsers.re(
        r"an? (?P<kind>urgent|normal) gang of (?P<members>\d+) x (?P<accelerators>\d+) "
        r'of team "(?P<team>\w+)" is decided',
    ),
    converters={"members": int, "accelerators": int},
    target_fixture="decisions",
)
def decide_for_team(
    cell: Cell, kind: str, members: int, accelerators: int, team: str
) -> list[Decision]:
    job = make_job("gang", team, members, accelerators, urgent=kind == "urgent")
    return decide(cell, [job], NOW_S)


@when("the same queue is decided again", target_fixture="decisions")
def decide_again(cell: Cell, decisions: list[Decision]) -> list[Decision]:
    for victim in decisions:
        assert isinstance(victim, Evict)
        cell.mark_stopping(victim.job_id)
    return [*decisions, *decide(cell, [make_job("gang", "green", 1, 8, urgent=True)], NOW_S)]


@then(parsers.parse('"{victim}" is evicted and nothing else'))
def check_victim(decisions: list[Decision], victim: str) -> None:
    assert victims(decisions) == [victim]


@then(parsers.parse("{count:d} jobs are evicted"))
def check_count(decisions: list[Decision], count: int) -> None:
    assert len(victims(decisions)) == count


@then(parsers.parse('the gang starts as "{kind}" work'))
def check_kind(decisions: list[Decision], kind: str) -> None:
    assert starts(decisions)["gang"].kind is WorkKind(kind)


@given('an urgent gang of 1 x 8 of team "green" runs on worker 0')
def run_urgent(cell: Cell) -> None:
    run_job(cell, make_job("first", "green", 1, 8, urgent=True), 0, tuple(range(8)))


@when("the evicted job stops and both wait", target_fixture="decisions")
def stop_evicted(cell: Cell, decisions: list[Decision]) -> list[Decision]:
    assert victims(decisions) == ["first"]
    evicted = cell.running_by_id[JobId("first")].job
    cell.mark_stopping(evicted.job_id)
    cell.finish(evicted.job_id)
    return decide(cell, [make_job("gang", "red", 1, 8), evicted], NOW_S + 5.0)


@given('team "red" runs a borrowed gang of 1 x 8 on worker 1')
def run_second(cell: Cell) -> None:
    run_job(cell, make_job("second", "red", 1, 8), 1, tuple(range(8)))
    assert cell.running_by_id[JobId("second")].kind is WorkKind.BORROWED


@when("the gang inside the guarantee ends")
def end_inside(cell: Cell) -> None:
    cell.finish(JobId("inside"))


@then("the borrowed gang counts as guaranteed")
def check_promoted(cell: Cell) -> None:
    assert cell.running_by_id[JobId("second")].kind is WorkKind.GUARANTEED
    assert not cell.is_evictable(JobId("second"))


# Backfill.


@given(parsers.parse('a job of team "{team}" holds 8 accelerators of worker 0 for {left_s:d} s'))
def hold_worker(cell: Cell, team: str, left_s: int) -> None:
    job = make_job("long", team, 1, 8, run_time_s=left_s + 100.0)
    run_job(cell, job, 0, tuple(range(8)), age_s=100.0)


@given("a gang of 2 x 8 waits at the head of the queue", target_fixture="head")
def wait_at_head() -> QueuedJob:
    return make_job("head", "green", 2, 8, submitted_s=NOW_S - 9 * 3600)


@given(parsers.parse('earlier jobs of team "{team}" took {factor:g} times what they declared'))
def learn_factor(cell: Cell, team: str, factor: float) -> None:
    for _ in range(5):
        cell.estimates.record(TeamId(team), 100.0, 100.0 * factor)


@when(
    parsers.parse(
        'a job of team "{team}" with {accelerators:d} accelerators and {declared_s:d} s '
        "is decided after it"
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
    assert ("later" in starts(decisions)) == (result == "starts")
    assert "head" not in starts(decisions)


@given(
    parsers.parse(
        'a backfilled job of team "{team}" holds 4 accelerators of worker 1, '
        "declared {declared_s:d} s, since {age_s:d} s"
    )
)
def run_backfilled(cell: Cell, team: str, declared_s: int, age_s: int) -> None:
    job = make_job("filler", team, 1, 4, run_time_s=float(declared_s))
    run_job(cell, job, 1, (0, 1, 2, 3), age_s=float(age_s), backfill=True)


@when("the head alone is decided", target_fixture="decisions")
def decide_head(cell: Cell, head: QueuedJob) -> list[Decision]:
    return decide(cell, [head], NOW_S)


@when("no queue is decided", target_fixture="decisions")
def decide_nothing(cell: Cell) -> list[Decision]:
    return decide(cell, [], NOW_S)


@then(parsers.parse('the backfilled job "{result}"'))
def check_filler(decisions: list[Decision], result: str) -> None:
    assert victims(decisions) == (["filler"] if result == "is evicted" else [])


# Admission.


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


@when(parsers.parse('guarantees "{text}" are checked'), target_fixture="refused")
def check_promises(cell: Cell, text: str) -> list[str]:
    by_id = {}
    for index, part in enumerate(text.split()):
        count, members, rest = part.split("x")
        shape = GangShape(
            members=int(members), accelerators=int(rest[:-1]), adjacency=ADJACENCIES[rest[-1]]
        )
        by_id[GuaranteeId(f"g{index}")] = Guarantee(
            team=TeamId("red"), region=RegionId("north"), shape=shape, count=int(count)
        )
    return [f.field.split(".")[1] for f in check_guarantees(cell.workers_by_id.values(), by_id)]


@then(parsers.re(r'guarantees "(?P<expected>.*)" are refused'))
def check_refused(refused: list[str], expected: str) -> None:
    assert refused == expected.split()
