"""Checks the reclaim rule by trying every placement; shares no code with the policy."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations

Accelerators = frozenset[tuple[str, int]]


@dataclass(frozen=True)
class Machine:
    """A worker; a closed one takes no new work."""

    name: str
    rack: str
    accelerators: int
    open: bool = True


@dataclass(frozen=True)
class Instance:
    """One instance of a guaranteed shape."""

    team: str
    members: int
    accelerators: int
    adjacency: str


@dataclass(frozen=True)
class Held:
    """Accelerators of one running guaranteed job."""

    team: str
    accelerators: Accelerators


def can_assemble(machines: list[Machine], instances: list[Instance], held: list[Held]) -> bool:
    """Whether disjoint places exist for all instances.

    A place holds no guaranteed work of another team, and each guaranteed job lies inside one
    place of its own team. A closed machine serves only the jobs that run on it.
    """
    options = [list(_places(machines, instance, held)) for instance in instances]
    order = sorted(range(len(instances)), key=lambda i: len(options[i]))
    return _search([options[i] for i in order], [instances[i] for i in order], held, [])


def _search(
    options: list[list[Accelerators]],
    instances: list[Instance],
    held: list[Held],
    chosen: list[Accelerators],
) -> bool:
    if len(chosen) == len(instances):
        return all(
            any(
                job.accelerators <= place
                for place, instance in zip(chosen, instances, strict=True)
                if instance.team == job.team
            )
            for job in held
        )
    taken = frozenset().union(*chosen)
    for place in options[len(chosen)]:
        if not place & taken and _search(options, instances, held, [*chosen, place]):
            return True
    return False


def _places(
    machines: list[Machine], instance: Instance, held: list[Held]
) -> Iterator[Accelerators]:
    foreign = frozenset().union(*(job.accelerators for job in held if job.team != instance.team))
    own = frozenset().union(*(job.accelerators for job in held if job.team == instance.team))
    blocks: list[tuple[Machine, Accelerators]] = []
    step = 1
    while step < instance.accelerators:
        step *= 2
    for machine in machines:
        for start in range(0, machine.accelerators - instance.accelerators + 1, step):
            numbers = range(start, start + instance.accelerators)
            block = frozenset((machine.name, number) for number in numbers)
            if not block & foreign:
                blocks.append((machine, block))
    # Places that hold own guaranteed work come first: they are the likely ones.
    blocks.sort(key=lambda block: not block[1] & own)
    for group in combinations(blocks, instance.members):
        racks = {machine.rack for machine, _ in group}
        names = {machine.name for machine, _ in group}
        if instance.adjacency == "rack" and len(racks) > 1:
            continue
        if instance.adjacency == "worker" and len(names) > 1:
            continue
        place = frozenset().union(*(block for _, block in group))
        in_use = {name for name, _ in place & own}
        if all(machine.open or machine.name in in_use for machine, _ in group):
            yield place
