"""The reclaim rule over random sequences of submissions, ends, evictions and losses."""

import os
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, assume, given, settings
from hypothesis import strategies as st
from tests.policy.reclaim_checker import Held, Instance, Machine, can_assemble

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
RULES = settings(
    max_examples=int(os.environ.get("RECLAIM_EXAMPLES", "100")),
    derandomize="RECLAIM_EXAMPLES" not in os.environ,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)

shapes = st.builds(
    GangShape,
    members=st.integers(1, 3),
    accelerators=st.sampled_from((1, 2, 3, 4, 4)),
    adjacency=st.sampled_from(Adjacency),
    cores=st.sampled_from((0, 0, 1, 4)),
)
guarantees = st.lists(
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
    st.tuples(st.just("release"), guarantees),
)
# The cell is filled first, so that most later jobs have to wait or evict.
steps = st.builds(
    lambda first, later: [*first, *later],
    st.lists(submissions, min_size=6, max_size=12),
    st.lists(st.one_of(submissions, events), min_size=5, max_size=25),
)


class World:
    """A cell with its own record of what runs where."""

    def __init__(self, promises: list[Guarantee]) -> None:
        self.cell = Cell()
        self.now_s = 0.0
        self.queue: dict[JobId, QueuedJob] = {}
        self.running: dict[JobId, RunningJob] = {}
        self.lost: set[str] = set()
        self.drained: set[str] = set()
        self.submitted = 0
        self.states = {f"w{i}": self._state(i) for i in range(5)}
        for state in self.states.values():
            self.cell.put_worker(state)
        self.promises: list[Guarantee] = []
        self.release(promises)

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

    def release(self, promises: list[Guarantee]) -> None:
        """Put guarantees in force if nothing runs inside the earlier ones."""
        by_id = {GuaranteeId(f"g{i}"): promise for i, promise in enumerate(promises)}
        if check_guarantees([self._state(i) for i in range(5)], by_id):
            return
        if any(job.kind is WorkKind.GUARANTEED for job in self.running.values()):
            return
        self.promises = promises
        self.cell.set_config({TeamId(name): Team() for name in TEAMS}, by_id)

    def step(self, step: tuple[object, ...]) -> None:
        """Apply one event."""
        kind, value = step[0], step[1]
        self.now_s += 10.0
        if kind == "submit":
            self._submit(*step[1:])  # type: ignore[arg-type]
        elif kind == "release":
            self.release(value)  # type: ignore[arg-type]
        elif kind == "finish" and self.running:
            assert isinstance(value, int)
            self._end(list(self.running)[value % len(self.running)])
        elif kind == "cancel" and self.queue:
            assert isinstance(value, int)
            del self.queue[list(self.queue)[value % len(self.queue)]]
        elif kind in ("lose", "drain", "return"):
            self._change_worker(str(kind), f"w{value}")
        self._read_kinds()

    def _read_kinds(self) -> None:
        """Take over kinds that events changed; decisions may change none."""
        self.cell.place_guarantees()
        for job_id, job in self.running.items():
            kind = self.cell.running_by_id[job_id].kind
            if kind is WorkKind.BORROWED and job.kind is WorkKind.GUARANTEED:
                assert self.lost or self.drained, "guaranteed job demoted without a cause"
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
        if kind == "lose" and name not in self.lost:
            self.cell.remove_worker(worker)
            self.lost.add(name)
            self.drained.discard(name)
        elif kind == "drain" and name not in self.lost:
            self.cell.set_available(worker, False)
            self.drained.add(name)
        elif kind == "return" and name in self.lost:
            if not any(m.worker == name for job in self.running.values() for m in job.placement):
                self.cell.put_worker(self._state(int(name[1:])))
                self.lost.discard(name)
        elif kind == "return" and name in self.drained:
            self.cell.set_available(worker, True)
            self.drained.discard(name)

    def end_broken(self) -> None:
        """End what stops by itself: evicted gangs and gangs that lost a member."""
        for job_id, job in list(self.running.items()):
            if job.stopping or any(member.worker in self.lost for member in job.placement):
                self._end(job_id)
                self.queue[job_id] = job.job
        self._read_kinds()

    def decide(self, check: Callable[[], None]) -> None:
        """Apply one decision pass and check after each decision."""
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
        homes = {key: (home.spots, set(home.jobs)) for key, home in cell.homes.homes_by_key.items()}
        pools = (cell.free, cell.reclaimable, cell.homes.pool)
        return homes, [(dict(p.masks), dict(p.cores), dict(p.memory_gb)) for p in pools]

    def _start(self, start: Start) -> None:
        job = self.queue.pop(start.job_id)
        taken = {
            (m.worker, a)
            for r in self.running.values()
            for m in r.placement
            for a in m.accelerators
        }
        wanted = [(m.worker, a) for m in start.placement for a in m.accelerators]
        assert len(wanted) == job.shape.members * job.shape.accelerators == len(set(wanted))
        assert not taken & set(wanted), "accelerator given twice"
        assert not {m.worker for m in start.placement} & (self.lost | self.drained)
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
            assert cores <= 8, "cores given twice"

    def _evict(self, evict: Evict) -> None:
        victim = self.running[evict.job_id]
        assert victim.kind is WorkKind.BORROWED, "guaranteed work evicted"
        assert not victim.stopping, "evicted twice"
        self.running[evict.job_id] = replace(victim, stopping=True)
        self.cell.mark_stopping(evict.job_id)

    def check_rule(self) -> None:
        """Search a place for every guaranteed shape."""
        machines = [
            Machine(name, state.rack, state.accelerators, name not in self.drained)
            for name, state in self.states.items()
            if name not in self.lost
        ]
        instances = [
            Instance(p.team, p.shape.members, p.shape.accelerators, p.shape.adjacency.value)
            for p in self.promises
            for _ in range(p.count)
        ]
        held = [
            Held(
                job.job.team,
                frozenset((m.worker, a) for m in job.placement for a in m.accelerators),
            )
            for job in self.running.values()
            if job.kind is WorkKind.GUARANTEED
        ]
        for job_id, job in self.running.items():
            assert self.cell.running_by_id[job_id].kind is job.kind, "kind changed by a decision"
        degraded = degraded_guarantees(self.cell)
        if not degraded:
            assert can_assemble(machines, instances, held), (instances, held)
        elif not self.lost and not self.drained:
            raise AssertionError(f"degraded with every worker present: {degraded}")


def check_indexes(pool: Pool) -> None:
    """Compare the counts of a pool with counts made from its masks."""
    for rack, workers in pool.workers_by_rack.items():
        counts = [0] * len(pool.totals)
        for worker in workers:
            if pool.is_open(worker):
                counts = [
                    a + b for a, b in zip(counts, piece_counts(pool.masks[worker]), strict=True)
                ]
                if pool.masks[worker]:
                    assert worker in pool.workers_by_mask[pool.masks[worker]]
        assert counts == pool.piece_counts_by_rack[rack]
        for i, count in enumerate(counts):
            assert rack in pool.racks_by_count[i][count]


@RULES
@given(promises=guarantees, actions=steps)
def test_every_guaranteed_shape_stays_reclaimable(
    promises: list[Guarantee], actions: list[tuple[object, ...]]
) -> None:
    """Guards against a decision after which a guaranteed shape needs guaranteed work evicted."""
    world = World(promises)
    assume(world.promises)
    for action in actions:
        world.step(action)
        world.decide(world.check_rule)
        world.check_rule()
        for pool in (world.cell.free, world.cell.reclaimable, world.cell.homes.pool):
            check_indexes(pool)
        world.end_broken()


@pytest.mark.parametrize("count", [1, 3])
def test_checker_refuses_a_place_under_foreign_guaranteed_work(count: int) -> None:
    """Guards against a checker that accepts anything."""
    machines = [Machine("a", "r", 4), Machine("b", "r", 4)]
    instances = [Instance("red", 1, 4, "worker"), Instance("green", 1, 4, "worker")]
    inside = Held("red", frozenset(("a", number) for number in range(count)))
    astray = Held("red", frozenset({("b", 0)}))
    assert can_assemble(machines, instances, [inside])
    assert not can_assemble(machines, instances, [inside, astray])
