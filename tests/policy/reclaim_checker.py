"""Exhaustive check of the reclaim rule, independent of the code of the policy.

The rule: all guaranteed shapes can be placed at the same time by evicting only borrowed work.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations

Accelerators = frozenset[tuple[str, int]]


@dataclass(frozen=True)
class Worker:
    """Worker with its rack; a closed one accepts no new work."""

    name: str
    rack: str
    accelerators: int
    open: bool = True


@dataclass(frozen=True)
class Instance:
    """Instance of a guaranteed shape."""

    team: str
    members: int
    accelerators: int
    adjacency: str


@dataclass(frozen=True)
class GuaranteedJob:
    """Running guaranteed job with its accelerators."""

    team: str
    accelerators: Accelerators


def can_assemble(
    workers: list[Worker], instances: list[Instance], jobs: list[GuaranteedJob]
) -> bool:
    """Return whether disjoint placements exist for all instances.

    A placement contains no guaranteed work of another team, and each guaranteed job lies inside
    one placement of its own team. A closed worker may only be used by instances whose jobs run
    on it.
    """
    options = [list(_placements(workers, instance, jobs)) for instance in instances]
    order = sorted(range(len(instances)), key=lambda i: len(options[i]))
    return _search([options[i] for i in order], [instances[i] for i in order], jobs, [])


def _search(
    options: list[list[Accelerators]],
    instances: list[Instance],
    jobs: list[GuaranteedJob],
    chosen: list[Accelerators],
) -> bool:
    if len(chosen) == len(instances):
        return all(
            any(
                job.accelerators <= placement
                for placement, instance in zip(chosen, instances, strict=True)
                if instance.team == job.team
            )
            for job in jobs
        )
    used = frozenset().union(*chosen)
    for placement in options[len(chosen)]:
        if not placement & used and _search(options, instances, jobs, [*chosen, placement]):
            return True
    return False


def _placements(
    workers: list[Worker], instance: Instance, jobs: list[GuaranteedJob]
) -> Iterator[Accelerators]:
    foreign = frozenset().union(*(job.accelerators for job in jobs if job.team != instance.team))
    own = frozenset().union(*(job.accelerators for job in jobs if job.team == instance.team))
    blocks: list[tuple[Worker, Accelerators]] = []
    step = 1
    while step < instance.accelerators:
        step *= 2
    for worker in workers:
        for start in range(0, worker.accelerators - instance.accelerators + 1, step):
            numbers = range(start, start + instance.accelerators)
            block = frozenset((worker.name, number) for number in numbers)
            if not block & foreign:
                blocks.append((worker, block))
    # Placements with guaranteed work of the own team come first, because they are the likely ones.
    blocks.sort(key=lambda block: not block[1] & own)
    for group in combinations(blocks, instance.members):
        racks = {worker.rack for worker, _ in group}
        names = {worker.name for worker, _ in group}
        if instance.adjacency == "rack" and len(racks) > 1:
            continue
        if instance.adjacency == "worker" and len(names) > 1:
            continue
        placement = frozenset().union(*(block for _, block in group))
        in_use = {name for name, _ in placement & own}
        if all(worker.open or worker.name in in_use for worker, _ in group):
            yield placement
