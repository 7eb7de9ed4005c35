"""Units of a batch job: keys, occurrences, and effect of the end of a member."""

from dataclasses import dataclass

from chicorycrank.model.batch import (
    FINAL_BATCH_STATES,
    BatchState,
    EndKind,
    Place,
    Progress,
    Step,
    Submission,
    TaskEnd,
    Unit,
    UnitState,
)
from chicorycrank.model.ids import Incarnation, JobId, TargetId, TaskId

# Place of a member whose run has ended.
NO_WORKER = Place(TargetId(""), Incarnation(""))
# The outcome of a run is DONE if any member reports it, otherwise FAILED if any member does,
# otherwise the kind that was reported first.
OUTCOMES_BY_RANK = (EndKind.DONE, EndKind.FAILED)


@dataclass(frozen=True, slots=True)
class UnitRef:
    """Reference to a unit of a job: a gang, or a task outside of gangs.

    :param index: number of the task in its step; None for a gang
    """

    job_id: JobId
    occurrence: int
    step: int
    index: int | None

    @property
    def key(self) -> str:
        """Key of the unit inside its job."""
        suffix = "" if self.index is None else f".{self.index}"
        return f"{self.occurrence}.{self.step}{suffix}"

    @property
    def name(self) -> JobId:
        """Name of the unit among all units, which the scheduling policy uses as the job id."""
        return JobId(f"{self.job_id}.{self.key}")

    @property
    def step_key(self) -> str:
        """Name of the step and occurrence among all steps."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"

    def tasks(self, step: Step) -> list[TaskId]:
        """Return the names of the unit's tasks."""
        indexes = range(step.count) if self.index is None else (self.index,)
        return [TaskId(f"{self.step_key}.{index}") for index in indexes]


@dataclass(frozen=True, slots=True)
class Member:
    """Task of a unit.

    :param place_index: index of the task in the places of the unit
    """

    ref: UnitRef
    place_index: int


def job_of(task: TaskId) -> JobId:
    """Return the job that a task belongs to."""
    return JobId(task.partition(".")[0])


def parse_unit_key(job_id: JobId, key: str) -> UnitRef:
    """Return the unit that a key refers to."""
    occurrence, step, *index = map(int, key.split("."))
    return UnitRef(job_id, occurrence, step, index[0] if index else None)


def unit_count(step: Step) -> int:
    """Return the number of units of a step in one occurrence."""
    return 1 if step.gang else step.count


def occurrence_count(submission: Submission) -> int:
    """Return how many times the steps of a job run."""
    return max(1, submission.repeat_count)


def due_at_ms(submission: Submission, occurrence: int) -> int:
    """Return the Unix time in milliseconds at which an occurrence is due."""
    if submission.repeat_count <= 0:
        return 0
    return submission.first_at_ms + occurrence * submission.interval_ms


def due_occurrences(submission: Submission, now_ms: int) -> range:
    """Return the occurrences that are due."""
    if submission.repeat_count <= 0:
        return range(1)
    if now_ms < submission.first_at_ms:
        return range(0)
    interval_ms = max(1, submission.interval_ms)
    due = (now_ms - submission.first_at_ms) // interval_ms + 1
    return range(min(submission.repeat_count, due))


def next_due_ms(submission: Submission, now_ms: int) -> int | None:
    """Return the Unix time in milliseconds of the next occurrence, or None after the last."""
    number = len(due_occurrences(submission, now_ms))
    return due_at_ms(submission, number) if number < occurrence_count(submission) else None


def begin_run(unit: Unit, places: list[Place], now_ms: int) -> None:
    """Assign a unit to workers under the next run number."""
    unit.run += 1
    unit.state = UnitState.ASSIGNED
    unit.places = places
    unit.outcome = ""
    unit.started_at_ms = now_ms


def record_end(unit: Unit, member: int, end: TaskEnd, step: Step, max_attempts: int) -> bool:
    """Record the end of one member of a unit's current run.

    :returns: true if all members of the run have ended
    """
    worker = unit.places[member].worker
    unit.places[member] = NO_WORKER
    if end.checkpoint:
        unit.checkpoint = end.checkpoint
    _record_outcome(unit, end.kind)
    if end.kind is EndKind.FAILED and worker not in unit.failed_on:
        unit.failed_on = [*unit.failed_on, worker]
    if unit.outcome == EndKind.DONE.name and not step.long_running:
        unit.state = UnitState.DONE
    if any(place != NO_WORKER for place in unit.places):
        return False
    unit.places = []
    if unit.state is UnitState.DONE:
        return True
    if unit.outcome == EndKind.FAILED.name and not step.long_running:
        unit.failures += 1
    has_failed = unit.failures >= max_attempts and not step.long_running
    unit.state = UnitState.FAILED if has_failed else UnitState.WAITING
    return True


def _record_outcome(unit: Unit, kind: EndKind) -> None:
    ranks = [rank.name for rank in OUTCOMES_BY_RANK]
    if (
        kind.name in ranks
        and (unit.outcome not in ranks or ranks.index(kind.name) < ranks.index(unit.outcome))
    ) or not unit.outcome:
        unit.outcome = kind.name


def state_of(progress: Progress) -> BatchState:
    """Return the state of a job apart from a cancellation that is not recorded yet."""
    if progress.state in FINAL_BATCH_STATES:
        return progress.state
    return BatchState.RUNNING if has_started(progress) else BatchState.QUEUED


def visible_state(state: BatchState, *, is_cancelled: bool) -> BatchState:
    """Return the state of a job that callers see."""
    if is_cancelled and state not in (BatchState.COMPLETED, BatchState.FAILED):
        return BatchState.CANCELLED
    return state


def has_started(progress: Progress) -> bool:
    """Return whether a task of the job has been assigned to a worker."""
    return bool(progress.done) or any(unit.run for unit in progress.units.values())


def failed_attempts(job_id: JobId, progress: Progress) -> str:
    """Return which task, or gang, has failed too often, for the callers of its job."""
    for key, unit in progress.units.items():
        if unit.state is UnitState.FAILED:
            ref = parse_unit_key(job_id, key)
            workers = ",".join(unit.failed_on)
            return f"task {ref.name} failed {unit.failures} times, on workers: {workers}"
    return "a task failed too often"
