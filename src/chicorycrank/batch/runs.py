"""Runs of tasks on one executor, as tracked by its agent."""

import logging
from collections.abc import Collection

from chicorycrank.batch.reported_runs import ReportedRuns
from chicorycrank.batch.run import Run
from chicorycrank.batch.units import job_of
from chicorycrank.model.batch import (
    Assignment,
    EndKind,
    TaskEnd,
    WorkerReport,
    WorkerState,
    WorkOrder,
)
from chicorycrank.model.ids import Incarnation, JobId, TaskId
from chicorycrank.ports.executor import ExecutorStatus, RunningTask

# A started run that the executor does not list within this time is assumed to be lost.
MISSING_TIMEOUT_S = 2.0

# Ends that the agent concluded from the end of the executor; what the executor lists replaces them.
CONCLUDED_KINDS = (EndKind.LOST, EndKind.CRASHED)

logger = logging.getLogger("absl")


class RunTable(ReportedRuns):
    """Runs of one incarnation of an executor, and the ends to report.

    :ivar other_runs_by_key: runs under another number than the order's, by task and run number;
        they have to be gone before the run of the order starts
    :ivar last_end_number: number of the last end that was read from the executor
    :ivar accepted: number of the run that is stored as accepted, by task
    """

    def __init__(self) -> None:
        super().__init__()
        self.runs_by_task: dict[TaskId, Run] = {}
        self.other_runs_by_key: dict[tuple[TaskId, int], Run] = {}
        self.order = WorkOrder(incarnation=Incarnation(""))
        self.ends: list[TaskEnd] = []
        self.last_end_number = 0
        self.accepted: dict[TaskId, int] = {}
        self._status_sent_at = float("-inf")

    def apply_order(
        self, order: WorkOrder, incarnation: Incarnation, *, may_be_present: bool = False
    ) -> None:
        """Apply an order; drop the ends that the leader has recorded.

        An order names a run until the leader has recorded its end.

        :param may_be_present: accepted runs that are not known here may have begun
        """
        self.order = order
        named = {(assignment.task, assignment.run) for assignment in order.assignments}
        self.ends = [end for end in self.ends if (end.task, end.run) in named]
        self.keep_named(named)
        self.accepted = {
            task: run
            for task, run in self.accepted.items()
            if (task, run) in named or task in self.runs_by_task
        }
        if order.incarnation == incarnation:
            for assignment in order.assignments:
                self._apply_assignment(assignment, incarnation, may_be_present=may_be_present)
        for run in self.runs_by_task.values():
            if run.key not in named:
                run.should_stop = True
        # An order without assignments, or for another incarnation, requests no start here.
        self._end_withdrawn(named if order.incarnation == incarnation else set())

    def _apply_assignment(
        self, assignment: Assignment, incarnation: Incarnation, *, may_be_present: bool
    ) -> None:
        run = self.runs_by_task.get(assignment.task)
        if run is not None and run.assignment.run != assignment.run:
            self._set_aside(run)
            run = None
        if run is not None:
            run.should_stop = run.should_stop or assignment.stop
        elif all((end.task, end.run) != (assignment.task, assignment.run) for end in self.ends):
            is_accepted = self.accepted.get(assignment.task) == assignment.run
            self.runs_by_task[assignment.task] = Run(
                assignment=assignment,
                incarnation=incarnation,
                should_stop=assignment.stop,
                is_accepted=is_accepted,
                is_adopted=is_accepted and may_be_present,
            )

    def _set_aside(self, run: Run) -> None:
        """Make room for another run of the same task, which starts once this one is gone."""
        if run.is_accepted:
            run.should_stop = True
            self.other_runs_by_key[run.key] = self.runs_by_task.pop(run.assignment.task)
        else:
            self.end_run(run, EndKind.STOPPED, "")

    def _end_withdrawn(self, named: set[tuple[TaskId, int]]) -> None:
        """End the runs that are not accepted and that the order no longer requests to start."""
        for run in list(self.runs_by_task.values()):
            is_named = (run.assignment.task, run.assignment.run) in named
            if not run.is_accepted and (run.should_stop or not is_named):
                self.end_run(run, EndKind.STOPPED, "")

    def runs_to_accept(self, *, includes_new: bool = True) -> dict[TaskId, int]:
        """Return the numbers of the runs that are accepted or have to be started.

        :param includes_new: whether runs that are not accepted yet may be accepted
        """
        run_by_task_to_accept = {
            task: run.assignment.run
            for task, run in self.runs_by_task.items()
            if run.is_accepted or (includes_new and not run.should_stop)
        }
        return {**self.accepted, **run_by_task_to_accept}

    def has_unaccepted(self, *, includes_new: bool = True) -> bool:
        """Return whether runs wait for their acceptance."""
        to_accept = self.runs_to_accept(includes_new=includes_new)
        return any(self.accepted.get(task) != run for task, run in to_accept.items())

    def unaccepted_jobs(self, *, includes_new: bool) -> list[JobId]:
        """Return the jobs of the runs that wait for their acceptance."""
        to_accept = self.runs_to_accept(includes_new=includes_new)
        return sorted(
            {job_of(task) for task, run in to_accept.items() if self.accepted.get(task) != run}
        )

    def stop_jobs(self, job_ids: Collection[JobId]) -> None:
        """Stop the runs of cancelled jobs, and end those that are not accepted."""
        for run in self.tracked_runs():
            if job_of(run.assignment.task) in job_ids:
                run.should_stop = True
                if not run.is_accepted:
                    self.end_run(run, EndKind.STOPPED, "")

    def record_accepted(self, accepted: dict[TaskId, int]) -> None:
        """Record the runs that are stored as accepted."""
        self.accepted = dict(accepted)
        for task, run in self.runs_by_task.items():
            run.is_accepted = run.is_accepted or accepted.get(task) == run.assignment.run

    def restore(self, stored: WorkerReport) -> None:
        """Restore ends and accepted runs from the last report of an earlier agent."""
        ended = {(end.task, end.run) for end in self.ends}
        self.ends += [end for end in stored.ends if (end.task, end.run) not in ended]
        self.checkpoints = {**stored.checkpoints, **self.checkpoints}
        self.accepted = {**stored.accepted, **self.accepted}

    def resume_incarnation(self, stored: WorkerReport) -> None:
        """Go on with the incarnation that the last report of an earlier agent is about."""
        self.last_end_number = max(self.last_end_number, stored.seen)

    def begin_incarnation(self) -> None:
        """Begin with an incarnation that has answered, after the runs of the last one have ended.

        Accepted runs stay until the order no longer names them.
        """
        self.clear_runs()
        self.last_end_number = 0
        self._status_sent_at = float("-inf")

    def apply_late_ends(self, status: ExecutorStatus) -> None:
        """Record the ends of runs that a new incarnation began on late orders for an earlier one.

        An end that the late order's own stop has caused says less than the end of its executor.
        """
        for numbered in status.ends:
            self.last_end_number = max(self.last_end_number, numbered.number)
            if numbered.end.kind in (EndKind.DONE, EndKind.FAILED):
                self._apply_listed_end(numbered.end)

    def withdraw_start_answers(self, status: ExecutorStatus) -> None:
        """Withdraw the answers to start calls that a later incarnation has given.

        Calls name an executor by its id only, so its next incarnation may answer them. It lists the
        ends of what it has started.

        :param status: first status of the later incarnation
        """
        started_later = {(numbered.end.task, numbered.end.run) for numbered in status.ends}
        for run in self.tracked_runs():
            if run.key in started_later and run.listed_at is None:
                run.withdraw_start_answer()

    def end_unwitnessed(self, stored: WorkerReport, *, has_crashed: bool = True) -> None:
        """End the runs of an executor that ended while the agent was not running.

        :param has_crashed: an executor that was ready has ended without notice
        """
        is_crash = has_crashed and stored.state is WorkerState.READY
        kind = EndKind.CRASHED if is_crash else EndKind.LOST
        for task, run in stored.accepted.items():
            reported_run, checkpoint = stored.checkpoints.get(task, (0, ""))
            self._add_end(
                TaskEnd(
                    task,
                    run,
                    kind,
                    checkpoint if reported_run == run else "",
                    is_witnessed=False,
                )
            )

    def end_all(self, now_s: float, *, has_crashed: bool, was_watched: bool) -> None:
        """End all runs, as nothing runs on the executor that had them.

        :param now_s: monotonic time at which the executor was found to be down
        :param has_crashed: the executor has ended without notice
        :param was_watched: the agent was running at that time
        """
        for run in self.tracked_runs():
            if not (has_crashed and run.may_be_present):
                self.end_run(run, EndKind.LOST, run.checkpoint)
                continue
            self._discard_run(*run.key)
            self._add_end(run.crash_end(now_s, was_watched=was_watched))
        for task, number in self.accepted.items():
            self._add_end(TaskEnd(task, number, EndKind.LOST))
        self.clear_runs()

    def end_unaccepted(self) -> None:
        """End the runs that have not been accepted, as their executor has ended."""
        for run in self.tracked_runs():
            if not run.is_accepted:
                self.end_run(run, EndKind.LOST, "")

    def resolve_starts(self, status: ExecutorStatus) -> None:
        """Record that no earlier start call can take effect any more.

        :param status: status under a fencing token that is higher than that of any start call
        """
        if not status.has_all_ends:
            return
        for run in self.runs_by_task.values():
            if run.started_at is None:
                run.unresolved_starts = 0
                run.first_called_at = None
                run.is_adopted = False

    def tracked_runs(self) -> list[Run]:
        """Return the runs of the order, and those that have to be gone before."""
        return [*self.runs_by_task.values(), *self.other_runs_by_key.values()]

    def needs_call(self, run: Run) -> bool:
        """Return whether a run is still tracked and needs a call now."""
        task = run.assignment.task
        if self.other_runs_by_key.get(run.key) is run:
            return run.needs_call
        is_free = run.should_stop or all(other != task for other, _ in self.other_runs_by_key)
        return self.runs_by_task.get(task) is run and run.needs_call and is_free

    def claim_runs_to_call(self) -> list[Run]:
        """Return the runs that need a call and have none active, and mark their call as active."""
        runs = [
            run for run in self.tracked_runs() if self.needs_call(run) and not run.is_call_active
        ]
        for run in runs:
            run.is_call_active = True
        return runs

    def has_room(self, run: Run, capacity: WorkerReport) -> bool:
        """Return whether the executor's capacity fits a run beside those that may be there.

        A run may be there from its first start call until its end is known, also while it stops.
        """
        present = [
            other.assignment
            for other in self.tracked_runs()
            if other is not run and other.may_be_present
        ]
        needed = [*present, run.assignment]
        return (
            sum(assignment.accelerators for assignment in needed) <= capacity.accelerators
            and sum(assignment.cores for assignment in needed) <= capacity.cores
            and sum(assignment.memory_mb for assignment in needed) <= capacity.memory_mb
        )

    def end_run(self, run: Run, kind: EndKind, checkpoint: str, detail: str = "") -> None:
        """Record that a run has ended."""
        self._discard_run(*run.key)
        self._add_end(TaskEnd(*run.key, kind, checkpoint, detail))

    def _discard_run(self, task: TaskId, number: int) -> None:
        self.other_runs_by_key.pop((task, number), None)
        run = self.runs_by_task.get(task)
        if run is not None and run.assignment.run == number:
            del self.runs_by_task[task]

    def apply_status(self, status: ExecutorStatus, sent_at: float) -> bool:
        """Apply a status of the executor, unless one that was requested later is known.

        :param sent_at: monotonic time at which the status was requested
        :returns: whether there is something new to report
        """
        if sent_at < self._status_sent_at:
            return False
        self._status_sent_at = sent_at
        runs_by_task = dict(self.runs_by_task)
        before = (list(self.ends), self.suspects, self.checkpoints, self.cleared)
        for numbered in status.ends:
            if numbered.number > self.last_end_number:
                self.last_end_number = numbered.number
                self._apply_listed_end(numbered.end)
        self._apply_running(status, sent_at)
        running = {(running_task.task, running_task.run) for running_task in status.running}
        # The end of a run that is missing may be among those that are not listed yet.
        if status.has_all_ends:
            for run in self.tracked_runs():
                if run.key not in running:
                    self._end_or_stop_missing(run, sent_at)
        self.update_reported(self.runs_by_task, sent_at)
        has_changed = before != (self.ends, self.suspects, self.checkpoints, self.cleared)
        runs_by_task |= self.runs_by_task  # with those that have just ended
        clock_s = status.clock_ms / 1000
        return self.update_rates(runs_by_task, clock_s, is_write_due=has_changed) or has_changed

    def _apply_running(self, status: ExecutorStatus, now_s: float) -> None:
        tracked_by_key = {run.key: run for run in self.tracked_runs()}
        for running_task in status.running:
            key = (running_task.task, running_task.run)
            run = tracked_by_key.get(key)
            if run is None:
                run = tracked_by_key[key] = self._track_listed_run(running_task, status.incarnation)
            run.checkpoint = running_task.checkpoint or run.checkpoint
            run.load = running_task.load
            run.is_accepted = True
            run.is_adopted = False
            run.last_listed_at = now_s
            if run.listed_at is None:
                run.listed_at = now_s
            if run.first_called_at is None:
                run.first_called_at, run.is_age_unknown = now_s, True
            if run.started_at is None:
                run.started_at = now_s
            run.record_progress(running_task.percent, now_s, status.clock_ms / 1000)

    def _track_listed_run(self, running_task: RunningTask, incarnation: Incarnation) -> Run:
        """Track a run that the executor lists.

        It goes on only if the order names it and its end has not been reported.
        """
        task, number = running_task.task, running_task.run
        assignment = next(
            (a for a in self.order.assignments if (a.task, a.run) == (task, number)), None
        )
        has_ended = any((end.task, end.run) == (task, number) for end in self.ends)
        logger.info(
            "event=untracked_run_listed task=%s run=%d in_order=%s has_ended=%s",
            task,
            number,
            assignment is not None,
            has_ended,
        )
        run = Run(
            assignment=assignment or Assignment(task=task, run=number),
            incarnation=incarnation,
            should_stop=assignment is None or assignment.stop or has_ended,
            is_named=assignment is not None,
        )
        if task in self.runs_by_task:
            run.should_stop = True
            self.other_runs_by_key[run.key] = run
        else:
            self.runs_by_task[task] = run
        return run

    def _end_or_stop_missing(self, run: Run, sent_at: float) -> None:
        """End a run that the executor does not list and that cannot start any more.

        A started run that stays unlisted for too long is stopped first.
        """
        if run.starts_rejected_since is not None and run.starts_rejected_since < sent_at:
            kind = EndKind.REJECTED if run.rejection_reason else EndKind.STOPPED
            self.end_run(run, kind, run.checkpoint, run.rejection_reason)
        elif run.started_at is not None and run.started_at + MISSING_TIMEOUT_S < sent_at:
            run.should_stop = True

    def _add_end(self, end: TaskEnd) -> None:
        if not any(recorded.task == end.task and recorded.run == end.run for recorded in self.ends):
            self.ends.append(end)

    def _apply_listed_end(self, end: TaskEnd) -> None:
        """Add an end that the executor lists, in place of one that was concluded."""
        self._discard_run(end.task, end.run)
        self.ends = [
            recorded
            for recorded in self.ends
            if (recorded.task, recorded.run) != (end.task, end.run)
            or recorded.kind not in CONCLUDED_KINDS
        ]
        self._add_end(end)
        run = self.runs_by_task.get(end.task)
        if end.kind is EndKind.DONE and run is not None and not run.may_be_present:
            # The work of the task is done under another run number.
            self.end_run(run, EndKind.DONE, "")
