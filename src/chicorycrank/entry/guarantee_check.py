"""Checks that the fleet can assemble the guarantees of a release."""

from collections.abc import Iterable, Iterator

from chicorycrank.model.config import Config, ReleaseNote
from chicorycrank.model.ids import GuaranteeId, RegionId
from chicorycrank.model.messages import TargetInfo
from chicorycrank.policy.admission import check_guarantees
from chicorycrank.policy.cell import WorkerState
from chicorycrank.settings.findings import Problem


def touched_regions(note: ReleaseNote) -> frozenset[RegionId]:
    """Return the regions in which a release adds or changes guarantees."""
    guarantees = [*note.added.guarantees.values(), *note.changed.guarantees.values()]
    return frozenset(guarantee.region for guarantee in guarantees)


def check_fleet(
    note: ReleaseNote, after: Config, targets: Iterable[TargetInfo]
) -> Iterator[Problem]:
    """Yield the guarantees that the connected workers can't hold together after a release.

    A guarantee of an earlier release that no longer fits is reported at the release's own
    guarantees of the region, since these displace it.

    :param after: the configuration with the release applied
    """
    known = list(targets)
    for region in sorted(touched_regions(note)):
        workers = [_make_worker(t) for t in known if t.worker and t.region == region]
        guarantees = {k: g for k, g in after.guarantees.items() if g.region == region}
        own = {
            identity: (name, "guarantees", identity)
            for name, section in (("added", note.added), ("changed", note.changed))
            for identity, guarantee in section.guarantees.items()
            if guarantee.region == region
        }
        for finding in check_guarantees(workers, guarantees):
            identity = GuaranteeId(finding.field.removeprefix("guarantees."))
            yield Problem(
                path=own.get(identity) or next(iter(own.values())),
                text=f"in {region}, guarantee {identity}: {finding.message}",
                remedy="promise less, or apply the release when more workers are connected",
                at_key=True,
            )


def _make_worker(target: TargetInfo) -> WorkerState:
    assert target.worker is not None
    return WorkerState(
        worker=target.target,
        rack=target.worker.rack,
        zone=target.zone,
        accelerators=target.worker.accelerators,
        cores=target.worker.cores,
        memory_gb=target.worker.memory_gb,
    )
