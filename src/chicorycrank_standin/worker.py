"""Stand-in of a worker that runs tasks under leases."""

import threading
import time
from dataclasses import dataclass
from typing import Any

from chicorycrank_standin.http import Call, Reply, Route, json_reply

TICK_S = 0.05
REPORT_DELAY_S = 0.5


@dataclass(kw_only=True)
class Task:
    """A task in memory.

    :param meta: opaque document of the caller, returned with the task
    :param work_s: work until completion in seconds of full speed
    :param advanced_at: monotonic time up to which ``progress_s`` counts
    """

    task_id: str
    accelerators: tuple[int, ...]
    meta: Any
    work_s: float
    progress_s: float
    reported_s: float
    checkpoint_s: float
    expires_at: float
    advanced_at: float
    throttle: float = 0.0
    state: str = "running"
    detail: str = ""


@dataclass(kw_only=True)
class Faults:
    """Faults that a test can switch on.

    :param fail_tasks: every task fails as soon as it does work
    """

    fail_tasks: bool = False


class WorkerStandIn:
    """Runs tasks by counting time and keeps its own record of every task."""

    def __init__(self, target_id: str, *, accelerators: int, speed: float) -> None:
        self._target_id = target_id
        self._accelerators = accelerators
        self._speed = speed
        self._lock = threading.Lock()
        self._task_by_id: dict[str, Task] = {}
        self.record: list[dict[str, object]] = []
        self.faults = Faults()

    def routes(self) -> dict[str, Route]:
        """Return the HTTP routes."""
        return {
            r"POST /tasks": self._start,
            r"GET /tasks": self._list,
            r"POST /tasks/([^/]+)/throttle": self._throttle,
            r"POST /tasks/([^/]+)/checkpoint": self._checkpoint,
            r"POST /tasks/([^/]+)/stop": self._stop,
            r"DELETE /tasks/([^/]+)": self._forget,
            r"POST /leases/renew": self._renew,
            r"GET /health": lambda _: json_reply({"ok": True}),
            r"GET /record": lambda _: json_reply(self.record),
            r"POST /control": self._control,
        }

    def run_forever(self) -> None:
        """Advance all tasks until the process ends."""
        last_report = time.monotonic()
        while True:
            time.sleep(TICK_S)
            now = time.monotonic()
            with self._lock:
                for task in self._task_by_id.values():
                    self._advance(task, now)
                if now - last_report >= REPORT_DELAY_S:
                    last_report = now
                    for task in self._task_by_id.values():
                        task.reported_s = task.progress_s

    def _advance(self, task: Task, now: float) -> None:
        elapsed_s, task.advanced_at = now - task.advanced_at, now
        if task.state != "running":
            return
        if now > task.expires_at:
            self._end(task, "stopped", "lease ended")
            return
        if task.throttle <= 0:
            return
        if self.faults.fail_tasks:
            self._end(task, "failed", "worker failure")
            return
        task.progress_s += elapsed_s * task.throttle * self._speed
        if task.progress_s >= task.work_s:
            task.progress_s = task.work_s
            self._end(task, "completed", "")

    def _end(self, task: Task, state: str, detail: str) -> None:
        task.state = state
        task.detail = detail
        task.reported_s = task.progress_s
        self._note(task, state)

    def _note(self, task: Task, event: str) -> None:
        self.record.append({"task": task.task_id, "event": event, "at": time.time()})

    def _start(self, call: Call) -> Reply:
        document = call.json()
        task_id = document["task_id"]
        with self._lock:
            if task_id in self._task_by_id:
                return json_reply({"task_id": task_id})
            wanted = tuple(document["accelerators"])
            busy = {a for t in self._running() for a in t.accelerators}
            if busy & set(wanted) or any(a >= self._accelerators for a in wanted):
                return json_reply({"error": "accelerators are in use"}, status=409)
            progress_s = float(document["progress_s"])
            now = time.monotonic()
            task = Task(
                task_id=task_id,
                accelerators=wanted,
                meta=document["meta"],
                work_s=float(document["work_s"]),
                progress_s=progress_s,
                reported_s=progress_s,
                checkpoint_s=progress_s,
                expires_at=now + float(document["lease_s"]),
                advanced_at=now,
            )
            self._task_by_id[task_id] = task
            self._note(task, "started")
        return json_reply({"task_id": task_id})

    def _running(self) -> list[Task]:
        return [task for task in self._task_by_id.values() if task.state == "running"]

    def _list(self, _: Call) -> Reply:
        with self._lock:
            tasks = [
                {
                    "task_id": task.task_id,
                    "meta": task.meta,
                    "state": task.state,
                    "throttle": task.throttle,
                    "progress_s": task.reported_s,
                    "checkpoint_s": task.checkpoint_s,
                    "detail": task.detail,
                }
                for task in self._task_by_id.values()
            ]
        return json_reply(tasks)

    def _throttle(self, call: Call) -> Reply:
        with self._lock:
            task = self._task_by_id.get(call.arguments[0])
            if task is None or task.state != "running":
                return json_reply({"error": "no such running task"}, status=404)
            self._advance(task, time.monotonic())
            if task.throttle == 0:
                self._note(task, "working")
            task.throttle = float(call.json()["share"])
        return json_reply({})

    def _checkpoint(self, call: Call) -> Reply:
        with self._lock:
            task = self._task_by_id.get(call.arguments[0])
            if task is None:
                return json_reply({"error": "no such task"}, status=404)
            # Work since the last tick counts too, however late the next one is.
            self._advance(task, time.monotonic())
            task.checkpoint_s = task.progress_s
            return json_reply({"checkpoint_s": task.checkpoint_s})

    def _stop(self, call: Call) -> Reply:
        with self._lock:
            task = self._task_by_id.get(call.arguments[0])
            if task is not None and task.state == "running":
                self._end(task, "stopped", "stopped on request")
        return json_reply({})

    def _forget(self, call: Call) -> Reply:
        with self._lock:
            task = self._task_by_id.get(call.arguments[0])
            if task is not None and task.state != "running":
                del self._task_by_id[task.task_id]
        return json_reply({})

    def _renew(self, call: Call) -> Reply:
        document = call.json()
        with self._lock:
            for task_id in document["task_ids"]:
                task = self._task_by_id.get(task_id)
                if task is not None and task.state == "running":
                    task.expires_at = time.monotonic() + float(document["lease_s"])
        return json_reply({})

    def _control(self, call: Call) -> Reply:
        for name, value in call.json().items():
            setattr(self.faults, name, value)
        return json_reply(vars(self.faults))
