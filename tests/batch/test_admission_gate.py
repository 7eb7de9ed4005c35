"""Admission at the entry: before the write, for new jobs only."""

from collections.abc import Callable, Sequence
from http import HTTPStatus

import msgspec
import pytest
from tests.batch.fakes import ManualClock, MemoryStore, make_job, make_queue

from chicorycrank.batch.admission_gate import UNANSWERED_RETENTION_S, AdmissionGate
from chicorycrank.batch.intake import JobIntake, Outcome
from chicorycrank.batch.keys import LOAD_KEY, WATCHED_PREFIX, encode, job_key
from chicorycrank.batch.load_view import MAX_AGE_S, LoadView
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import BatchConfig, BatchTeam, Queue, Step, Submission
from chicorycrank.model.ids import JobId, TeamId
from chicorycrank.model.load import LoadSummary, Resource, TeamLoad
from chicorycrank.platform.client_handler import ClientRequestHandler
from chicorycrank.platform.server import Request, Response
from chicorycrank.ports.transactions import Item, Revision, Write

CONFIG_KEY = "op/config"
BURST, QUIET = TeamId("burst"), TeamId("quiet")
# Objective 33 s, limit 99 s, and at least 5 s for the job itself.
BATCH_QUEUE: Queue = msgspec.structs.replace(
    make_queue(priority=2, name="batch"), slack=3.0, target_latency_s=3.0
)
URGENT_QUEUE: Queue = msgspec.structs.replace(
    make_queue(priority=0, name="urgent"), slack=1.5, target_latency_s=0.5
)
TASK = Step(count=10, accelerators=1, run_time_s=10.0)
CONFIG = BatchConfig(
    version=1,
    queues=(BATCH_QUEUE, URGENT_QUEUE),
    teams=(BatchTeam(team=BURST, keys=("b",), quota=10), BatchTeam(team=QUIET, keys=("q",))),
)
ID = "aaaaaaaaaaaaaaaa"


def make_summary(burst_wait_s: float = 200.0) -> LoadSummary:
    """Return a summary in which the work of one team takes the whole fleet so long."""
    burst, quiet = round(burst_wait_s * 100), 10
    return LoadSummary(
        resource=Resource.ACCELERATORS,
        capacity=100,
        priorities=(2,),
        running=(0,),
        waiting=(burst + quiet,),
        jobs=(400,),
        arrivals=(100,),
        fair_rates=(100,),
        team_count=2,
        teams={BURST: TeamLoad(0, 98, (burst,)), QUIET: TeamLoad(0, 2, (quiet,))},
    )


FULL = make_summary()


class Entry:
    """Entry with an admission gate, whose watch hears of changes when a test says so."""

    def __init__(self, store: MemoryStore, clock: ManualClock) -> None:
        self.clock = clock
        self.store = store
        self.view = SharedView(CONFIG_KEY, lambda data: CONFIG)
        self.load_view = LoadView(clock)
        self.replica = Replica(store, WATCHED_PREFIX, self._apply, clock, wait_s=0.0)
        self.intake = JobIntake(store, self.view, self.replica, clock)
        self.gate = AdmissionGate(
            self.intake, store, self.view, self.load_view, self.replica, clock
        )
        self.sync()

    def _apply(self, items: Sequence[Item]) -> None:
        self.view.apply(items)
        self.load_view.apply(items)

    def sync(self) -> None:
        """Let the watch bring all changes."""
        for _ in range(2):
            self.replica.sync()

    def submit(self, job: Submission) -> str:
        """Submit a job with a deadline of 3 s; return its outcome, or ``refused``."""
        answer = self.gate.submit(job, self.clock.monotonic() + 3.0)
        return answer.outcome.value if answer.retry_after_s is None else "refused"


class Fleet:
    """Two entries over one store, with the summary of a fleet that is full for one team."""

    def __init__(self, summary: bytes | None = encode(FULL)) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore()
        values = {CONFIG_KEY: b"1"} | ({} if summary is None else {LOAD_KEY: summary})
        self.store.apply(Write(values=values))
        self.entries = [Entry(self.store, self.clock) for _ in range(2)]

    def publish(self, summary: LoadSummary) -> None:
        """Publish a summary, and let the watches bring it."""
        self.store.apply(Write(values={LOAD_KEY: encode(summary)}))
        for entry in self.entries:
            entry.sync()

    def holds(self, job: Submission) -> bool:
        """Return whether the store has a job."""
        return job_key(job.job_id) in self.store.items


def job_of(
    team: TeamId = BURST, queue: Queue = BATCH_QUEUE, name: str = ID, count: int = 10
) -> Submission:
    step = msgspec.structs.replace(TASK, count=count)
    return make_job([step], name=name, queue=queue, team=team)


@pytest.mark.parametrize(
    ("job", "outcome"),
    [
        (job_of(), "refused"),
        (job_of(QUIET), "done"),  # a team that does not burst
        (job_of(queue=URGENT_QUEUE), "done"),  # urgent, within the quota
        (msgspec.structs.replace(job_of(), repeat_count=1, first_at_ms=2**50), "done"),
        (make_job([TASK, Step(count=1, long_running=True)], queue=BATCH_QUEUE, team=BURST), "done"),
    ],
    ids=["burst", "quiet", "urgent", "later", "long-running"],
)
def test_only_jobs_of_the_team_that_bursts_are_refused(job: Submission, outcome: str) -> None:
    """Guards against a refusal of the team beside it, of guaranteed and of later work."""
    fleet = Fleet()
    assert fleet.entries[0].submit(job) == outcome
    assert fleet.holds(job) is (outcome == "done")


@pytest.mark.parametrize(
    ("summary", "age_s"),
    [(None, 0.0), (encode(FULL), MAX_AGE_S + 0.1), (b"{", 0.0)],
    ids=["none", "old", "unreadable"],
)
def test_without_a_usable_summary_all_jobs_are_admitted(
    summary: bytes | None, age_s: float
) -> None:
    """Guards against refusals by a load that is not known."""
    fleet = Fleet(summary)
    fleet.clock.seconds += age_s
    assert fleet.entries[0].submit(job_of()) == "done"


def test_the_summary_of_a_new_leader_replaces_the_last() -> None:
    """Guards against refusals by the summary of the last leader."""
    fleet = Fleet()
    assert fleet.entries[0].submit(job_of()) == "refused"
    fleet.publish(make_summary(10.0))
    assert fleet.entries[0].submit(job_of()) == "done"


def fail_reads(fleet: Fleet) -> None:
    fleet.store.fault = lambda operation: "no_response" if operation == "read" else ""


def fail_all(fleet: Fleet) -> None:
    fleet.store.fault = lambda operation: "no_response"


def lose_store(fleet: Fleet) -> None:
    for entry in fleet.entries:
        entry.replica.failed_since = fleet.clock.monotonic()


@pytest.mark.parametrize("fault", [fail_reads, fail_all, lose_store])
def test_a_job_is_not_refused_while_the_store_does_not_answer(
    fault: Callable[[Fleet], None],
) -> None:
    """Guards against a refusal of a job that an earlier attempt may have stored.

    The answer is then that of a store that is down, which asks for a retry and is no admission.
    """
    fleet = Fleet()
    fault(fleet)
    advance = fleet.store.fault

    def fault_in_time(operation: str) -> str:
        fleet.clock.seconds += 0.3
        return advance(operation)

    fleet.store.fault = fault_in_time
    assert fleet.entries[0].submit(job_of()) == Outcome.NOT_DONE.value
    assert not fleet.holds(job_of())


@pytest.mark.parametrize("entry", [0, 1], ids=["same-entry", "other-entry"])
def test_a_job_that_an_unanswered_write_has_stored_is_not_refused(entry: int) -> None:
    """Guards against a refusal of a job that runs.

    The first attempt is lost after the write, while the fleet is not full.
    """
    fleet = Fleet(None)
    operations: list[str] = []

    def fault(operation: str) -> str:
        fleet.clock.seconds += 0.5
        operations.append(operation)
        return "lose" if operation == "commit" else "no_response" if "commit" in operations else ""

    fleet.store.fault = fault
    assert fleet.entries[0].submit(job_of()) == "unknown"
    fleet.store.fault = lambda operation: ""
    for other in fleet.entries:
        other.load_view.apply([Item(key=LOAD_KEY, value=encode(FULL), revision=Revision(99))])
    assert fleet.holds(job_of())
    assert fleet.entries[entry].submit(job_of()) == "done"


def test_a_write_that_may_still_be_applied_prevents_a_refusal_by_its_entry() -> None:
    """Guards against a late write that stores a job after its refusal."""
    fleet = Fleet(None)
    entry = fleet.entries[0]

    def fault(operation: str) -> str:
        fleet.clock.seconds += 0.5
        return "no_response" if operation == "commit" else ""

    fleet.store.fault = fault
    assert entry.submit(job_of()) == "unknown"
    fleet.store.fault = lambda operation: ""
    fleet.publish(FULL)
    other_id = "bbbbbbbbbbbbbbbb"
    assert entry.submit(job_of(name=other_id)) == "refused"
    assert entry.submit(job_of()) == "done"
    entry.gate._unanswered_at[JobId(other_id)] = fleet.clock.monotonic()
    fleet.clock.seconds += UNANSWERED_RETENTION_S + 0.1
    fleet.publish(make_summary(201.0))
    assert entry.submit(job_of(name=other_id)) == "refused"


def test_a_second_call_for_a_job_prevents_the_refusal_of_the_first() -> None:
    """Guards against two calls at a time of which one is refused and the other stores the job.

    The second call comes when the store has just answered the first that it lacks the job, and its
    write is not applied yet.
    """
    fleet = Fleet()
    entry = fleet.entries[0]
    answers: list[str] = []
    first_answers: list[str] = []

    def fault(operation: str) -> str:
        if operation == "commit" and not first_answers:
            first_answers.append("")
            first_answers[0] = entry.submit(job_of())
        return ""

    read = fleet.store.read

    def read_then_call(key: str, *, timeout_s: float = 1.0) -> Item | None:
        item = read(key, timeout_s=timeout_s)
        if not answers:
            answers.append("")
            answers[0] = entry.submit(job_of())
        return item

    fleet.store.fault = fault
    fleet.store.read = read_then_call  # type: ignore[method-assign]
    assert entry.submit(job_of()) == "done"
    assert (answers, first_answers) == (["done"], ["done"])


def test_an_accepted_job_is_not_refused_when_it_is_submitted_again() -> None:
    """Guards against the refusal of a job that was accepted before the burst."""
    fleet = Fleet(None)
    assert fleet.entries[0].submit(job_of()) == "done"
    fleet.publish(FULL)
    assert [entry.submit(job_of()) for entry in fleet.entries] == ["done", "done"]
    # An entry that knows the job asks nobody.
    operations: list[str] = []
    fleet.store.fault = lambda operation: operations.append(operation) or ""  # type: ignore[func-returns-value]
    assert (fleet.entries[0].submit(job_of()), operations) == ("done", [])
    assert fleet.entries[0].gate._admitted.by_team == {}
    fleet.store.fault = lambda operation: ""
    late_entry = Entry(fleet.store, fleet.clock)
    late_entry.view.jobs_by_id.clear()
    assert late_entry.submit(job_of()) == "done"


def test_a_burst_between_two_summaries_is_refused_by_each_entry() -> None:
    """Guards against two entries that admit at the same time without an end.

    Each counts what it has admitted itself. The two together admit no more than twice the work
    that is left until the limit, until the next summary has it all.
    """
    fleet = Fleet(encode(make_summary(80.0)))
    counts = [0, 0]
    for number in range(200):
        job = job_of(name=f"{number:016x}", count=100)  # 10 s of the fleet
        counts[number % 2] += fleet.entries[number % 2].submit(job) == "done"
    # Behind 80, 90 and 100 s of work with a margin of 1.05, a job ends after 81, 91 and 100 s.
    assert counts == [2, 2]
    assert [entry.submit(job_of(QUIET)) for entry in fleet.entries] == ["done", "done"]
    fleet.publish(make_summary(120.0))
    late_jobs = [job_of(name=f"f{number:015x}") for number in range(2)]
    assert [e.submit(j) for e, j in zip(fleet.entries, late_jobs, strict=True)] == ["refused"] * 2


def test_jobs_that_were_not_stored_do_not_count() -> None:
    """Guards against refusals for jobs that a failing store has not accepted."""
    fleet = Fleet(encode(make_summary(80.0)))
    fleet.store.fault = lambda operation: "refuse" if operation == "commit" else ""
    entry = fleet.entries[0]
    entry.replica.failed_since = fleet.clock.monotonic()
    for number in range(5):
        assert entry.submit(job_of(name=f"{number:016x}", count=100)) == "not-done"
    fleet.store.fault = lambda operation: ""
    entry.replica.failed_since = None
    assert entry.submit(job_of()) == "done"


def handle(fleet: Fleet, *, has_gate: bool = True, job_id: str = ID) -> Response:
    entry = fleet.entries[0]
    handler = ClientRequestHandler(
        entry.view,
        entry.intake,
        fleet.clock,
        is_current=lambda: True,
        is_ready=lambda: True,
        retry_after_s=lambda: 1,
        admission=entry.gate if has_gate else None,
    )
    body = msgspec.json.encode({"steps": [{"count": 10, "gpus": 1, "estimatedMs": 10_000}]})
    headers = {"credential": "b", "deadline-ms": "3000"}
    return handler.handle(Request("POST", f"/batch/{job_id}", "host", headers, body))


def test_a_refusal_is_answered_with_503_and_the_time_of_the_retry() -> None:
    """Guards against a refusal that tells no time, and clients that all return at once."""
    fleet = Fleet()
    answers = [handle(fleet, job_id=f"{number:016x}") for number in range(100)]
    assert {answer.status for answer in answers} == {HTTPStatus.SERVICE_UNAVAILABLE}
    delays = [int(answer.headers["Retry-After"]) for answer in answers]
    assert min(delays) >= 1
    assert len(set(delays)) >= 20
    assert not any(key.startswith("own/jobs/") for key in fleet.store.items)


def test_admission_can_be_switched_off() -> None:
    """Guards against refusals that the operator cannot stop."""
    assert handle(Fleet(), has_gate=False).status is HTTPStatus.OK
