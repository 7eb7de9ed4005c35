"""Runs that wait for a call to their executor, with turns for the jobs."""

from collections import deque

from chicorycrank.batch.run import Run
from chicorycrank.batch.units import job_of
from chicorycrank.model.ids import JobId


class CallQueue:
    """Queue of runs in which each job has its turn; not safe for concurrent use.

    A job with many runs would otherwise hold up the calls for all jobs that come after it. Runs
    that are to be stopped come first, as they occupy what others wait for.
    """

    def __init__(self) -> None:
        self._runs_to_stop: deque[Run] = deque()
        self._runs_by_job: dict[JobId, deque[Run]] = {}

    def add(self, run: Run) -> None:
        """Add a run behind the other runs of its job, or behind those that are to be stopped."""
        if run.should_stop:
            self._runs_to_stop.append(run)
            return
        self._runs_by_job.setdefault(job_of(run.assignment.task), deque()).append(run)

    def take(self) -> Run:
        """Remove and return the next run of the job whose turn it is.

        :raises StopIteration: no run waits
        """
        if self._runs_to_stop:
            return self._runs_to_stop.popleft()
        job_id = next(iter(self._runs_by_job))
        runs = self._runs_by_job.pop(job_id)
        run = runs.popleft()
        if runs:
            self._runs_by_job[job_id] = runs
        return run
