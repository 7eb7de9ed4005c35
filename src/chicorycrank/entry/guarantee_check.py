"""Check of a release's guarantees against the connected workers."""

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
    """Yield a problem for each guarantee that does not fit on the connected workers.

    All guarantees of a region are checked together. If one of an earlier release no longer fits,
    the problem is located at a guarantee of this release in the same region, which displaces it.

    :param after: the configuration with the release applied
    """
    known_targets = list(targets)
    for region in sorted(touched_regions(note)):
        workers = [_make_worker_state(t) for t in known_targets if t.worker and t.region == region]
        guarantees = {k: g for k, g in after.guarantees.items() if g.region == region}
        path_by_guarantee = {
            guarantee_id: (name, "guarantees", guarantee_id)
            for name, section in (("added", note.added), ("changed", note.changed))
            for guarantee_id, guarantee in section.guarantees.items()
            if guarantee.region == region
        }
        for finding in check_guarantees(workers, guarantees):
            guarantee_id = GuaranteeId(finding.field.removeprefix("guarantees."))
            yield Problem(
                path=path_by_guarantee.get(guarantee_id) or next(iter(path_by_guarantee.values())),
                text=f"in {region}, guarantee {guarantee_id}: {finding.message}",
                remedy="guarantee less, or apply the release when more workers are connected",
                is_at_key=True,
            )


def _make_worker_state(target: TargetInfo) -> WorkerState:
    assert target.worker is not None
    return WorkerState(
        worker=target.target,
        rack=target.worker.rack,
        zone=target.zone,
        accelerators=target.worker.accelerators,
        cores=target.worker.cores,
        memory_gb=target.worker.memory_gb,
    )
