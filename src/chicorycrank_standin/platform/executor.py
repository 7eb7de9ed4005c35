"""Stand-in for an executor of the external platform, which sends heartbeats to its agent."""

import json
import random
import threading
import time
from http import HTTPStatus
from typing import Any

import urllib3

from chicorycrank_standin.background import start_daemon_thread
from chicorycrank_standin.forwarder import Forwarder
from chicorycrank_standin.http import Handler, HttpRequest, HttpResponse, json_response
from chicorycrank_standin.platform.run_recorder import RunRecord, RunRecorder

RUN_CHECK_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 1.5
HEARTBEAT_RETRY_DELAY_S = 0.2  # after a heartbeat that was not acknowledged
GANG_TIMEOUT_S = 3.0  # a run ends as ``alone`` if its gang is incomplete for this time
MAX_LEASE_MS = 10_000
# Rate of the executor's clock relative to real time: the slowest that the protocol allows.
CLOCK_RATE = 0.98
START_DELAY_RANGE_S = (2.0, 6.0)  # of start orders while ``is_delaying_starts`` is set
DOWN_RANGE_S = (1.0, 3.0)  # time until an executor that a task has crashed is back
# A smaller capacity counts once the agent must know of it.
CAPACITY_NOTICE_S = 4.0 + HEARTBEAT_INTERVAL_S


class BatchExecutorStandIn:
    """Executor that runs each task for the number of seconds in its payload.

    A task whose payload says that it crashes takes the executor down; it is back after some seconds
    as a new incarnation. The executor starts tasks beyond its capacity and reports a violation.

    :param agent_address: ``host:port`` of the agent
    :ivar is_delaying_starts: half of the start orders get no complete response and are applied
        seconds later
    :ivar is_up: the present incarnation runs
    :ivar heartbeats_acknowledged: number of heartbeats that the agent has acknowledged
    :ivar draining_acknowledged_at: monotonic time at which the agent has acknowledged that the
        executor drains; infinity before it
    :ivar link: forwarder through which the agent calls; it is closed while the executor is down
    """

    def __init__(
        self,
        name: str,
        agent_address: str,
        run_recorder: RunRecorder,
        rng: random.Random,
        *,
        accelerators: int,
    ) -> None:
        self.name = name
        self.is_delaying_starts = False
        self._agent_address = agent_address
        self.run_recorder = run_recorder
        self._rng = rng
        self._accelerators = accelerators
        self._full_accelerators = accelerators
        # The capacity that starts are checked against, and the time until which it is.
        self._earlier_capacity = (accelerators, float("-inf"))
        self.link: Forwarder | None = None
        self._condition = threading.Condition()
        self.heartbeats_acknowledged = 0
        self._heartbeat_due = threading.Event()
        self._stop = threading.Event()
        self._exits_at: float | None = None
        self._down_s_after_exit = 0.0
        self._pool = urllib3.PoolManager(retries=False)
        self._incarnation_count = 0
        self._begin_life()
        start_daemon_thread(self._end_runs_forever, f"work-{name}")
        start_daemon_thread(self._send_heartbeats_forever, f"beat-{name}")

    def routes(self) -> dict[str, Handler]:
        """Return the HTTP handlers by route."""
        return {
            "POST /-/run-start": self._handle_start,
            "POST /-/run-stop": self._handle_stop,
            "POST /-/hold": self._handle_hold,
            "POST /-/pace": lambda request: json_response({"clockMs": self._clock_ms()}),
        }

    def close(self) -> None:
        """Stop the threads."""
        self._stop.set()

    def set_capacity(self, accelerators: int | None) -> None:
        """Change the capacity that the next heartbeats report; None restores it."""
        with self._condition:
            if accelerators is None:
                accelerators = self._full_accelerators
            until = time.monotonic() + CAPACITY_NOTICE_S
            self._earlier_capacity = (max(self._capacity_in_force(), accelerators), until)
            self._accelerators = accelerators

    def _capacity_in_force(self) -> int:
        accelerators, until = self._earlier_capacity
        is_noticed = time.monotonic() >= until
        return self._accelerators if is_noticed else max(accelerators, self._accelerators)

    @property
    def instance(self) -> str:
        """Id of the present incarnation, or of the last one while the executor is down."""
        return self._incarnation

    def is_running(self, task_prefix: str) -> bool:
        """Return whether a task whose name begins with a prefix runs here."""
        with self._condition:
            return any(task.startswith(task_prefix) for task in self._run_by_task)

    def crash(self, down_s: float = 0.0) -> None:
        """End all runs without notice, close the port and start again as a new incarnation.

        :param down_s: time in seconds until the new incarnation answers
        """
        with self._condition:
            self._end_life("crashed", down_s)

    def drain(self, remaining_s: float, *, down_s: float = float("inf")) -> None:
        """Report the state ``draining``; the executor exits after the remaining time.

        :param remaining_s: time in seconds in which the executor runs on
        :param down_s: time in seconds from the exit until a new incarnation answers
        """
        with self._condition:
            self._exits_at = time.monotonic() + remaining_s
            self._down_s_after_exit = down_s
        self._heartbeat_due.set()

    def _exit(self) -> None:
        """End all runs, send the exit notice and close the port; the caller holds the lock."""
        instance = self._incarnation
        self._end_life("left", self._down_s_after_exit)

        def send_notice() -> None:
            self._call_agent("DELETE", instance, None)

        start_daemon_thread(send_notice, f"exit-{self.name}")

    def _end_life(self, kind: str, down_s: float) -> None:
        for record in self._run_by_task.values():
            self.run_recorder.record_end(record, kind)
        self._run_by_task.clear()
        self._exits_at = None
        self.is_up = False
        self._back_at = time.monotonic() + down_s
        if self.link is not None:
            self.link.set_closed(True)
        self._condition.notify_all()
        if down_s <= 0:
            self._begin_life()

    def _begin_life(self) -> None:
        """Start a new incarnation, which knows nothing of the one before."""
        self._incarnation_count += 1
        self._incarnation = f"{self.name}-{self._incarnation_count}"
        self._started_at = time.monotonic()
        self._started_at_ms = round(time.time() * 1000)
        self._fencing_token = 0
        self._heartbeat_number = 0
        self._lease_deadline_ms = 0
        self._run_by_task: dict[str, RunRecord] = {}
        # Runs up to this number have ended or been stopped, so a late start order is rejected.
        self._last_closed_run_by_task: dict[str, int] = {}
        # Each end is a list of its sequence number, task, run, kind and checkpoint.
        self._unacknowledged_ends: list[list[Any]] = []
        self._ended_run_by_number: dict[int, RunRecord] = {}
        self._last_end_number = 0
        self.is_up = True
        if self.link is not None:
            self.link.set_closed(False)
        self.draining_acknowledged_at = float("inf")
        self._heartbeat_due.set()

    def _clock_ms(self) -> int:
        return round((time.monotonic() - self._started_at) * 1000 * CLOCK_RATE)

    def _check_preconditions(
        self, request: HttpRequest, body: dict[str, Any]
    ) -> HttpResponse | None:
        """Record the fencing token, or return an error if it or the incarnation is outdated."""
        if not self.is_up:
            return _no_response()
        if request.headers.get("expect-instance", self._incarnation) != self._incarnation:
            return json_response({"clockMs": self._clock_ms()}, status=421)
        if body.get("fencingToken", 0) < self._fencing_token:
            return self._conflict_response("fence")
        self._fencing_token = body.get("fencingToken", 0)
        return None

    def _conflict_response(self, reason: str) -> HttpResponse:
        return json_response({"clockMs": self._clock_ms(), "reason": reason}, status=409)

    def _handle_start(self, request: HttpRequest) -> HttpResponse:
        if self.is_delaying_starts and self._rng.random() < 0.5:
            delay_s = self._rng.uniform(*START_DELAY_RANGE_S)
            timer = threading.Timer(delay_s, self._start_run, [request])
            timer.daemon = True
            timer.start()
            time.sleep(1.0)  # exceeds the timeout of every caller
            return _no_response()
        return self._start_run(request)

    def _start_run(self, request: HttpRequest) -> HttpResponse:
        body = request.json()
        task, run = body["task"], body["run"]
        with self._condition:
            refusal = self._check_preconditions(request, body)
            if refusal is not None:
                return refusal
            existing = self._run_by_task.get(task)
            if existing is not None and existing.run == run:
                return json_response({"clockMs": self._clock_ms()})
            if run <= self._last_closed_run_by_task.get(task, 0):
                return self._conflict_response("old")
            if body["deadlineMs"] <= self._clock_ms():
                return self._conflict_response("late")
            self._extend_lease(body["deadlineMs"])
            payload = json.loads(body["spec"])
            record = RunRecord(
                task=task,
                run=run,
                executor=self.name,
                duration_s=payload["seconds"],
                members=payload["members"],
                accelerators=payload["accelerators"],
                started_at=time.monotonic(),
            )
            self._run_by_task[task] = record
            self.run_recorder.record_start(record)
            if payload.get("crashes"):
                self.run_recorder.record_crash_by(task)
                self.crash(self._rng.uniform(*DOWN_RANGE_S))
                return _no_response()
            used_accelerators = sum(other.accelerators for other in self._run_by_task.values())
            if used_accelerators > self._capacity_in_force():
                self.run_recorder.report_violation(
                    f"{self.name} uses {used_accelerators} accelerators:"
                    f" {sorted(self._run_by_task)}"
                )
            return json_response({"clockMs": self._clock_ms()})

    def _handle_stop(self, request: HttpRequest) -> HttpResponse:
        body = request.json()
        with self._condition:
            refusal = self._check_preconditions(request, body)
            if refusal is not None:
                return refusal
            task, run = body["task"], body["run"]
            self._last_closed_run_by_task[task] = max(
                run, self._last_closed_run_by_task.get(task, 0)
            )
            existing = self._run_by_task.get(task)
            if existing is not None and existing.run <= run:
                self._end_run(existing, "stopped")
            return json_response({"clockMs": self._clock_ms()})

    def _handle_hold(self, request: HttpRequest) -> HttpResponse:
        """Extend the lease, remove acknowledged ends and return runs and ends.

        Waits until there is an end to return, for at most the time that the request names.
        """
        body = request.json()
        wait_s = body.get("waitMs", 0) / 1000
        with self._condition:
            refusal = self._check_preconditions(request, body)
            if refusal is not None:
                return refusal
            self._extend_lease(body.get("deadlineMs", 0))
            for end in self._unacknowledged_ends:
                if end[0] <= body["lastSeen"]:
                    self.run_recorder.record_acknowledged_end(self._ended_run_by_number[end[0]])
            self._unacknowledged_ends = [
                end for end in self._unacknowledged_ends if end[0] > body["lastSeen"]
            ]
            life = self._incarnation_count
            self._condition.wait_for(
                lambda: (
                    bool(self._unacknowledged_ends)
                    or not self.is_up
                    or self._incarnation_count != life
                ),
                wait_s,
            )
            if not self.is_up or self._incarnation_count != life:
                return _no_response()
            # Task, run, no checkpoint, and a progress of 50 percent.
            running = [[record.task, record.run, "", 50] for record in self._run_by_task.values()]
            return json_response(
                {
                    "clockMs": self._clock_ms(),
                    "born": self._started_at_ms,
                    "running": running,
                    "finished": self._unacknowledged_ends,
                }
            )

    def _extend_lease(self, deadline_ms: int) -> None:
        latest_ms = self._clock_ms() + MAX_LEASE_MS
        self._lease_deadline_ms = max(self._lease_deadline_ms, min(deadline_ms, latest_ms))

    def _end_run(self, record: RunRecord, kind: str) -> None:
        self._run_by_task.pop(record.task, None)
        self.run_recorder.record_end(record, kind)
        self._last_closed_run_by_task[record.task] = max(
            record.run, self._last_closed_run_by_task.get(record.task, 0)
        )
        self._last_end_number += 1
        self._ended_run_by_number[self._last_end_number] = record
        self._unacknowledged_ends.append([self._last_end_number, record.task, record.run, kind, ""])
        self._condition.notify_all()

    def _end_runs_forever(self) -> None:
        while not self._stop.wait(RUN_CHECK_INTERVAL_S):
            now = time.monotonic()
            with self._condition:
                if not self.is_up:
                    if now >= self._back_at:
                        self._begin_life()
                    continue
                if self._exits_at is not None and now >= self._exits_at:
                    self._exit()
                    continue
                is_lease_expired = (
                    bool(self._run_by_task) and self._clock_ms() > self._lease_deadline_ms
                )
                for record in list(self._run_by_task.values()):
                    if is_lease_expired:
                        self._end_run(record, "lapsed")
                    elif record.ends_at is not None and now >= record.ends_at:
                        self._end_run(record, "done")
                    elif record.ends_at is None and now - record.started_at > GANG_TIMEOUT_S:
                        self._end_run(record, "alone")

    def _send_heartbeats_forever(self) -> None:
        wait_s = HEARTBEAT_INTERVAL_S
        while not self._stop.is_set():
            self._heartbeat_due.wait(wait_s)
            self._heartbeat_due.clear()
            with self._condition:
                if not self.is_up:
                    continue
                self._heartbeat_number += 1
                instance, body = self._incarnation, self._heartbeat()
            is_acknowledged = self._call_agent("PUT", instance, body)
            wait_s = HEARTBEAT_INTERVAL_S if is_acknowledged else HEARTBEAT_RETRY_DELAY_S
            if is_acknowledged:
                self._record_acknowledged_heartbeat(instance, body["state"] == "draining")

    def _record_acknowledged_heartbeat(self, instance: str, is_draining: bool) -> None:
        with self._condition:
            self.heartbeats_acknowledged += 1
            if is_draining and self._incarnation == instance:
                self.draining_acknowledged_at = min(self.draining_acknowledged_at, time.monotonic())

    def _heartbeat(self) -> dict[str, Any]:
        body = {
            "service": "service",
            "address": "",
            "zone": "zone-a",
            "state": "ready" if self._exits_at is None else "draining",
            "seq": self._heartbeat_number,
            "born": self._started_at_ms,
            "clockMs": self._clock_ms(),
            "labels": ["a", "r1"],
            "capacity": {"cpu": 64000, "memMb": 256000, "gpus": self._accelerators},
        }
        if self._exits_at is not None:
            body["remainingMs"] = max(0, round((self._exits_at - time.monotonic()) * 1000))
        return body

    def _call_agent(self, method: str, instance: str, body: dict[str, Any] | None) -> bool:
        """Call the agent; return whether it has acknowledged the call."""
        url = f"http://{self._agent_address}/-/instances/{instance}"
        data = None if body is None else json.dumps(body)
        try:
            return self._pool.request(method, url, body=data, timeout=1.0).status == HTTPStatus.OK
        except urllib3.exceptions.HTTPError:
            return False  # an unreachable agent receives a later heartbeat


def _no_response() -> HttpResponse:
    """Return a response that breaks off, as if the connection was lost."""
    return HttpResponse(status=503, body=b"{}", is_truncated=True)
