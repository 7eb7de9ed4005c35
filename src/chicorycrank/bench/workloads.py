"""Seeded generators of workers, teams and jobs of the benchmarks' deployments."""

import random
from dataclasses import dataclass, replace
from itertools import cycle

from chicorycrank.model.config import Guarantee, Team
from chicorycrank.model.ids import GuaranteeId, JobId, RackId, RegionId, TargetId, TeamId, ZoneId
from chicorycrank.model.jobs import Adjacency, GangShape, JobSpec
from chicorycrank.policy.admission import check_job
from chicorycrank.policy.cell import QueuedJob, WorkerState

ACCELERATORS_PER_WORKER = 8
WORKERS_PER_RACK = 3
REGION = RegionId("region")
MEDIAN_RUN_TIME_S = 3600.0
RUN_TIME_SIGMA = 1.0
MAX_RUN_TIME_S = 24 * 3600.0
UNPLACEABLE_SHARE = 0.02  # share of jobs that fit into no rack, so admission must refuse them
URGENT_SHARE = 0.03
CHECKPOINTABLE_SHARE = 0.5
# Declared run times are wrong by a factor of up to 10 ** 0.7 for all jobs of a team, and by another
# factor of up to 10 ** 0.3 for each job.
MAX_TEAM_ERROR_EXPONENT = 0.7
MAX_JOB_ERROR_EXPONENT = 0.3

JobMix = tuple[tuple[float, int, int], ...]  # weight, members, accelerators of each member

CLAIMS_MIX: JobMix = (
    (0.30, 1, 1), (0.20, 1, 2), (0.18, 1, 4), (0.18, 1, 8), (0.10, 2, 8), (0.04, 3, 8),
)  # fmt: skip
RENDER_MIX: JobMix = (
    (0.20, 1, 1), (0.20, 1, 2), (0.20, 1, 4), (0.18, 1, 8), (0.14, 2, 8), (0.08, 3, 8),
)  # fmt: skip
FLEET_MIX: JobMix = (
    (0.30, 1, 1), (0.20, 1, 2), (0.15, 1, 4), (0.20, 1, 8), (0.08, 2, 8), (0.04, 3, 8),
    (0.02, 8, 8), (0.01, 64, 8),
)  # fmt: skip

# 2.3 accelerators per task: 950 full workers run about 3,300 tasks.
TASK_MIX: JobMix = (
    (0.35, 1, 1), (0.25, 1, 2), (0.20, 1, 4), (0.08, 1, 8), (0.05, 2, 8), (0.03, 8, 2),
    (0.01, 64, 1),
)  # fmt: skip


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Size and job mix of the cell of a deployment."""

    name: str
    workers: int
    teams: int
    cores: int
    memory_gb: int
    mix: JobMix


@dataclass(frozen=True, kw_only=True)
class BenchJob:
    """Job with its true run time.

    :param can_run: whether admission has to accept the job
    """

    job: QueuedJob
    true_run_time_s: float
    can_run: bool = True

    @property
    def work_s(self) -> float:
        """True work of the job in accelerator seconds."""
        return self.true_run_time_s * self.job.shape.members * self.job.shape.accelerators


@dataclass(frozen=True, kw_only=True)
class Workload:
    """Workers and teams of a deployment, and the jobs that arrive."""

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
            accelerators=ACCELERATORS_PER_WORKER,
            cores=deployment.cores,
            memory_gb=deployment.memory_gb,
        )
        for index in range(deployment.workers)
    ]


def make_teams(deployment: Deployment) -> dict[TeamId, Team]:
    """Return teams that have, in alternating pairs, weight 3 or weight 2."""
    weights = cycle((3.0, 3.0, 2.0, 2.0))
    return {
        TeamId(f"team-{index}"): Team(weight=next(weights)) for index in range(deployment.teams)
    }


def make_guarantees(
    deployment: Deployment, teams: dict[TeamId, Team]
) -> dict[GuaranteeId, Guarantee]:
    """Return guarantees for about half of the accelerators."""
    # Members, accelerators of each member, and number of instances.
    shapes = cycle(((2, 8, 1), (1, 8, 2), (1, 8, 1), (1, 4, 2)))
    scale = max(1, round(deployment.workers / deployment.teams / 2.5))
    guarantee_by_id = {}
    for team in teams:
        members, accelerators, count = next(shapes)
        guarantee_by_id[GuaranteeId(f"{team}-share")] = Guarantee(
            team=team,
            region=REGION,
            shape=GangShape(members=members, accelerators=accelerators),
            count=count * scale,
        )
    return guarantee_by_id


def make_partitions(
    workers: list[WorkerState], teams: dict[TeamId, Team]
) -> dict[TeamId, list[TargetId]]:
    """Divide the workers, in rack order, in proportion to the weights of the teams."""
    total_weight = sum(team.weight for team in teams.values())
    end_indexes, cumulative_weight = [], 0.0
    for team in teams.values():
        cumulative_weight += team.weight
        end_indexes.append(round(cumulative_weight / total_weight * len(workers)))
    partition_by_team, start = {}, 0
    for name, end in zip(teams, end_indexes, strict=True):
        partition_by_team[name] = [worker.worker for worker in workers[start:end]]
        start = end
    return partition_by_team


def make_workload(deployment: Deployment, *, load: float, jobs: int, seed: int) -> Workload:
    """Return a workload with a given load.

    :param load: offered work as a share of the capacity, for example 0.9
    :param jobs: number of jobs
    """
    rng = random.Random(f"{deployment.name}/{load}/{seed}")
    workers, teams = make_workers(deployment), make_teams(deployment)
    partitions = make_partitions(workers, teams)
    error_exponent_by_team = {
        team: rng.uniform(-MAX_TEAM_ERROR_EXPONENT, MAX_TEAM_ERROR_EXPONENT) for team in teams
    }
    worker_by_id = {worker.worker: worker for worker in workers}
    bench_jobs = []
    for index in range(jobs):
        team = rng.choices(list(teams), [team.weight for team in teams.values()])[0]
        partition = [worker_by_id[worker] for worker in partitions[team]]
        bench_jobs.append(
            _draw_job(
                rng,
                deployment,
                JobId(f"job-{index}"),
                team,
                error_exponent_by_team[team],
                partition,
            )
        )
    work_s = sum(job.work_s for job in bench_jobs if job.can_run)
    span_s = work_s / (load * len(workers) * ACCELERATORS_PER_WORKER)
    arrival_times_s = sorted(rng.uniform(0.0, span_s) for _ in bench_jobs)
    arriving_jobs = [
        replace(job, job=replace(job.job, submitted_s=arrived_s))
        for job, arrived_s in zip(bench_jobs, arrival_times_s, strict=True)
    ]
    return Workload(
        deployment=deployment,
        workers=workers,
        teams=teams,
        guarantees=make_guarantees(deployment, teams),
        partition_by_team=partitions,
        jobs=arriving_jobs,
    )


def _draw_job(
    rng: random.Random,
    deployment: Deployment,
    job_id: JobId,
    team: TeamId,
    team_error_exponent: float,
    partition: list[WorkerState],
) -> BenchJob:
    """Draw a job that fits into its team's partition, or one that fits into no rack."""
    true_run_time_s = min(
        MAX_RUN_TIME_S, rng.lognormvariate(0.0, RUN_TIME_SIGMA) * MEDIAN_RUN_TIME_S
    )
    declared_s = true_run_time_s * 10 ** -(
        team_error_exponent + rng.uniform(-MAX_JOB_ERROR_EXPONENT, MAX_JOB_ERROR_EXPONENT)
    )
    can_run = rng.random() >= UNPLACEABLE_SHARE
    shape = GangShape(members=WORKERS_PER_RACK + 1, accelerators=ACCELERATORS_PER_WORKER)
    while can_run:
        _, members, accelerators = rng.choices(
            deployment.mix, [weight for weight, _, _ in deployment.mix]
        )[0]
        spans_racks = members > WORKERS_PER_RACK
        shape = GangShape(
            members=members,
            accelerators=accelerators,
            adjacency=Adjacency.ANY if spans_racks else Adjacency.RACK,
            cores=accelerators * 4,
            memory_gb=accelerators * 16,
        )
        spec = JobSpec(team=team, name=job_id, shape=shape, run_time_s=declared_s)
        # Gangs over several racks are not checked against the partition; only the job mixes of
        # the fleet deployment contain them.
        if spans_racks or not check_job(spec, partition, {team: Team()}):
            break
    job = QueuedJob(
        job_id=job_id,
        team=team,
        shape=shape,
        run_time_s=declared_s,
        submitted_s=0.0,
        urgent=rng.random() < URGENT_SHARE,
        checkpointable=rng.random() < CHECKPOINTABLE_SHARE,
    )
    return BenchJob(job=job, true_run_time_s=true_run_time_s, can_run=can_run)
