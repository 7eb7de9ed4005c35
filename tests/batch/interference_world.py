"""World in which workloads slow each other down, for tests of the leader without a network."""

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

import msgspec
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.test_planner import make_planner

from chicorycrank.batch.interference_records import workload_of
from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import EndKind, Queue, Step, TaskEnd
from chicorycrank.model.ids import TargetId, TaskId, Workload

A, B, C = Workload("a"), Workload("b"), Workload("c")
MUTUAL = {(A, B): 1.5, (B, A): 1.5}
NOTHING: Mapping[Any, Any] = MappingProxyType({})
BATCH = make_queue(priority=2, name="batch")
ROUND_S = 4.0
LABEL_SHARE = 0.5
PLANS_PER_ROUND = 8  # a plan starts a few tasks of a step that limits its tasks per worker
TASK = Step(count=1, accelerators=1, cores=1000, run_time_s=12.0)


@dataclass(kw_only=True)
class World:
    """Workers on which rounds of jobs run; a run beside a disturbing workload is slower.

    :param time_by_worker: run time on each worker, relative to the declared one
    :param slow_downs: factor by which the run time of a workload grows beside a neighbour
    :param noise: bound of the difference of the logarithms of rates
    :ivar shared: number of rates of runs beside a workload that slows them down
    """

    time_by_worker: Mapping[TargetId, float]
    slow_downs: Mapping[tuple[Workload, Workload], float] = field(
        default_factory=lambda: dict(MUTUAL)
    )
    noise: float = 0.3
    choose: random.Random
    shared: int = 0
    rounds: int = 0
    planner: Planner = field(init=False)

    def __post_init__(self) -> None:
        """Create the planner with all workers."""
        self.planner = make_planner(list(self.time_by_worker))

    def submit(self, step: Step, name: str, factor: float = 1.0, queue: Queue = BATCH) -> str:
        """Submit a job of one step.

        :param factor: actual run time relative to the declared one, which its payload holds
        """
        job = make_job([step], name=name, queue=queue, payload=str(factor))
        self.planner.add_job(job, None)
        return job.job_id

    def images_on(self, worker: TargetId) -> set[Workload]:
        """Return the workloads that run on a worker."""
        planner = self.planner
        return {
            workload_of(planner.jobs_by_id[member.ref.job_id], member.ref.step)
            for member in planner.members_by_worker.get(worker, {}).values()
        }

    def together(self) -> int:
        """Return the number of workers on which workloads run that slow each other down."""
        return sum(
            any({*pair} <= self.images_on(worker) for pair in MUTUAL)
            for worker in self.time_by_worker
        )

    def report_rates(self, labels: Mapping[TargetId, tuple[str, ...]] | None = None) -> None:
        """Let each agent report the rates of its runs, and its labels."""
        planner = self.planner
        for worker, time in self.time_by_worker.items():
            images = self.images_on(worker)
            rates: dict[TaskId, tuple[int, int]] = {}
            for task, member in planner.members_by_worker.get(worker, {}).items():
                job = planner.jobs_by_id[member.ref.job_id]
                own = workload_of(job, member.ref.step)
                factors = [self.slow_downs.get((own, other), 1.0) for other in images]
                self.shared += max(factors) > 1.0
                noise = math.exp(self.choose.uniform(-self.noise, self.noise))
                rate = 1 / (time * float(job.payload) * math.prod(factors) * noise)
                rates[task] = (planner.unit_of(member.ref).run, round(100 * rate))
            names = labels[worker] if labels else ()
            report = make_report(f"i-{worker}:1", work_rates=rates, labels=names)
            planner.apply_report(worker, report)

    def end_all(self) -> None:
        """End all runs as done."""
        planner = self.planner
        for worker in self.time_by_worker:
            ends = [
                TaskEnd(task, planner.unit_of(member.ref).run, EndKind.DONE)
                for task, member in planner.members_by_worker.get(worker, {}).items()
            ]
            planner.apply_report(worker, make_report(f"i-{worker}:1", ends=ends))
        for job_id in list(planner.jobs_by_id):
            planner.remove_job(job_id)

    def pass_time(self, seconds: float) -> None:
        """Let time pass, and plan."""
        planner = self.planner
        planner.set_time(planner.now_s + seconds, planner.now_ms + round(seconds * 1000))
        planner.plan()

    def run_round(
        self,
        images: Sequence[str],
        choices: Mapping[TargetId, Sequence[tuple[str, ...]]] = NOTHING,
        factors: Mapping[str, float] = NOTHING,
        per_worker: int = 2,
    ) -> None:
        """Run one job of each image to its end, on workers that the job's label selects at random.

        A job shares some of its workers.

        :param choices: of some workers, the sets of images of which they run one
        :param factors: of some images, the actual run time relative to the declared one
        :param per_worker: tasks of a job on each of its workers
        """
        self.rounds += 1
        labels = {
            worker: self.choose.choice(choices[worker])
            if worker in choices
            else tuple(image for image in images if self.choose.random() < LABEL_SHARE)
            for worker in self.time_by_worker
        }
        for worker in self.time_by_worker:
            self.planner.apply_report(worker, make_report(f"i-{worker}:1", labels=labels[worker]))
        for number, image in enumerate(images):
            count = per_worker * sum(image in names for names in labels.values())
            if not count:
                continue
            step = msgspec.structs.replace(
                TASK, count=count, image=image, label=image, max_per_worker=per_worker
            )
            factor = self.choose.uniform(0.5, 2.0)
            name = f"{self.rounds:08d}{number:08d}"
            self.submit(step, name, factors.get(image, factor))
        for _ in range(PLANS_PER_ROUND):
            self.pass_time(0.05)
        self.pass_time(ROUND_S)
        self.report_rates(labels)
        self.end_all()
        self.pass_time(1.0)
