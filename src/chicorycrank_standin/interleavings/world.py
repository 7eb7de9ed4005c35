"""A small deployment in one process: entries, agents, executors, callers and their faults."""

import json
import random
from collections.abc import Callable
from typing import Any

from chicorycrank.batch.agent import BatchAgent
from chicorycrank.batch.intake import JobIntake, Outcome
from chicorycrank.batch.keys import WATCHED_PREFIX, StateRecord, decode, state_key
from chicorycrank.batch.leader import LeaderElection
from chicorycrank.batch.leases import lost_after_s
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.term import TermDependencies
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import (
    FINAL_BATCH_STATES,
    BatchConfig,
    BatchState,
    BatchTeam,
    Queue,
    Step,
    Submission,
)
from chicorycrank.model.ids import EntryId, JobId, QueueId, TargetId, TeamId
from chicorycrank.ports.advice import AdviceUnavailableError, AllowedExecutors
from chicorycrank.ports.transactions import Write
from chicorycrank_standin.interleavings.calls import Calls
from chicorycrank_standin.interleavings.choices import (
    CALL_KINDS,
    Choice,
    DrawnChoices,
    GivenChoices,
    Kind,
)
from chicorycrank_standin.interleavings.executor import (
    ACCELERATORS,
    SERVICE,
    ExecutorClient,
    SimulatedExecutor,
    report_of,
)
from chicorycrank_standin.interleavings.scheduler import (
    START_S,
    CooperativeThreads,
    Process,
    Scheduler,
    Thread,
    VirtualClock,
)
from chicorycrank_standin.interleavings.store import StoreClient, StoreState
from chicorycrank_standin.platform.disturbances import Disturbance, DisturbanceLog
from chicorycrank_standin.platform.run_recorder import RunRecord, RunRecorder

# The tasks never fail, so a job is given up only if executors crash under it.
MIN_CRASHES_OF_FAILED_JOB = 2
CONFIG_KEY = "op/config"
FAULTS_S = 12.0  # choices strike in this first part of a schedule
END_LIMIT_S = 60.0  # an accepted job ends within this time after the last fault
SETTLING_S = 3.0  # time after the end of the last job in which nothing may start
CALL_LIMIT_S = 3.0
CANCELLED_SHARE = 0.4
CHECK_INTERVAL_S = 0.1
CALLER_RETRY_S = 0.5
HEARTBEAT_INTERVAL_S = 1.5
MAX_LEASE_S = 10.0
RETENTION_S = 600.0
REBIRTH_SHARE = 0.4  # of a cut, after which the executor behind it is back
SILENCE_GAP_S = 2.0  # the watches of a process hear of changes between two silences
ENTRIES = ("entry-0", "entry-1")
WORKERS = ("w-0", "w-1")
JOB_SECONDS = (0.4, 1.2, 3.0)
RED = TeamId("red")
QUEUE = Queue(
    queue_id=QueueId("q"),
    host="host",
    prefix="/q/",
    service=SERVICE,
    priority=1,
    max_attempts=3,
    advice=None,
)
CONFIG = BatchConfig(version=1, queues=(QUEUE,), teams=(BatchTeam(team=RED),))


class NoAdvice:
    """Advice service that no job asks."""

    def query_executors(
        self, step: str, executors: object, *, timeout_s: float
    ) -> AllowedExecutors:
        """Fail."""
        raise AdviceUnavailableError(step)


class World:
    """Deployment with its judge.

    :ivar accepted: ids of the jobs whose submission was acknowledged
    """

    def __init__(self, workload_seed: int, choices: DrawnChoices | GivenChoices) -> None:
        self.scheduler = Scheduler(choices, self._strike)
        self.scheduler.faults_end_at = START_S + FAULTS_S
        self.threads = CooperativeThreads(self.scheduler)
        self.clock = VirtualClock(self.scheduler)
        self.calls = Calls(self.scheduler)
        self.state = StoreState(self.scheduler, self._note_write)

        def now_s() -> float:
            return self.scheduler.now_s

        self.recorder = RunRecorder(clock=now_s, disturbances=DisturbanceLog(clock=now_s))
        self.accepted: set[JobId] = set()
        self.calm_from = START_S + FAULTS_S
        self._rng = random.Random(workload_seed)
        self._silent_until: dict[str, float] = {}
        self._pause_at_renewal_s: dict[str, float] = {}
        self._lives: dict[str, int] = {}
        self._down: set[str] = set()
        self.process_by_name: dict[str, Process] = {}
        self.intakes: dict[str, JobIntake] = {}
        self.agents: dict[str, BatchAgent] = {}
        self.executors = [
            SimulatedExecutor(f"x-{i}", worker, self.scheduler, self.recorder)
            for i, worker in enumerate(WORKERS)
        ]
        for executor in self.executors:
            executor.on_broken = self._break_gang
        self._callers_left = len(JOB_SECONDS)
        self._checked_at = START_S
        self._is_over = False
        self._settled_at: float | None = None

    # Processes.

    def start(self) -> None:
        """Start all processes and callers."""
        self.state.apply(Write(values={CONFIG_KEY: b"1"}))
        for name in (*ENTRIES, *WORKERS):
            self._start_process(name)
        for executor in self.executors:
            self._beat(executor)
        callers = Process("callers")
        self.scheduler.processes.append(callers)
        for number, seconds in enumerate(JOB_SECONDS):
            self.scheduler.spawn(callers, f"job-{number}", self._caller(number, seconds))

    def _start_process(self, name: str) -> None:
        life = self._lives[name] = self._lives.get(name, 0) + 1
        process = self.process_by_name[name] = Process(f"{name}#{life}")
        self._down.discard(name)
        self.scheduler.processes.append(process)
        self.scheduler.note(f"{process.name} starts")
        store = StoreClient(
            self.state,
            self.scheduler,
            self.calls,
            lambda: self._silent_until.get(name, 0.0),
            lambda: self._note_renewal(name),
        )
        start = self._start_entry if name in ENTRIES else self._start_agent
        self.scheduler.spawn(process, "main", lambda: start(name, store))

    def _start_entry(self, name: str, store: StoreClient) -> None:
        view = SharedView(CONFIG_KEY, lambda data: CONFIG)
        replica = Replica(store, WATCHED_PREFIX, view.apply, self.clock, wait_s=1.0)
        self.intakes[name] = JobIntake(store, view, replica, self.clock)
        election = LeaderElection(
            store,
            view,
            replica,
            self.clock,
            EntryId(name),
            TermDependencies(
                advice=NoAdvice(),
                machines=self,
                checkpoint_s=1.0,
                worker_lost_timeout_s=lost_after_s(MAX_LEASE_S),
                ended_job_retention_s=RETENTION_S,
            ),
        )
        replica.start()
        election.start()

    def _start_agent(self, name: str, store: StoreClient) -> None:
        executor = self.executors[WORKERS.index(name)]
        client = ExecutorClient(executor, self.scheduler, self.calls)
        agent = BatchAgent(TargetId(name), store, client, self.clock, max_lease_s=MAX_LEASE_S)
        agent.start()
        self.agents[name] = agent

    def running_executors(self) -> frozenset[str]:
        """Return the executors whose machines run; a machine outlives its executor."""
        return frozenset(e.life.instance for e in self.executors if e.life is not None)

    def _break_gang(self, record: RunRecord) -> None:
        for executor in self.executors:
            executor.break_gang(record)

    # Heartbeats.

    def _beat(self, executor: SimulatedExecutor) -> None:
        if executor.life is not None and not executor.is_frozen:
            self._send_heartbeat(executor, executor.next_heartbeat())
        self.scheduler.at(self.scheduler.now_s + HEARTBEAT_INTERVAL_S, lambda: self._beat(executor))

    def _send_heartbeat(self, executor: SimulatedExecutor, heartbeat: dict[str, Any]) -> None:
        """Deliver a heartbeat now, or after a cut."""
        if executor.is_cut:
            self.scheduler.at(executor.cut_until, lambda: self._deliver(executor, heartbeat))
        else:
            self._deliver(executor, heartbeat)

    def _deliver(self, executor: SimulatedExecutor, heartbeat: dict[str, Any]) -> None:
        """Let the agent of an executor receive a heartbeat, if it runs."""
        life = executor.life

        def receive(agent: BatchAgent) -> None:
            agent.apply_heartbeat(
                report_of(heartbeat),
                number=heartbeat["seq"],
                started_at_ms=heartbeat["born"],
                clock_ms=heartbeat["clockMs"],
            )
            is_own = (
                life is not None and life is executor.life and life.born_ms == heartbeat["born"]
            )
            if is_own and life and heartbeat["state"] == "draining":
                life.draining_since = life.draining_since or self.scheduler.now_s

        self._receive(executor, receive)

    def _receive(self, executor: SimulatedExecutor, receive: Callable[[BatchAgent], None]) -> None:
        name = executor.agent
        agent = self.agents.get(name)
        if agent is not None:
            self.scheduler.spawn(self.process_by_name[name], "message", lambda: receive(agent))

    # Callers.

    def _caller(self, number: int, seconds: float) -> Callable[[], None]:
        rng = self._rng
        submits_at_s, cancels_after_s = rng.uniform(0.5, 3.0), rng.uniform(0.05, 6.0)
        is_cancelled = rng.random() < CANCELLED_SHARE
        count, is_gang = rng.choice(((1, False), (2, False), (2, True)))
        accelerators = rng.choice((ACCELERATORS, ACCELERATORS // 2))
        first, second = rng.sample(ENTRIES, 2)
        job_id = JobId(f"{number}" * 16)
        spec = {
            "seconds": seconds,
            "members": count if is_gang else 1,
            "accelerators": accelerators,
        }
        job = Submission(
            job_id=job_id,
            queue=QUEUE,
            team=RED,
            payload=json.dumps(spec),
            steps=(
                Step(
                    count=count,
                    accelerators=accelerators,
                    run_time_s=seconds,
                    gang=is_gang,
                ),
            ),
            submitted_at_ms=0,
        )

        def call(entry: str, name: str, work: Callable[[JobIntake], Outcome]) -> bool:
            """Make calls until one is acknowledged; return whether the job is known."""
            while True:
                outcome = self._call_entry(entry, work)
                self.scheduler.note(f"{name} of job {number} at {entry}: {outcome.value}")
                if outcome in (Outcome.DONE, Outcome.ABSENT):
                    return outcome is Outcome.DONE
                self.scheduler.sleep(CALLER_RETRY_S)
                entry = ENTRIES[1 - ENTRIES.index(entry)]

        def run() -> None:
            self.scheduler.sleep(submits_at_s)
            call(first, "submission", lambda i: i.submit(job, self._deadline()))
            self.accepted.add(job_id)
            if is_cancelled:
                self.scheduler.sleep(cancels_after_s)
                if call(second, "cancelling", lambda i: i.cancel(job_id, self._deadline())):
                    self.recorder.record_cancellation(job_id)
            self._callers_left -= 1

        return run

    def _deadline(self) -> float:
        return self.scheduler.now_s + CALL_LIMIT_S

    def _call_entry(self, name: str, work: Callable[[JobIntake], Outcome]) -> Outcome:
        """Run a call in a thread of the entry's process and wait for its answer."""
        answers: list[Outcome] = []
        caller = self.scheduler.current
        intake = self.intakes.get(name)
        if intake is None:
            return Outcome.UNKNOWN

        def serve() -> None:
            answers.append(work(intake))
            self.scheduler.wake(caller)

        self.scheduler.spawn(self.process_by_name[name], "call", serve)
        self.scheduler.wait(CALL_LIMIT_S)
        return answers[0] if answers else Outcome.UNKNOWN

    # Faults.

    def _disturb(self, name: str, duration_s: float) -> None:
        now_s = self.scheduler.now_s
        self.calm_from = max(self.calm_from, now_s + duration_s)
        self.recorder.disturbances.disturbances.append(
            Disturbance(name=name, is_planned=False, started_at=now_s, ended_at=now_s + duration_s)
        )

    def _strike(self, thread: Thread, choice: Choice) -> None:
        """Let a choice strike the running thread, or a process or an executor."""
        self.scheduler.note(f"** {choice.kind.value} (target {choice.target}, {choice.amount_s} s)")
        kind, amount_s = choice.kind, choice.amount_s
        executor = self.executors[choice.target % len(self.executors)]
        name = (*ENTRIES, *WORKERS)[choice.target % 4]
        process = self.process_by_name[name]
        if kind in CALL_KINDS:
            own = thread.process.name.partition("#")[0]
            self._disturb(own, amount_s + 1.0)
            self.calls.struck_by_thread[thread.name] = (kind, amount_s)
        elif kind is Kind.DELAY:
            self.scheduler.sleep(amount_s)
        elif kind is Kind.PAUSE:
            self._pause(name, process, amount_s)
        elif kind is Kind.RESTART:
            self._restart(name, process, amount_s)
        elif kind is Kind.SILENCE:
            self._silence(name, amount_s)
        elif kind is Kind.RENEWED:
            self._pause_at_renewal_s[name] = amount_s
        elif kind is Kind.LAPSE:
            self._lapse(amount_s)
        else:
            self._strike_executor(kind, executor, amount_s)
        if process is thread.process and process.paused_until > self.scheduler.now_s:
            self.scheduler.sleep(0.0)

    def _pause(self, name: str, process: Process, amount_s: float) -> None:
        self._disturb(name, amount_s)
        process.paused_until = max(process.paused_until, self.scheduler.now_s + amount_s)

    def _restart(self, name: str, process: Process, amount_s: float) -> None:
        if name in self._down:
            return
        self._down.add(name)
        self._disturb(name, amount_s + 1.0)
        self.intakes.pop(name, None)
        self.agents.pop(name, None)
        self.scheduler.at(self.scheduler.now_s + amount_s, lambda: self._start_process(name))
        self.scheduler.kill(process)

    def _silence(self, name: str, amount_s: float) -> None:
        ends_at = self.scheduler.now_s + amount_s
        if self._silent_until.get(name, 0.0) > self.scheduler.now_s - SILENCE_GAP_S:
            return
        self._disturb(name, amount_s)
        self._silent_until[name] = ends_at
        self.scheduler.at(ends_at, self.state.discard_history)

    def _note_renewal(self, name: str) -> None:
        """Pause a process whose answer to a renewal is on its way, if that is to happen."""
        amount_s = self._pause_at_renewal_s.pop(name, None)
        if amount_s is not None:
            self.scheduler.note(f"{name} pauses before the answer to its renewal ({amount_s} s)")
            self._pause(name, self.process_by_name[name], amount_s)
            self.scheduler.sleep(0.0)

    def _lapse(self, amount_s: float) -> None:
        if self.state.silent_until > self.scheduler.now_s - SILENCE_GAP_S:
            return
        for name in (*ENTRIES, *WORKERS):
            self._disturb(name, amount_s + 1.0)
        self.state.lapse_in_silence(amount_s)

    def _reborn(self, executor: SimulatedExecutor, amount_s: float) -> None:
        """Cut an executor off from its agent; it ends at once and restarts behind the cut."""
        if executor.is_cut:
            return
        self._disturb(executor.name, amount_s)
        self._disturb(executor.agent, amount_s)
        executor.cut_until = self.scheduler.now_s + amount_s
        keeps_id = int(amount_s * 1000) % 2 == 0
        executor.end_life("crashed", REBIRTH_SHARE * amount_s, keeps_id=keeps_id)

    def _strike_executor(self, kind: Kind, executor: SimulatedExecutor, amount_s: float) -> None:
        name, scheduler = executor.name, self.scheduler
        keeps_id = int(amount_s * 1000) % 2 == 0
        life = executor.life
        if kind is Kind.OLD_HEARTBEAT:
            for heartbeat in executor.earlier_heartbeats[-1:]:
                self._deliver(executor, heartbeat)
            return
        if life is None or executor.is_frozen:
            return
        match kind:
            case Kind.CRASH:
                self._disturb(name, amount_s)
                executor.end_life("crashed", amount_s, keeps_id=keeps_id)
            case Kind.DRAIN if life.exits_at is None:
                self._drain(executor, amount_s)
            case Kind.REBORN:
                self._reborn(executor, amount_s)
            case Kind.REFUSE:
                self._disturb(name, amount_s)
                executor.refuses_until = scheduler.now_s + amount_s
            case Kind.FREEZE:
                self._disturb(name, amount_s)
                executor.freeze(amount_s, stops_clock=False)
            case Kind.SUSPEND:
                self._disturb(name, amount_s)
                executor.freeze(amount_s, stops_clock=True)
                self._pause(executor.agent, self.process_by_name[executor.agent], amount_s)
            case Kind.EXIT_NOTICE:
                instance = life.instance
                self._receive(executor, lambda agent: agent.record_executor_exit(instance))
            case Kind.FOREIGN_HEARTBEAT:
                heartbeat = executor.next_heartbeat()
                heartbeat.update(born=heartbeat["born"] + 500, seq=1)
                if not keeps_id:
                    heartbeat["instance"] = "x-9-9"
                self._deliver(executor, heartbeat)
            case Kind.OVERTAKEN:
                heartbeat = executor.next_heartbeat()
                scheduler.at(scheduler.now_s + amount_s, lambda: self._deliver(executor, heartbeat))
            case _:
                pass

    def _drain(self, executor: SimulatedExecutor, amount_s: float) -> None:
        life = executor.life
        assert life is not None
        self._disturb(executor.name, 2 * amount_s)
        life.exits_at = self.scheduler.now_s + amount_s
        self._deliver(executor, executor.next_heartbeat())

        def exit_() -> None:
            if executor.life is not life:
                return
            if executor.is_frozen:
                self.scheduler.at(executor.frozen_until, exit_)
                return
            executor.end_life("left", amount_s, keeps_id=False)
            self._receive(executor, lambda agent: agent.record_executor_exit(life.instance))

        self.scheduler.at(life.exits_at, exit_)

    # The judge.

    def _note_write(self, keys: list[str]) -> None:
        if self.scheduler.steps is not None:
            shown = [key for key in keys if "leader" not in key] or ["the leader record"]
            self.scheduler.note(f"writes {', '.join(shown)}, revision {self.state.revision}")

    def job_state(self, job_id: JobId) -> BatchState:
        """Return the stored state of a job."""
        item = self.state.items.get(state_key(job_id))
        return decode(item.value, StateRecord).state if item and item.value else BatchState.QUEUED

    def unended_jobs(self) -> list[JobId]:
        """Return the accepted jobs whose stored state is not final."""
        return [j for j in sorted(self.accepted) if self.job_state(j) not in FINAL_BATCH_STATES]

    def is_over(self) -> bool:
        """Whether everything has ended and a while has passed since."""
        now_s = self.scheduler.now_s
        if self._is_over or self._callers_left or now_s < self._checked_at + CHECK_INTERVAL_S:
            return self._is_over
        self._checked_at = now_s
        if self._settled_at is None:
            if not self.unended_jobs():
                self._settled_at = now_s
            return False
        self._is_over = now_s >= self._settled_at + SETTLING_S
        return self._is_over

    def judge_end(self) -> None:
        """Report what is wrong at the end of the schedule."""
        for job_id in self.unended_jobs():
            state = self.job_state(job_id).name
            self.recorder.report_violation(f"job {job_id} has not ended: {state}")
        for job_id in sorted(self.accepted):
            is_done = self.job_state(job_id) is BatchState.COMPLETED
            done = {r.task for r in self.recorder.runs if r.end_kind == "done"}
            if is_done and not any(task.startswith(job_id) for task in done):
                self.recorder.report_violation(f"job {job_id} is reported as done and never ran")
        for job_id in sorted(self.accepted):
            crashes = [
                run for run in self.recorder.runs if run.job == job_id and run.end_kind == "crashed"
            ]
            is_failed = self.job_state(job_id) is BatchState.FAILED
            if is_failed and len(crashes) < MIN_CRASHES_OF_FAILED_JOB:
                self.recorder.report_violation(f"job {job_id} is given up")
        self.recorder.check_runs_of_cancelled_jobs(list(ENTRIES))
