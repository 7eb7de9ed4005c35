"""Units of one job by state: done, placed on workers, or free to start."""

from collections import Counter
from collections.abc import Iterator, Mapping

from chicorycrank.batch.number_ranges import add_number, first_missing
from chicorycrank.batch.orders import assignment_bytes
from chicorycrank.batch.units import (
    UnitRef,
    due_occurrences,
    occurrence_count,
    parse_unit_key,
    unit_count,
)
from chicorycrank.model.batch import Progress, Submission, Unit, UnitState
from chicorycrank.model.ids import TargetId

NO_UNITS: Mapping[UnitRef, Unit] = {}


class JobUnits:
    """Units of a job, kept up to date as they change.

    The units are numbered through all steps and occurrences, and the done ones are kept as ranges
    of numbers. Memory and time grow with the units that have begun and are not done, and not with
    the tasks or occurrences of the job.

    :param progress: progress of the job; its done units are added to :attr:`Progress.done`, and
        their records can be removed by :meth:`discard_done`
    :ivar total_done: number of the done units
    :ivar assignment_bytes: largest size of the assignment of a task
    :ivar runs_by_worker: number of runs on each worker; those of a gang count until all have ended
    """

    def __init__(self, job: Submission, progress: Progress) -> None:
        self._job = job
        self._progress = progress
        self.assignment_bytes = assignment_bytes(job)
        self._step_starts = [0]
        for step in job.steps:
            self._step_starts.append(self._step_starts[-1] + unit_count(step))
        self._width = self._step_starts[-1]
        self._placed_by_step: dict[tuple[int, int], dict[UnitRef, Unit]] = {}
        self._workers_by_unit: dict[UnitRef, list[TargetId]] = {}
        self.runs_by_worker: Counter[TargetId] = Counter()
        self._discardable: list[UnitRef] = []
        self._done_count_by_step = [self._count_done(number) for number in range(len(job.steps))]
        self.total_done = sum(self._done_count_by_step)
        for key, unit in progress.units.items():
            ref = parse_unit_key(job.job_id, key)
            if unit.places:
                self.record_places(ref, unit)
            if unit.state is UnitState.DONE:
                self.record_done(ref)

    # Changes.

    def record_places(self, ref: UnitRef, unit: Unit) -> None:
        """Record that a unit has places on workers, or none any more."""
        step = ref.occurrence, ref.step
        self.runs_by_worker.subtract(self._workers_by_unit.pop(ref, ()))
        if unit.places:
            workers = [place.worker for place in unit.places if place.worker]
            self._workers_by_unit[ref] = workers
            self.runs_by_worker.update(workers)
            self._placed_by_step.setdefault(step, {})[ref] = unit
            return
        placed = self._placed_by_step.get(step, {})
        placed.pop(ref, None)
        if not placed:
            self._placed_by_step.pop(step, None)

    def record_done(self, ref: UnitRef) -> None:
        """Record that a unit is done, once or repeatedly."""
        number = self._number(ref)
        if first_missing(self._progress.done, number) == number:
            add_number(self._progress.done, number)
            self._done_count_by_step[ref.step] += 1
            self.total_done += 1
        self._discardable.append(ref)

    def discard_done(self) -> None:
        """Remove the records of done units that have no places and are in no doubt."""
        kept = []
        for ref in self._discardable:
            unit = self._progress.units.get(ref.key)
            if unit is not None and (unit.places or unit.crashes):
                kept.append(ref)
            else:
                self._progress.units.pop(ref.key, None)
        self._discardable = kept

    # State.

    @property
    def is_complete(self) -> bool:
        """Whether all tasks of all occurrences have ended as done."""
        end = occurrence_count(self._job) * self._width
        return first_missing(self._progress.done, 0) >= end

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step have ended as done."""
        start, end = self._numbers(occurrence, step)
        return first_missing(self._progress.done, start) >= end

    def done_count(self, step: int) -> int:
        """Return how many units of a step are done, in all occurrences."""
        return self._done_count_by_step[step]

    def placed(self, occurrence: int, step: int) -> Mapping[UnitRef, Unit]:
        """Return the units of a step that have places on workers."""
        return self._placed_by_step.get((occurrence, step), NO_UNITS)

    def waiting(self, now_ms: int, max_new: int) -> Iterator[UnitRef]:
        """Yield the units that may start now.

        Units of a step that have never started are equal, so some of them stand for all.

        :param now_ms: Unix time in milliseconds
        :param max_new: limit of the units of each step that have never started
        """
        due_count = len(due_occurrences(self._job, now_ms))
        last_begun = self._last_done_occurrence()
        for key, unit in self._progress.units.items():
            ref = parse_unit_key(self._job.job_id, key)
            last_begun = max(last_begun, ref.occurrence)
            is_waiting = unit.state is UnitState.WAITING and not unit.places
            if (
                is_waiting
                and ref.occurrence < due_count
                and self._may_run(ref.occurrence, ref.step)
            ):
                yield ref
        yield from self._new_units(due_count, last_begun, max_new)

    def _new_units(self, due_count: int, last_begun: int, max_new: int) -> Iterator[UnitRef]:
        """Yield units that have never started.

        :param last_begun: last occurrence of which a unit has begun; in later ones, no step that
            waits for others may run
        """
        numbers = range(len(self._job.steps))
        first_steps = [number for number in numbers if not self._job.steps[number].after]
        remaining = dict.fromkeys(numbers, max_new)
        occurrence = self._next_open_occurrence(0)
        while occurrence < due_count:
            is_new = occurrence > last_begun
            if is_new and not any(remaining[number] for number in first_steps):
                return
            for number in first_steps if is_new else numbers:
                if remaining[number] and self._may_run(occurrence, number):
                    for ref in self._new_units_of_step(occurrence, number, remaining[number]):
                        remaining[number] -= 1
                        yield ref
            occurrence = self._next_open_occurrence(occurrence + 1)

    def _new_units_of_step(self, occurrence: int, step: int, most: int) -> Iterator[UnitRef]:
        start, end = self._numbers(occurrence, step)
        number = first_missing(self._progress.done, start)
        while number < end and most:
            index = None if self._job.steps[step].gang else number - start
            ref = UnitRef(self._job.job_id, occurrence, step, index)
            if ref.key not in self._progress.units:
                yield ref
                most -= 1
            number = first_missing(self._progress.done, number + 1)

    def _may_run(self, occurrence: int, step: int) -> bool:
        return all(
            self.is_step_done(occurrence, other) for other in self._job.steps[step].after
        ) and not self.is_step_done(occurrence, step)

    def _next_open_occurrence(self, occurrence: int) -> int:
        return first_missing(self._progress.done, occurrence * self._width) // self._width

    def _last_done_occurrence(self) -> int:
        done = self._progress.done
        return (done[-1][1] - 1) // self._width if done else -1

    def _numbers(self, occurrence: int, step: int) -> tuple[int, int]:
        """Return the number of the first unit of a step, and that after its last."""
        first = occurrence * self._width
        return first + self._step_starts[step], first + self._step_starts[step + 1]

    def _number(self, ref: UnitRef) -> int:
        return self._numbers(ref.occurrence, ref.step)[0] + (ref.index or 0)

    def _count_done(self, step: int) -> int:
        start, end = self._numbers(0, step)

        def count_before(number: int) -> int:
            occurrence, offset = divmod(number, self._width)
            return occurrence * (end - start) + min(max(0, offset - start), end - start)

        return sum(count_before(last) - count_before(first) for first, last in self._progress.done)
