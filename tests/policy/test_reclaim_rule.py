"""Property test of the reclaim rule.

It runs random sequences of submissions, ends, evictions and worker losses. After each decision, it
must be possible to place all guaranteed shapes by evicting only borrowed work. Work is borrowed if
it runs outside of its team's guarantees.
"""

import os
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, assume, given, settings
from hypothesis import strategies as st
from tests.policy.reclaim_checker import GuaranteedJob, Instance, Worker, can_assemble

from chicorycrank.model.config import Guarantee, Team
from chicorycrank.model.ids import GuaranteeId, JobId, RackId, RegionId, TargetId, TeamId, ZoneId
from chicorycrank.model.jobs import Adjacency, GangShape, WorkKind
from chicorycrank.policy.admission import check_guarantees
from chicorycrank.policy.cell import Cell, QueuedJob, RunningJob, WorkerState
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Evict, Start
from chicorycrank.policy.explain import degraded_guarantees
from chicorycrank.policy.packing import piece_counts
from chicorycrank.policy.pool import Pool

TEAMS = ("red", "green", "blue")
RECLAIM_SETTINGS = settings(
    max_examples=int(os.environ.get("RECLAIM_EXAMPLES", "100")),
    derandomize="RECLAIM_EXAMPLES" not in os.environ,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)

# A value that is repeated in ``sampled_from`` is drawn more often.
shapes = st.builds(
    GangShape,
    members=st.integers(1, 3),
    accelerators=st.sampled_from((1, 2, 3, 4, 4)),
    adjacency=st.sampled_from(Adjacency),
    cores=st.sampled_from((0, 0, 1, 4)),
)
guarantee_lists = st.lists(
    st.builds(
        Guarantee,
        team=st.sampled_from(TEAMS).map(TeamId),
        region=st.just(RegionId("north")),
        shape=st.builds(
            GangShape,
            members=st.integers(1, 2),
            accelerators=st.sampled_from((1, 2, 4)),
            adjacency=st.sampled_from(Adjacency),
        ),
        count=st.integers(1, 2),
    ),
    min_size=1,
    max_size=3,
)
submissions = st.tuples(st.just("submit"), st.sampled_from(TEAMS), shapes, st.booleans())
events = st.one_of(
    submissions,
    st.tuples(st.just("finish"), st.integers(0, 20)),
    st.tuples(st.just("cancel"), st.integers(0, 20)),
    st.tuples(st.just("lose"), st.integers(0, 4)),
    st.tuples(st.just("drain"), st.integers(0, 4)),
    st.tuples(st.just("return"), st.integers(0, 4)),
    st.tuples(st.just("set_guarantees"), guarantee_lists),
)
# The first submissions fill the cell, so that most later jobs wait or evict others.
event_sequences = st.builds(
    lambda first, later: [*first, *later],
    st.lists(submissions, min_size=6, max_size=12),
    st.lists(st.one_of(submissions, events), min_size=5, max_size=25),
)


class SimulatedCell:
    """Cell with an independent record of its running jobs."""

    def __init__(self, guarantees: list[Guarantee]) -> None:
        self.cell = Cell()
        self.now_s = 0.0
        self.queue: dict[JobId, QueuedJob] = {}
        self.running: dict[JobId, RunningJob] = {}
        self.lost_workers: set[str] = set()
        self.drained_workers: set[str] = set()
        self.submitted = 0
        self.states = {f"w{i}": self._state(i) for i in range(5)}
        for state in self.states.values():
            self.cell.set_worker(state)
        self.guarantees: list[Guarantee] = []
        self.apply_guarantees(guarantees)

    @staticmethod
    def _state(index: int) -> WorkerState:
        return WorkerState(
            worker=TargetId(f"w{index}"),
            rack=RackId(f"rack-{index // 3}"),
            zone=ZoneId("zone"),
            accelerators=4,
            cores=8,
            memory_gb=16,
        )

    def apply_guarantees(self, guarantees: list[Guarantee]) -> None:
        """Apply guarantees if they fit and no guaranteed job runs."""
        guarantee_by_id = {
            GuaranteeId(f"g{i}"): guarantee for i, guarantee in enumerate(guarantees)
        }
        if check_guarantees([self._state(i) for i in range(5)], guarantee_by_id):
            return
        if any(job.kind is WorkKind.GUARANTEED for job in self.running.values()):
            return
        self.guarantees = guarantees
        self.cell.set_config({TeamId(name): Team() for name in TEAMS}, guarantee_by_id)

    def apply(self, event: tuple[object, ...]) -> None:
        """Apply one event."""
        kind, value = event[0], event[1]
        self.now_s += 10.0
        if kind == "submit":
            self._submit(*event[1:])  # type: ignore[arg-type]
        elif kind == "set_guarantees":
            self.apply_guarantees(value)  # type: ignore[arg-type]
        elif kind == "finish" and self.running:
            assert isinstance(value, int)
            self._end(list(self.running)[value % len(self.running)])
        elif kind == "cancel" and self.queue:
            assert isinstance(value, int)
            del self.queue[list(self.queue)[value % len(self.queue)]]
        elif kind in ("lose", "drain", "return"):
            self._change_worker(str(kind), f"w{value}")
        self._update_kinds()

    def _update_kinds(self) -> None:
        """Copy the work kinds that events changed; decisions must not change any."""
        self.cell.place_guarantees()
        for job_id, job in self.running.items():
            kind = self.cell.running_by_id[job_id].kind
            if kind is WorkKind.BORROWED and job.kind is WorkKind.GUARANTEED:
                assert self.lost_workers or self.drained_workers, (
                    "guaranteed job demoted although all workers are available"
                )
            self.running[job_id] = replace(job, kind=kind)

    def _submit(self, team: str, shape: GangShape, urgent: bool) -> None:
        self.submitted += 1
        job_id = JobId(f"j{self.submitted}")
        self.queue[job_id] = QueuedJob(
            job_id=job_id,
            team=TeamId(team),
            shape=shape,
            run_time_s=60.0,
            submitted_s=self.now_s,
            urgent=urgent,
        )

    def _end(self, job_id: JobId) -> None:
        del self.running[job_id]
        self.cell.finish(job_id, completed=True, now_s=self.now_s)

    def _change_worker(self, kind: str, name: str) -> None:
        worker = TargetId(name)
        if kind == "lose" and name not in self.lost_workers:
            self.cell.remove_worker(worker)
            self.lost_workers.add(name)
            self.drained_workers.discard(name)
        elif kind == "drain" and name not in self.lost_workers:
            self.cell.set_available(worker, False)
            self.drained_workers.add(name)
        elif kind == "return" and name in self.lost_workers:
            if not any(m.worker == name for job in self.running.values() for m in job.placement):
                self.cell.set_worker(self._state(int(name[1:])))
                self.lost_workers.discard(name)
        elif kind == "return" and name in self.drained_workers:
            self.cell.set_available(worker, True)
            self.drained_workers.discard(name)

    def end_stopped_jobs(self) -> None:
        """End and requeue evicted jobs and jobs that lost a worker."""
        for job_id, job in list(self.running.items()):
            if job.stopping or any(member.worker in self.lost_workers for member in job.placement):
                self._end(job_id)
                self.queue[job_id] = job.job
        self._update_kinds()

    def decide(self, check: Callable[[], None]) -> None:
        """Apply one decision pass and call ``check`` after each decision."""
        self.cell.place_guarantees()
        before = self._snapshot()
        decisions = decide(self.cell, list(self.queue.values()), self.now_s)
        assert self._snapshot() == before, "decide changed the cell"
        for decision in decisions:
            if isinstance(decision, Start):
                self._start(decision)
            else:
                self._evict(decision)
            check()

    def _snapshot(self) -> object:
        cell = self.cell
        instances = {
            key: (instance.worker_masks, set(instance.jobs))
            for key, instance in cell.guarantee_placements.instance_by_key.items()
        }
        pools = (cell.free, cell.reclaimable, cell.guarantee_placements.pool)
        return instances, [(dict(p.masks), dict(p.cores), dict(p.memory_gb)) for p in pools]

    def _start(self, start: Start) -> None:
        job = self.queue.pop(start.job_id)
        used = {
            (m.worker, a)
            for r in self.running.values()
            for m in r.placement
            for a in m.accelerators
        }
        started = [(m.worker, a) for m in start.placement for a in m.accelerators]
        assert len(started) == job.shape.members * job.shape.accelerators == len(set(started))
        assert not used & set(started), "accelerator allocated twice"
        assert not {m.worker for m in start.placement} & (self.lost_workers | self.drained_workers)
        racks = {self.states[m.worker].rack for m in start.placement}
        workers = {m.worker for m in start.placement}
        if job.shape.adjacency is not Adjacency.ANY:
            assert len(racks) == 1
        if job.shape.adjacency is Adjacency.WORKER:
            assert len(workers) == 1
        running = RunningJob(
            job=job,
            placement=start.placement,
            kind=start.kind,
            started_s=self.now_s,
            backfill=start.backfill,
        )
        self.running[job.job_id] = running
        self.cell.start(running)
        for worker in workers:
            cores = sum(
                r.job.shape.cores
                for r in self.running.values()
                for m in r.placement
                if m.worker == worker
            )
            assert cores <= 8, "more cores allocated than the worker has"

    def _evict(self, evict: Evict) -> None:
        victim = self.running[evict.job_id]
        assert victim.kind is WorkKind.BORROWED, "guaranteed job evicted"
        assert not victim.stopping, "job evicted twice"
        self.running[evict.job_id] = replace(victim, stopping=True)
        self.cell.mark_stopping(evict.job_id)

    def check_reclaim_rule(self) -> None:
        """Assert that all guaranteed shapes can be placed while every instance has a placement.

        Guarantees may only be degraded while a worker is lost or drained.
        """
        workers = [
            Worker(name, state.rack, state.accelerators, name not in self.drained_workers)
            for name, state in self.states.items()
            if name not in self.lost_workers
        ]
        instances = [
            Instance(
                guarantee.team,
                guarantee.shape.members,
                guarantee.shape.accelerators,
                guarantee.shape.adjacency.value,
            )
            for guarantee in self.guarantees
            for _ in range(guarantee.count)
        ]
        guaranteed_jobs = [
            GuaranteedJob(
                job.job.team,
                frozenset((m.worker, a) for m in job.placement for a in m.accelerators),
            )
            for job in self.running.values()
            if job.kind is WorkKind.GUARANTEED
        ]
        for job_id, job in self.running.items():
            assert self.cell.running_by_id[job_id].kind is job.kind, "decision changed a work kind"
        degraded = degraded_guarantees(self.cell)
        if not degraded:
            assert can_assemble(workers, instances, guaranteed_jobs), (instances, guaranteed_jobs)
        elif not self.lost_workers and not self.drained_workers:
            raise AssertionError(
                f"guarantees degraded although all workers are available: {degraded}"
            )


def check_indexes(pool: Pool) -> None:
    """Assert that the indexes of a pool match the counts computed from its masks."""
    for rack, workers in pool.workers_by_rack.items():
        counts = [0] * len(pool.piece_totals)
        for worker in workers:
            if pool.is_open(worker):
                counts = [
                    a + b for a, b in zip(counts, piece_counts(pool.masks[worker]), strict=True)
                ]
                if pool.masks[worker]:
                    assert worker in pool.workers_by_mask[pool.masks[worker]]
        assert counts == pool.piece_counts_by_rack[rack]
        for i, count in enumerate(counts):
            assert rack in pool.racks_by_piece_count[i][count]


@RECLAIM_SETTINGS
@given(guarantees=guarantee_lists, sequence=event_sequences)
def test_every_guaranteed_shape_stays_reclaimable(
    guarantees: list[Guarantee], sequence: list[tuple[object, ...]]
) -> None:
    """Guard against decisions after which a guarantee needs the eviction of guaranteed jobs."""
    simulation = SimulatedCell(guarantees)
    assume(simulation.guarantees)
    for event in sequence:
        simulation.apply(event)
        simulation.decide(simulation.check_reclaim_rule)
        simulation.check_reclaim_rule()
        for pool in (
            simulation.cell.free,
            simulation.cell.reclaimable,
            simulation.cell.guarantee_placements.pool,
        ):
            check_indexes(pool)
        simulation.end_stopped_jobs()


@pytest.mark.parametrize("accelerators", [1, 3])
def test_checker_rejects_placement_with_guaranteed_work_of_another_team(accelerators: int) -> None:
    """Guard against a checker that accepts invalid placements."""
    workers = [Worker("a", "r", 4), Worker("b", "r", 4)]
    instances = [Instance("red", 1, 4, "worker"), Instance("green", 1, 4, "worker")]
    job_in_own_instance = GuaranteedJob(
        "red", frozenset(("a", number) for number in range(accelerators))
    )
    job_in_other_teams_instance = GuaranteedJob("red", frozenset({("b", 0)}))
    assert can_assemble(workers, instances, [job_in_own_instance])
    assert not can_assemble(workers, instances, [job_in_own_instance, job_in_other_teams_instance])
