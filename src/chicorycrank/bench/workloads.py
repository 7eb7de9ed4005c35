"""Seeded generators of fleets, teams and jobs for the deployments."""

import random
from dataclasses import dataclass, replace
from itertools import cycle

from chicorycrank.model.config import Guarantee, Team
from chicorycrank.model.ids import GuaranteeId, JobId, RackId, RegionId, TargetId, TeamId, ZoneId
from chicorycrank.model.jobs import Adjacency, GangShape, JobSpec
from chicorycrank.policy.admission import check_job
from chicorycrank.policy.cell import QueuedJob, WorkerState

ACCELERATORS = 8
WORKERS_PER_RACK = 3
REGION = RegionId("region")
MEDIAN_RUN_S = 3600.0
RUN_SIGMA = 1.0
MAX_RUN_S = 24 * 3600.0
NEVER_RUN_SHARE = 0.02
URGENT_SHARE = 0.03
CHECKPOINT_SHARE = 0.5
# A team's declarations are wrong by up to 10 ** 0.7, each job's by another 10 ** 0.3.
TEAM_ERROR = 0.7
JOB_ERROR = 0.3

Mix = tuple[tuple[float, int, int], ...]  # weight, members, accelerators of each member

CLAIMS_MIX: Mix = (
    (0.30, 1, 1), (0.20, 1, 2), (0.18, 1, 4), (0.18, 1, 8), (0.10, 2, 8), (0.04, 3, 8),
)  # fmt: skip
RENDER_MIX: Mix = (
    (0.20, 1, 1), (0.20, 1, 2), (0.20, 1, 4), (0.18, 1, 8), (0.14, 2, 8), (0.08, 3, 8),
)  # fmt: skip
FLEET_MIX: Mix = (
    (0.30, 1, 1), (0.20, 1, 2), (0.15, 1, 4), (0.20, 1, 8), (0.08, 2, 8), (0.04, 3, 8),
    (0.02, 8, 8), (0.01, 64, 8),
)  # fmt: skip

# 2.3 accelerators per task: 950 full workers run about 3,300 tasks.
TASK_MIX: Mix = (
    (0.35, 1, 1), (0.25, 1, 2), (0.20, 1, 4), (0.08, 1, 8), (0.05, 2, 8), (0.03, 8, 2),
    (0.01, 64, 1),
)  # fmt: skip


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Size and job mix of a deployment's cell."""

    name: str
    workers: int
    teams: int
    cores: int
    memory_gb: int
    mix: Mix


@dataclass(frozen=True, kw_only=True)
class BenchJob:
    """A job with its true run time.

    :param can_run: false if admission has to refuse it
    """

    job: QueuedJob
    true_s: float
    can_run: bool = True

    @property
    def work_s(self) -> float:
        """Accelerator seconds."""
        return self.true_s * self.job.shape.members * self.job.shape.accelerators


@dataclass(frozen=True, kw_only=True)
class Workload:
    """A fleet with its teams and the jobs that arrive."""

    deployment: Deployment
    workers: list[WorkerState]
    teams: dict[TeamId, Team]
    guarantees: dict[GuaranteeId, Guarantee]
    partition_by_team: dict[TeamId, list[TargetId]]
    jobs: list[BenchJob]


DEPLOYMENTS = {
    "bureau": Deployment(
        name="bureau", workers=10, teams=4, cores=64, memory_gb=250, mix=CLAIMS_MIX
    ),
    "clochan": Deployment(
        name="clochan", workers=10, teams=4, cores=130, memory_gb=500, mix=RENDER_MIX
    ),
    "fleet": Deployment(
        name="fleet", workers=950, teams=62, cores=64, memory_gb=250, mix=FLEET_MIX
    ),
}


def make_workers(deployment: Deployment) -> list[WorkerState]:
    """Return the workers of a deployment, three to a rack."""
    return [
        WorkerState(
            worker=TargetId(f"worker-{index}"),
            rack=RackId(f"rack-{index // WORKERS_PER_RACK}"),
            zone=ZoneId("zone"),
            accelerators=ACCELERATORS,
            cores=deployment.cores,
            memory_gb=deployment.memory_gb,
        )
        for index in range(deployment.workers)
    ]


def make_teams(deployment: Deployment) -> dict[TeamId, Team]:
    """Return teams of which every second one has one and a half times the weight."""
    weights = cycle((3.0, 3.0, 2.0, 2.0))
    return {
        TeamId(f"team-{index}"): Team(weight=next(weights)) for index in range(deployment.teams)
    }


def make_guarantees(
    deployment: Deployment, teams: dict[TeamId, Team]
) -> dict[GuaranteeId, Guarantee]:
    """Return guarantees over about half of the fleet."""
    kinds = cycle(((2, 8, 1), (1, 8, 2), (1, 8, 1), (1, 4, 2)))
    scale = max(1, round(deployment.workers / deployment.teams / 2.5))
    found = {}
    for team in teams:
        members, accelerators, count = next(kinds)
        found[GuaranteeId(f"{team}-share")] = Guarantee(
            team=team,
            region=REGION,
            shape=GangShape(members=members, accelerators=accelerators),
            count=count * scale,
        )
    return found


def make_partitions(
    workers: list[WorkerState], teams: dict[TeamId, Team]
) -> dict[TeamId, list[TargetId]]:
    """Split the workers, in rack order, by team weight."""
    total = sum(team.weight for team in teams.values())
    bounds, passed = [], 0.0
    for team in teams.values():
        passed += team.weight
        bounds.append(round(passed / total * len(workers)))
    parts, start = {}, 0
    for name, end in zip(teams, bounds, strict=True):
        parts[name] = [worker.worker for worker in workers[start:end]]
        start = end
    return parts


def make_workload(deployment: Deployment, *, load: float, jobs: int, seed: int) -> Workload:
    """Return a workload whose offered work is a share of the fleet's capacity.

    :param load: offered work relative to capacity, for example 0.9
    """
    rng = random.Random(f"{deployment.name}/{load}/{seed}")
    workers, teams = make_workers(deployment), make_teams(deployment)
    partitions = make_partitions(workers, teams)
    errors = {team: rng.uniform(-TEAM_ERROR, TEAM_ERROR) for team in teams}
    by_id = {worker.worker: worker for worker in workers}
    drawn = []
    for index in range(jobs):
        team = rng.choices(list(teams), [team.weight for team in teams.values()])[0]
        part = [by_id[worker] for worker in partitions[team]]
        drawn.append(_draw(rng, deployment, JobId(f"job-{index}"), team, errors[team], part))
    work = sum(job.work_s for job in drawn if job.can_run)
    span_s = work / (load * len(workers) * ACCELERATORS)
    times = sorted(rng.uniform(0.0, span_s) for _ in drawn)
    arrived = [
        replace(job, job=replace(job.job, submitted_s=at))
        for job, at in zip(drawn, times, strict=True)
    ]
    return Workload(
        deployment=deployment,
        workers=workers,
        teams=teams,
        guarantees=make_guarantees(deployment, teams),
        partition_by_team=partitions,
        jobs=arrived,
    )


def _draw(
    rng: random.Random,
    deployment: Deployment,
    job_id: JobId,
    team: TeamId,
    error: float,
    partition: list[WorkerState],
) -> BenchJob:
    """Draw a job that fits its team's partition, or one that fits no rack."""
    true_s = min(MAX_RUN_S, rng.lognormvariate(0.0, RUN_SIGMA) * MEDIAN_RUN_S)
    declared_s = true_s * 10 ** -(error + rng.uniform(-JOB_ERROR, JOB_ERROR))
    can_run = rng.random() >= NEVER_RUN_SHARE
    shape = GangShape(members=WORKERS_PER_RACK + 1, accelerators=ACCELERATORS)
    while can_run:
        _, members, accelerators = rng.choices(
            deployment.mix, [weight for weight, _, _ in deployment.mix]
        )[0]
        spread = members > WORKERS_PER_RACK
        shape = GangShape(
            members=members,
            accelerators=accelerators,
            adjacency=Adjacency.ANY if spread else Adjacency.RACK,
            cores=accelerators * 4,
            memory_gb=accelerators * 16,
        )
        spec = JobSpec(team=team, name=job_id, shape=shape, run_time_s=declared_s)
        # Gangs over several racks are drawn whatever the partition; only the fleet has them.
        if spread or not check_job(spec, partition, {team: Team()}):
            break
    job = QueuedJob(
        job_id=job_id,
        team=team,
        shape=shape,
        run_time_s=declared_s,
        submitted_s=0.0,
        urgent=rng.random() < URGENT_SHARE,
        checkpointable=rng.random() < CHECKPOINT_SHARE,
    )
    return BenchJob(job=job, true_s=true_s, can_run=can_run)
