"""Comparison of a whole decision session with a snapshot."""

from collections.abc import Iterator

from syrupy.assertion import SnapshotAssertion
from tests.policy.conftest import TEAMS, make_job, make_workers

from chicorycrank.model.config import Guarantee
from chicorycrank.model.ids import GuaranteeId, JobId, RegionId, TargetId, TeamId
from chicorycrank.model.jobs import Adjacency, GangShape
from chicorycrank.policy.cell import Cell, QueuedJob, RunningJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Decision, Start
from chicorycrank.policy.explain import degraded_guarantees, explain_wait


def make_guarantee(team: str, members: int, accelerators: int, count: int) -> Guarantee:
    shape = GangShape(members=members, accelerators=accelerators, adjacency=Adjacency.RACK)
    return Guarantee(team=TeamId(team), region=RegionId("north"), shape=shape, count=count)


def describe(decision: Decision) -> str:
    if not isinstance(decision, Start):
        return f"evict {decision.job_id} for {decision.for_job}: {decision.reason}"
    placement = " ".join(f"{m.worker}{list(m.accelerators)}" for m in decision.placement)
    backfill = " backfill" if decision.backfill else ""
    return f"start {decision.job_id} {decision.kind.value}{backfill} on {placement}"


class Session:
    """Cell that applies its decisions and logs them with the explanations of waiting jobs."""

    def __init__(self) -> None:
        self.cell = Cell()
        for worker in make_workers("a a a b", 8):
            self.cell.set_worker(worker)
        guarantees = {
            GuaranteeId("red-pair"): make_guarantee("red", 2, 8, 1),
            GuaranteeId("green-half"): make_guarantee("green", 1, 4, 2),
        }
        self.cell.set_config(TEAMS, guarantees)
        self.queue: dict[JobId, QueuedJob] = {}
        self.lines: list[str] = []
        self.now_s = 0.0

    def at(self, now_s: float, event: str, *jobs: QueuedJob) -> None:
        """Log an event, queue jobs and apply the decisions of one pass."""
        self.now_s = now_s
        self.lines.append(f"{now_s:g} s: {event}")
        for job in jobs:
            self.queue[job.job_id] = job
        for decision in decide(self.cell, list(self.queue.values()), now_s):
            self.lines.append(f"  {describe(decision)}")
            if isinstance(decision, Start):
                self.cell.start(
                    RunningJob(
                        job=self.queue.pop(decision.job_id),
                        placement=decision.placement,
                        kind=decision.kind,
                        started_s=now_s,
                        backfill=decision.backfill,
                    )
                )
            else:
                self.cell.mark_stopping(decision.job_id)
        self.lines.extend(self.explain_waiting())

    def explain_waiting(self) -> Iterator[str]:
        """Yield one line per waiting job and per degraded guarantee."""
        for job_id in self.queue:
            explanation = explain_wait(self.cell, list(self.queue.values()), job_id, self.now_s)
            freed_by = " ".join(explanation.freed_by)
            yield f"  {job_id} waits: {explanation.cause.value}, freed by [{freed_by}]"
        for guarantee in degraded_guarantees(self.cell):
            yield f"  {guarantee.guarantee} misses {guarantee.missing} of {guarantee.count}"

    def end(self, *names: str) -> None:
        """End jobs; evicted ones are queued again."""
        for name in names:
            running = self.cell.running_by_id[JobId(name)]
            completed = not running.stopping
            self.cell.finish(JobId(name), completed=completed, now_s=self.now_s)
            if running.stopping:
                self.queue[JobId(name)] = running.job


def test_session_matches_the_golden_file(snapshot: SnapshotAssertion) -> None:
    """Guard against unintended changes of decisions and of their explanations."""
    session = Session()
    fill = [make_job(f"blue-{i}", "blue", 1, 8, submitted_s=0.0) for i in range(4)]
    session.at(0.0, "blue borrows every worker", *fill)
    pair = make_job("red-1", "red", 2, 8, adjacency="rack", submitted_s=60.0)
    session.at(60.0, "red submits a job that fits its guarantee", pair)
    session.end(*list(session.cell.stopping))
    session.at(65.0, "the evicted jobs have stopped")
    half = make_job("green-1", "green", 1, 4, submitted_s=90.0, urgent=True)
    session.at(90.0, "green submits an urgent job that fits its guarantee", half)
    session.end(*list(session.cell.stopping))
    session.at(95.0, "the evicted job has stopped")
    gang = make_job("blue-gang", "blue", 3, 8, adjacency="rack", submitted_s=100.0)
    short = make_job("blue-short", "blue", 1, 2, run_time_s=50.0, submitted_s=101.0)
    session.at(101.0, "a large gang and a short job arrive", gang, short)
    session.cell.remove_worker(TargetId("w0"))
    session.at(200.0, "worker w0 is lost")
    session.cell.remove_worker(TargetId("w3"))
    session.at(300.0, "worker w3 is lost")
    session.now_s = 1100.0
    session.end(*list(session.cell.running_by_id))
    session.at(1100.0, "all jobs end")
    assert "\n".join(session.lines) == snapshot
