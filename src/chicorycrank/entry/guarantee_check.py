"""Checks that the fleet can assemble the guarantees of a release."""

from collections import Counter
from collections.abc import Iterable, Iterator

from chicorycrank.model.config import Config, ReleaseNote
from chicorycrank.model.ids import RegionId
from chicorycrank.model.messages import TargetInfo
from chicorycrank.settings.findings import Problem


def touched_regions(note: ReleaseNote) -> frozenset[RegionId]:
    """Return the regions in which a release adds or changes guarantees."""
    guarantees = [*note.added.guarantees.values(), *note.changed.guarantees.values()]
    return frozenset(guarantee.region for guarantee in guarantees)


def check_fleet(
    note: ReleaseNote, after: Config, targets: Iterable[TargetInfo]
) -> Iterator[Problem]:
    """Yield the guarantees of a release that the connected workers can't hold.

    Only the number of accelerators per region is compared. The packing check of the policy
    replaces this rule; it is called from here so that nothing else changes.

    :param after: the configuration with the release applied
    """
    accelerators: Counter[RegionId] = Counter()
    for target in targets:
        if target.worker is not None:
            accelerators[target.region] += target.worker.accelerators
    promised: Counter[RegionId] = Counter()
    for guarantee in after.guarantees.values():
        shape = guarantee.shape
        promised[guarantee.region] += guarantee.count * shape.members * shape.accelerators
    for name, section in (("added", note.added), ("changed", note.changed)):
        for identity, guarantee in section.guarantees.items():
            region = guarantee.region
            if promised[region] > accelerators[region]:
                yield Problem(
                    path=(name, "guarantees", identity),
                    text=f"all guarantees in {region} need {promised[region]} accelerators, "
                    f"but its workers have {accelerators[region]}",
                    remedy="promise less, or apply the release when more workers are connected",
                    at_key=True,
                )
