"""Stand-in for a worker that runs tasks under leases."""

import threading
import time
from dataclasses import dataclass
from typing import Any

from chicorycrank_standin.http import Handler, HttpRequest, HttpResponse, json_response

ADVANCE_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 0.5  # interval at which ``GET /tasks`` shows new progress


@dataclass(kw_only=True)
class Task:
    """Task and its progress, in seconds of work at full speed.

    :param meta: opaque document of the caller, returned with the task
    :param work_s: work until completion
    :param progress_s: work done so far
    :param reported_s: progress that ``GET /tasks`` returns
    :param checkpoint_s: progress at the last checkpoint
    :param expires_at: monotonic time at which the lease expires
    :param advanced_at: monotonic time of the last update of ``progress_s``
    :param throttle: share of full speed: 0 stops the task's work, 1.0 is full speed
    :param state: ``running``, also with a throttle of 0, then ``completed``, ``failed`` or
        ``stopped``
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
    """Faults that a test injects with ``POST /control``.

    :param fail_tasks: fail every task whose throttle is above 0
    """

    fail_tasks: bool = False


class WorkerStandIn:
    """Worker that simulates tasks by elapsed time and records the events of every task.

    :param speed: seconds of work that a task at full speed does per second of elapsed time
    """

    def __init__(self, target_id: str, *, accelerators: int, speed: float) -> None:
        self._target_id = target_id
        self._accelerators = accelerators
        self._speed = speed
        self._lock = threading.Lock()
        self._task_by_id: dict[str, Task] = {}
        self.events: list[dict[str, object]] = []
        self.faults = Faults()

    def routes(self) -> dict[str, Handler]:
        """Return the HTTP handlers by route."""
        return {
            r"POST /tasks": self._start_task,
            r"GET /tasks": self._list_tasks,
            r"POST /tasks/([^/]+)/throttle": self._throttle_task,
            r"POST /tasks/([^/]+)/checkpoint": self._save_checkpoint,
            r"POST /tasks/([^/]+)/stop": self._stop_task,
            r"DELETE /tasks/([^/]+)": self._discard_task,
            r"POST /leases/renew": self._renew_leases,
            r"GET /health": lambda _: json_response({"ok": True}),
            r"GET /record": lambda _: json_response(self.events),
            r"POST /control": self._set_faults,
        }

    def run_forever(self) -> None:
        """Advance all tasks periodically until the process ends."""
        last_report_at = time.monotonic()
        while True:
            time.sleep(ADVANCE_INTERVAL_S)
            now = time.monotonic()
            with self._lock:
                for task in self._task_by_id.values():
                    self._advance_task(task, now)
                if now - last_report_at >= REPORT_INTERVAL_S:
                    last_report_at = now
                    for task in self._task_by_id.values():
                        task.reported_s = task.progress_s

    def _advance_task(self, task: Task, now: float) -> None:
        elapsed_s, task.advanced_at = now - task.advanced_at, now
        if task.state != "running":
            return
        if now > task.expires_at:
            self._end_task(task, "stopped", "lease ended")
            return
        if task.throttle <= 0:
            return
        if self.faults.fail_tasks:
            self._end_task(task, "failed", "worker failure")
            return
        task.progress_s += elapsed_s * task.throttle * self._speed
        if task.progress_s >= task.work_s:
            task.progress_s = task.work_s
            self._end_task(task, "completed", "")

    def _end_task(self, task: Task, state: str, detail: str) -> None:
        task.state = state
        task.detail = detail
        task.reported_s = task.progress_s
        self._record_event(task, state)

    def _record_event(self, task: Task, event: str) -> None:
        self.events.append({"task": task.task_id, "event": event, "at": time.time()})

    def _start_task(self, request: HttpRequest) -> HttpResponse:
        document = request.json()
        task_id = document["task_id"]
        with self._lock:
            if task_id in self._task_by_id:
                return json_response({"task_id": task_id})
            requested = tuple(document["accelerators"])
            allocated = {a for t in self._running_tasks() for a in t.accelerators}
            if allocated & set(requested) or any(a >= self._accelerators for a in requested):
                return json_response(
                    {"error": "accelerators are in use or do not exist"}, status=409
                )
            progress_s = float(document["progress_s"])
            now = time.monotonic()
            task = Task(
                task_id=task_id,
                accelerators=requested,
                meta=document["meta"],
                work_s=float(document["work_s"]),
                progress_s=progress_s,
                reported_s=progress_s,
                checkpoint_s=progress_s,
                expires_at=now + float(document["lease_s"]),
                advanced_at=now,
            )
            self._task_by_id[task_id] = task
            self._record_event(task, "started")
        return json_response({"task_id": task_id})

    def _running_tasks(self) -> list[Task]:
        return [task for task in self._task_by_id.values() if task.state == "running"]

    def _list_tasks(self, _: HttpRequest) -> HttpResponse:
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
        return json_response(tasks)

    def _throttle_task(self, request: HttpRequest) -> HttpResponse:
        with self._lock:
            task = self._task_by_id.get(request.path_parameters[0])
            if task is None or task.state != "running":
                return json_response({"error": "no such running task"}, status=404)
            self._advance_task(task, time.monotonic())
            # A task starts with a throttle of 0 and begins to work once the throttle is raised.
            if task.throttle == 0:
                self._record_event(task, "working")
            task.throttle = float(request.json()["share"])
        return json_response({})

    def _save_checkpoint(self, request: HttpRequest) -> HttpResponse:
        with self._lock:
            task = self._task_by_id.get(request.path_parameters[0])
            if task is None:
                return json_response({"error": "no such task"}, status=404)
            # Periodic updates may be late, so the progress is updated before it is saved.
            self._advance_task(task, time.monotonic())
            task.checkpoint_s = task.progress_s
            return json_response({"checkpoint_s": task.checkpoint_s})

    def _stop_task(self, request: HttpRequest) -> HttpResponse:
        with self._lock:
            task = self._task_by_id.get(request.path_parameters[0])
            if task is not None and task.state == "running":
                self._end_task(task, "stopped", "stopped on request")
        return json_response({})

    def _discard_task(self, request: HttpRequest) -> HttpResponse:
        with self._lock:
            task = self._task_by_id.get(request.path_parameters[0])
            if task is not None and task.state != "running":
                del self._task_by_id[task.task_id]
        return json_response({})

    def _renew_leases(self, request: HttpRequest) -> HttpResponse:
        document = request.json()
        with self._lock:
            for task_id in document["task_ids"]:
                task = self._task_by_id.get(task_id)
                if task is not None and task.state == "running":
                    task.expires_at = time.monotonic() + float(document["lease_s"])
        return json_response({})

    def _set_faults(self, request: HttpRequest) -> HttpResponse:
        for name, value in request.json().items():
            setattr(self.faults, name, value)
        return json_response(vars(self.faults))
