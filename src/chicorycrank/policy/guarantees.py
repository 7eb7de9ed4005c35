"""Homes of guaranteed shapes, and which jobs run inside them.

Homes are disjoint and hold only free accelerators, borrowed work and guaranteed work of their
own team. As long as every instance has a home, all guaranteed shapes can be assembled at the
same time by evicting borrowed work only.
"""

from collections.abc import Iterable, Mapping

from chicorycrank.model.config import Guarantee
from chicorycrank.model.ids import GuaranteeId, JobId, TargetId, TeamId
from chicorycrank.model.jobs import Adjacency, GangShape
from chicorycrank.policy.home import Home, HomeKey, covers, fit_home
from chicorycrank.policy.packing import blocks
from chicorycrank.policy.placement import find_spots, fit_group
from chicorycrank.policy.pool import Pool, Spot, Spots


class Homes:
    """All homes of a cell and the accelerators outside them."""

    def __init__(self) -> None:
        self.pool = Pool()
        self.homes_by_key: dict[HomeKey, Home] = {}
        self.homes_by_team: dict[TeamId, list[Home]] = {}
        self.home_by_job: dict[JobId, Home] = {}
        self.keys_by_worker: dict[TargetId, dict[HomeKey, None]] = {}
        self.full_by_worker: dict[TargetId, tuple[int, int, int]] = {}
        self.journal: list[tuple[Home, Spots | None, tuple[tuple[int, int], ...]]] = []
        self.needs_settling = False
        self.missing = 0
        self.avoided: Spots = ()  # homes are placed elsewhere if that is possible
        self._fitting: dict[TeamId, dict[GangShape, list[Home]]] = {}

    def fitting(self, team: TeamId, shape: GangShape) -> list[Home]:
        """Return a team's homes with room for a gang, those in use first.

        The answer is kept until a home of the team or a worker changes.
        """
        by_shape = self._fitting.setdefault(team, {})
        if shape not in by_shape:
            found = []
            for home in self.homes_by_team.get(team, []):
                if shape not in home.has_room_by_shape:
                    fits = fit_home(home, shape, None, self.pool) is not None
                    home.has_room_by_shape[shape] = fits
                if home.has_room_by_shape[shape]:
                    found.append(home)
            by_shape[shape] = sorted(found, key=lambda home: (not home.jobs, home.key))
        return by_shape[shape]

    def forget_fitting(self, worker: TargetId) -> None:
        """Forget which homes have room, after a worker opened or closed."""
        for key in self.keys_by_worker.get(worker, {}):
            self._forget(self.homes_by_key[key])

    def _forget(self, home: Home) -> None:
        home.has_room_by_shape.clear()
        self._fitting.pop(home.team, None)

    def set_guarantees(self, guarantees: Mapping[GuaranteeId, Guarantee]) -> list[JobId]:
        """Put guarantees in force.

        :returns: jobs whose home is gone
        """
        wanted = {
            (key, index): guarantee
            for key, guarantee in guarantees.items()
            for index in range(guarantee.count)
        }
        homeless: list[JobId] = []
        for key, home in list(self.homes_by_key.items()):
            new = wanted.get(key)
            if new is None or (new.team, new.shape) != (home.team, home.shape):
                homeless += home.jobs
                for job_id in home.jobs:
                    del self.home_by_job[job_id]
                self.move(home, None)
                del self.homes_by_key[key]
        for key, guarantee in wanted.items():
            if key not in self.homes_by_key:
                self.homes_by_key[key] = Home(key=key, team=guarantee.team, shape=guarantee.shape)
        self.homes_by_team = {}
        self._fitting.clear()
        for key in sorted(self.homes_by_key):
            home = self.homes_by_key[key]
            self.homes_by_team.setdefault(home.team, []).append(home)
        self.needs_settling = True
        return homeless

    def unplaced(self) -> list[Home]:
        """Return the homes without a place."""
        return [home for home in self.homes_by_key.values() if home.spots is None]

    def settle(self) -> None:
        """Place homes without a place; move idle homes if that helps."""
        if not self.needs_settling:
            return
        self.needs_settling = False
        unplaced = self.unplaced()
        self._place_all(unplaced)
        self.missing = sum(home.spots is None for home in unplaced)
        if not self.missing:
            return
        idle = [home for home in self.homes_by_key.values() if not home.jobs]
        before = [(home, home.spots, home.shares) for home in idle]
        self._repack(idle)
        after = sum(home.spots is None for home in idle)
        if after < self.missing:
            self.missing = after
        else:
            self._restore(before)

    def avoid(self, spots: Spots) -> None:
        """Move idle homes off accelerators that are reserved, as far as possible."""
        if set(spots) == set(self.avoided):
            return
        self.avoided = spots
        for home in self._overlapping(spots):
            if not home.jobs:
                before = home.spots
                self.move(home, None)
                self.move(home, self._find_place(home.shape) or before)

    def _find_place(self, shape: GangShape) -> Spots | None:
        kept = [
            (worker, self.pool.masks[worker] & mask)
            for worker, mask in self.avoided
            if worker in self.pool.masks
        ]
        for worker, mask in kept:
            self.pool.take(worker, mask)
        spots = find_spots(self.pool, shape)
        for worker, mask in kept:
            self.pool.give(worker, mask)
        return spots or (find_spots(self.pool, shape) if kept else None)

    def move(self, home: Home, spots: Spots | None) -> None:
        """Move a home, or take its place away."""
        self.journal.append((home, home.spots, home.shares))
        self._vacate(home)
        if spots is not None:
            self._occupy(home, spots, self._shares(home.shape, spots))

    def undo_moves(self) -> None:
        """Put homes back to where they were when the journal was cleared."""
        first: dict[HomeKey, tuple[Home, Spots | None, tuple[tuple[int, int], ...]]] = {}
        for entry in self.journal:
            first.setdefault(entry[0].key, entry)
        self._restore(list(first.values()))
        self.journal.clear()

    def attach(self, home: Home, job_id: JobId, spots: Spots, shape: GangShape) -> None:
        """Count a job as running inside a home."""
        home.jobs[job_id] = (spots, shape)
        self._forget(home)
        self.home_by_job[job_id] = home

    def detach(self, job_id: JobId) -> list[JobId]:
        """Stop counting a job as running inside a home.

        :returns: other jobs whose home moves away with it
        """
        home = self.home_by_job.pop(job_id, None)
        if home is None:
            return []
        del home.jobs[job_id]
        self._forget(home)
        self.needs_settling |= self.missing > 0
        return self._leave_closed(home)

    def bind(self, team: TeamId, job_id: JobId, spots: Spots, shape: GangShape) -> bool:
        """Count a job as guaranteed; move homes if no home of its team is at its place.

        :returns: false if no instance is left, or homes in the way have no other place
        """
        homes = self.homes_by_team.get(team, [])
        for home in homes:
            if home.spots is not None and covers(home, spots, shape):
                self.attach(home, job_id, spots, shape)
                return True
        tried: set[GangShape] = set()
        for home in homes:
            if not home.jobs and home.shape not in tried:
                tried.add(home.shape)
                if self._bring(home, spots, shape):
                    self.attach(home, job_id, spots, shape)
                    return True
        return False

    def free_worker(self, worker: TargetId, *, lost: bool = False) -> list[JobId]:
        """Move homes off a closed worker, but for homes whose jobs still run there.

        :param lost: jobs on the worker do not run on, so all homes move
        :returns: jobs whose home moved away
        """
        homeless: list[JobId] = []
        for key in list(self.keys_by_worker.get(worker, {})):
            homeless += self._leave_closed(self.homes_by_key[key], lost=lost)
        return homeless

    def _leave_closed(self, home: Home, *, lost: bool = False) -> list[JobId]:
        closed = {worker for worker, _ in home.spots or () if not self.pool.is_open(worker)}
        if not lost:
            closed -= {worker for spots, _ in home.jobs.values() for worker, _ in spots}
        if not closed:
            return []
        homeless = list(home.jobs)
        for job_id in homeless:
            del self.home_by_job[job_id]
        home.jobs.clear()
        self.move(home, None)
        self.needs_settling = True
        return homeless

    def _bring(self, home: Home, spots: Spots, shape: GangShape) -> bool:
        """Move an idle home onto the place of a job; homes in the way move elsewhere."""
        start = len(self.journal)
        self.move(home, None)
        masks: dict[TargetId, int] = {}
        for worker, mask in spots:
            masks[worker] = masks.get(worker, 0) | mask
        target = self._around(home.shape, masks)
        if target is not None:
            in_way = self._overlapping(target)
            if not any(other.jobs for other in in_way):
                for other in in_way:
                    self.move(other, None)
                if self._has_room(home.shape, target):
                    self.move(home, target)
                    if covers(home, spots, shape):
                        self._place_all(in_way)
                        if all(other.spots is not None for other in in_way):
                            return True
        self._restore(list(reversed(self.journal[start:])), one_by_one=True)
        del self.journal[start:]
        return False

    def _around(self, shape: GangShape, masks: dict[TargetId, int]) -> Spots | None:
        """Return spots of a shape that contain given accelerators."""
        spots: list[Spot] = []
        for worker, mask in masks.items():
            if worker not in self.full_by_worker:
                return None
            for block in blocks(self.full_by_worker[worker][0], shape.accelerators):
                if block & mask:
                    spots.append((worker, block))
                    mask &= ~block
            if mask:
                return None
        racks = {self.pool.rack_by_worker[worker] for worker in masks}
        if shape.adjacency is Adjacency.WORKER and shape.members > 1 and len(masks) > 1:
            return None
        if shape.adjacency is Adjacency.RACK and shape.members > 1 and len(racks) > 1:
            return None
        rest = shape.members - len(spots)
        if rest <= 0:
            return tuple(spots) if rest == 0 else None
        taken = dict.fromkeys(masks, 0)
        for worker, block in spots:
            taken[worker] |= block
        near = (
            list(masks)
            if shape.adjacency is Adjacency.WORKER
            else [worker for rack in sorted(racks) for worker in self.pool.workers_by_rack[rack]]
        )
        candidates = [
            (worker, self.pool.masks[worker] & ~taken.get(worker, 0))
            for worker in near
            if self.pool.is_open(worker)
        ]
        found = fit_group(candidates, shape, lambda worker: shape.members)
        if found is None:
            return None
        return tuple(spots) + found[0][:rest]

    def _overlapping(self, spots: Spots) -> list[Home]:
        found: dict[HomeKey, Home] = {}
        for worker, mask in spots:
            for key in self.keys_by_worker.get(worker, {}):
                home = self.homes_by_key[key]
                if any(w == worker and m & mask for w, m in home.spots or ()):
                    found[key] = home
        return list(found.values())

    def _has_room(self, shape: GangShape, spots: Spots) -> bool:
        count: dict[TargetId, int] = {}
        for worker, mask in spots:
            if not self.pool.is_open(worker) or self.pool.masks[worker] & mask != mask:
                return False
            count[worker] = count.get(worker, 0) + 1
        return all(
            self.pool.cores[worker] >= members * shape.cores
            and self.pool.memory_gb[worker] >= members * shape.memory_gb
            for worker, members in count.items()
        )

    def _place_all(self, homes: Iterable[Home]) -> None:
        """Place homes, the largest and least divisible first."""
        failed: set[GangShape] = set()
        for home in sorted(homes, key=_packing_order):
            if home.shape not in failed:
                spots = self._find_place(home.shape)
                if spots is None:
                    failed.add(home.shape)
                else:
                    self.move(home, spots)

    def _repack(self, idle: list[Home]) -> None:
        for home in idle:
            self.move(home, None)
        self._place_all(idle)

    def _restore(
        self,
        entries: list[tuple[Home, Spots | None, tuple[tuple[int, int], ...]]],
        *,
        one_by_one: bool = False,
    ) -> None:
        if not one_by_one:
            for home, _, _ in entries:
                self._vacate(home)
        for home, spots, shares in entries:
            self._vacate(home)
            if spots is not None:
                self._occupy(home, spots, shares)

    def _shares(self, shape: GangShape, spots: Spots) -> tuple[tuple[int, int], ...]:
        """Return the declared cores and memory; by default in proportion to the accelerators."""
        shares = []
        left: dict[TargetId, list[int]] = {}
        for worker, _ in spots:
            full, cores, memory_gb = self.full_by_worker[worker]
            room = left.setdefault(worker, [self.pool.cores[worker], self.pool.memory_gb[worker]])
            part = shape.accelerators / full.bit_count()
            share = (
                shape.cores or max(0, min(int(cores * part), room[0])),
                shape.memory_gb or max(0, min(int(memory_gb * part), room[1])),
            )
            room[0] -= share[0]
            room[1] -= share[1]
            shares.append(share)
        return tuple(shares)

    def _occupy(self, home: Home, spots: Spots, shares: tuple[tuple[int, int], ...]) -> None:
        home.spots, home.shares = spots, shares
        self._forget(home)
        for (worker, mask), (cores, memory_gb) in zip(spots, shares, strict=True):
            self.pool.take(worker, mask, cores, memory_gb)
            self.keys_by_worker.setdefault(worker, {})[home.key] = None

    def _vacate(self, home: Home) -> None:
        for (worker, mask), (cores, memory_gb) in zip(home.spots or (), home.shares, strict=True):
            if worker in self.pool.masks:
                self.pool.give(worker, mask, cores, memory_gb)
            self.keys_by_worker.get(worker, {}).pop(home.key, None)
        home.spots, home.shares = None, ()
        self._forget(home)


def _packing_order(home: Home) -> tuple[int, int, bool, HomeKey]:
    shape = home.shape
    spread = shape.members > 1 and shape.adjacency is Adjacency.ANY
    return -shape.accelerators, -shape.members, spread, home.key
