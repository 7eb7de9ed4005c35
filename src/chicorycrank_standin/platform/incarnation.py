"""State of one incarnation of the stand-in of an executor."""

import json
import time
from collections.abc import Callable
from typing import Any

from chicorycrank_standin.platform.run_recorder import RunRecord, RunRecorder

GANG_TIMEOUT_S = 3.0  # a run ends as ``alone`` if its gang is incomplete for this time
MAX_LEASE_MS = 10_000
MAX_LISTED_ENDS = 500
# Rate of the executor's clock relative to real time: the slowest that the protocol allows.
CLOCK_RATE = 0.98
LATE_S = 0.25  # an order that is executed this long after its arrival is late


def zone_of(executor: str) -> str:
    """Return the zone of an executor; each has one of its own."""
    return f"zone-of-{executor}"


class Incarnation:
    """Runs, ends, lease, fencing token and clock of an executor from a start to its end.

    It knows nothing of earlier incarnations. The caller serializes the calls.

    :param instance: id of the executor, which may be that of the incarnation before
    :param executor: name of the executor in the records of runs
    :param agent: name of its agent in the records of runs
    :param wall_s: returns the wall-clock time in seconds; the recorder has the monotonic clock
    :ivar runs: runs by task and number
    :ivar fencing_token: the highest that was seen
    :ivar exits_at: monotonic time at which the draining executor exits; None if it is ready
    :ivar draining_since: monotonic time at which the agent has acknowledged that the executor
        drains; None before it
    """

    def __init__(
        self,
        instance: str,
        executor: str,
        agent: str,
        run_recorder: RunRecorder,
        *,
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        self.instance = instance
        self.born_ms = round(wall_s() * 1000)
        self.fencing_token = 0
        self.runs: dict[tuple[str, int], RunRecord] = {}
        self.heartbeat_number = 0
        self.exits_at: float | None = None
        self.down_s_after_exit = 0.0
        self.draining_since: float | None = None
        # Each end is a list of its sequence number, task, run, kind and checkpoint.
        self.unacknowledged_ends: list[list[Any]] = []
        self._executor = executor
        self._agent = agent
        self._run_recorder = run_recorder
        self._now_s = run_recorder.clock
        self._clock_started_at = self._now_s()
        self._clock_stopped_at: float | None = None
        self._lease_deadline_ms = 0
        self._lapsed_at = float("-inf")
        self._stops_at: dict[tuple[str, int], float] = {}
        # Runs up to this number have ended or been stopped, so a late start order is rejected.
        self._last_closed_run_by_task: dict[str, int] = {}
        self._ended_run_by_number: dict[int, RunRecord] = {}
        self._last_end_number = 0

    def clock_ms(self) -> int:
        """Return the reading of the executor's clock."""
        now_s = self._now_s() if self._clock_stopped_at is None else self._clock_stopped_at
        return round((now_s - self._clock_started_at) * 1000 * CLOCK_RATE)

    def heartbeat_fields(self, address: str, accelerators: int) -> dict[str, Any]:
        """Return the fields of a heartbeat."""
        fields = {
            "service": "service",
            "address": address,
            "zone": zone_of(self._executor),
            "state": "ready" if self.exits_at is None else "draining",
            "seq": self.heartbeat_number,
            "born": self.born_ms,
            "clockMs": self.clock_ms(),
            "labels": ["a", "r1"],
            "capacity": {"cpu": 64000, "memMb": 256000, "gpus": accelerators},
        }
        if self.exits_at is not None:
            fields["remainingMs"] = max(0, round((self.exits_at - self._now_s()) * 1000))
        return fields

    def stop_clock(self) -> None:
        """Let the clock stand still until :meth:`record_freeze` is called."""
        self._clock_stopped_at = self._now_s()

    def record_freeze(self, frozen_s: float, *, stops_clock: bool) -> None:
        """Put the ends of the runs off by the time in which they did not work."""
        if stops_clock:
            self._clock_started_at += frozen_s
            self._clock_stopped_at = None
        for record in self.runs.values():
            if record.ends_at is not None:
                record.ends_at += frozen_s

    def find_refusal(self, order: dict[str, Any]) -> str:
        """Return why a start is refused, or an empty string; the lease is extended in both cases.

        PROTOCOL.md, "Running tasks": a start that is rejected as ``old`` extends the lease as well.
        """
        is_old = order["run"] <= self._last_closed_run_by_task.get(order["task"], 0)
        if not is_old and order["deadlineMs"] <= self.clock_ms():
            return "late"
        self.extend_lease(order["deadlineMs"])
        return "old" if is_old else ""

    def start(self, order: dict[str, Any], arrived_at: float) -> RunRecord:
        """Start a run.

        :param arrived_at: monotonic time at which the order arrived
        """
        payload = json.loads(order["spec"])
        now = self._now_s()
        record = RunRecord(
            task=order["task"],
            run=order["run"],
            executor=self._executor,
            duration_s=payload["seconds"],
            members=payload["members"],
            accelerators=payload["accelerators"],
            started_at=now,
            agent=self._agent,
            ordered_at=arrived_at,
            is_late=now - arrived_at > LATE_S,
            draining_since=self.draining_since,
        )
        self.runs[record.task, record.run] = record
        self._run_recorder.record_start(record)
        return record

    def stop(self, task: str, run: int, stops_at: float) -> None:
        """Stop a run and all earlier runs of the task, and reject their starts from now on.

        :param stops_at: monotonic time at which the end is listed
        """
        self._last_closed_run_by_task[task] = max(run, self._last_closed_run_by_task.get(task, 0))
        for key in self.runs:
            if key[0] == task and key[1] <= run:
                self._stops_at.setdefault(key, stops_at)

    def extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease of all runs; it is never shortened."""
        if self.clock_ms() > self._lease_deadline_ms:
            self._lapsed_at = self._now_s()
        latest_ms = self.clock_ms() + MAX_LEASE_MS
        self._lease_deadline_ms = max(self._lease_deadline_ms, min(deadline_ms, latest_ms))

    def acknowledge_ends(self, last_seen: int) -> None:
        """Forget ends; those before the last lapse of the lease don't count as acknowledged."""
        for number, *_ in self.unacknowledged_ends:
            record = self._ended_run_by_number[number]
            if number <= last_seen and (record.ended_at or 0.0) > self._lapsed_at:
                self._run_recorder.record_acknowledged_end(record)
        self.unacknowledged_ends = [end for end in self.unacknowledged_ends if end[0] > last_seen]

    def status(self) -> dict[str, Any]:
        """Return runs and ends, as the executor lists them."""
        # Task, run, no checkpoint, and a progress of 50 percent.
        return {
            "clockMs": self.clock_ms(),
            "born": self.born_ms,
            "running": [[task, run, "", 50] for task, run in self.runs],
            "finished": self.unacknowledged_ends[:MAX_LISTED_ENDS],
        }

    def lapse_if_due(self) -> None:
        """End all runs if the lease has expired."""
        if self.runs and self.clock_ms() > self._lease_deadline_ms:
            self._lapsed_at = self._now_s()
            for record in list(self.runs.values()):
                self._end(record, "lapsed")

    def end_due_runs(self) -> None:
        """End the runs whose work is done, that were stopped or whose gang is incomplete."""
        now = self._now_s()
        for key, record in list(self.runs.items()):
            if key in self._stops_at:
                if now >= self._stops_at[key]:
                    self._end(record, "stopped")
            elif record.ends_at is not None and now >= record.ends_at:
                self._end(record, "done")
            elif record.ends_at is None and now - record.started_at > GANG_TIMEOUT_S:
                self._end(record, "alone")

    def _end(self, record: RunRecord, kind: str) -> None:
        del self.runs[record.task, record.run]
        self._stops_at.pop((record.task, record.run), None)
        self._run_recorder.record_end(record, kind)
        self._last_closed_run_by_task[record.task] = max(
            record.run, self._last_closed_run_by_task.get(record.task, 0)
        )
        self._last_end_number += 1
        self._ended_run_by_number[self._last_end_number] = record
        self.unacknowledged_ends.append([self._last_end_number, record.task, record.run, kind, ""])

    def break_gang(self, task: str, run: int) -> None:
        """End the members of a complete gang here, as another member has ended.

        PROTOCOL.md, "Running tasks": the tasks of a gang work only together.

        :param task: task of the member that has ended
        """
        step = task.rpartition(".")[0]
        for record in list(self.runs.values()):
            is_member = record.task.rpartition(".")[0] == step and record.run == run
            if is_member and record.ends_at is not None:
                self._end(record, "broken")

    def end_all(self, kind: str) -> None:
        """End all runs together with the incarnation."""
        for record in self.runs.values():
            self._run_recorder.record_end(record, kind)
        self.runs.clear()
