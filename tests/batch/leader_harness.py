"""Leader and entries without threads, whose watches hear of changes only when a test says so."""

import threading

from tests.batch.fakes import RED, ManualClock, MemoryStore, make_job, make_queue, make_report
from tests.batch.test_whole_path import NoMachines, UnavailableAdviceService

from chicorycrank.batch.intake import JobIntake, Outcome
from chicorycrank.batch.keys import (
    WATCHED_PREFIX,
    decode,
    encode,
    order_key,
    presence_key,
    report_key,
)
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.role import LeaderRole
from chicorycrank.batch.term import Term, TermDependencies
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import BatchConfig, BatchTeam, Step, Submission, WorkOrder
from chicorycrank.model.ids import EntryId, TargetId
from chicorycrank.ports.transactions import Lease, Write

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
WORKER = TargetId("w")
JOB = make_job([Step(count=1, accelerators=8, run_time_s=5.0)])
RETENTION_S = 60.0
LOST_AFTER_S = 20.0


class QuietEntry:
    """Entry without threads, whose watch hears of changes only when a test calls for it."""

    def __init__(self, store: MemoryStore, clock: ManualClock, name: str) -> None:
        config = BatchConfig(version=1, queues=(make_queue(),), teams=(BatchTeam(team=RED),))
        self.name = EntryId(name)
        self.store = store
        self.clock = clock
        self.view = SharedView(CONFIG_KEY, lambda data: config, EVACUATION_PREFIX)
        self.replica = Replica(store, WATCHED_PREFIX, self.view.apply, clock, wait_s=0.0)
        self.intake = JobIntake(store, self.view, self.replica, clock)
        self.replica.sync()

    def submit(self, job: Submission = JOB) -> None:
        """Submit a job."""
        assert self.intake.submit(job, self.clock.monotonic() + 3.0) is Outcome.DONE

    def cancel(self, job: Submission = JOB) -> None:
        """Cancel a job; the cancellation is acknowledged."""
        assert self.intake.cancel(job.job_id, self.clock.monotonic() + 3.0) is Outcome.DONE

    def hear(self) -> None:
        """Let the watch bring all changes, or read all keys if their history is lost."""
        for _ in range(3):
            self.replica.sync()


class LeaderHarness:
    """A leader, another entry and a worker over one store."""

    def __init__(self) -> None:
        self.avoids_interference = True
        self.clock = ManualClock()
        self.store = MemoryStore()
        values = {
            CONFIG_KEY: b"1",
            report_key(WORKER): encode(make_report()),
            presence_key(WORKER): b"1",
        }
        self.store.apply(Write(values=values))
        self.leader = QuietEntry(self.store, self.clock, "leader")
        self.other = QuietEntry(self.store, self.clock, "other")
        self.take_over()

    def take_over(self) -> None:
        """Begin a new term of the leader."""
        for lease in list(self.store.keys_by_lease):
            self.store.expire_lease(Lease(lease))
        role = LeaderRole(self.store, self.leader.name)
        assert role.acquire()
        dependencies = TermDependencies(
            advice=UnavailableAdviceService(),
            machines=NoMachines(),
            checkpoint_s=1.0,
            worker_lost_timeout_s=LOST_AFTER_S,
            ended_job_retention_s=RETENTION_S,
            avoids_interference=self.avoids_interference,
        )
        self.term = Term(
            self.store,
            self.leader.view,
            self.leader.replica,
            self.clock,
            role,
            dependencies,
            threading.Event(),
        )
        self.term._report_replica.sync()
        self.term._load_planner()

    def plan(self) -> None:
        """Let the leader plan once."""
        self.term._plan_once()

    def do(self, step: str) -> None:
        """Take a step that is named by a test."""
        match step:
            case "watch":
                self.leader.hear()
            case "history lost":
                self.store.discard_history()
                self.leader.hear()
            case "takeover":
                self.take_over()
            case "submitted again":
                self.leader.submit()
            case "plan":
                self.plan()
            case _:
                raise ValueError(step)

    def started_tasks(self, worker: TargetId = WORKER) -> list[str]:
        """Return the tasks that an order has ever told a worker to start."""
        orders = [
            decode(write.values[order_key(worker)], WorkOrder)
            for write in self.store.writes
            if order_key(worker) in write.values
        ]
        return [a.task for order in orders for a in order.assignments if not a.stop]
