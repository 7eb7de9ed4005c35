"""HTTP clients of targets, based on ``http.client`` to save memory in the agent."""

import asyncio
import http.client
import json
import socket
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from functools import partial
from typing import Any
from urllib.parse import urlsplit

import msgspec

from chicorycrank.model.requests import Answer, Outcome, Request
from chicorycrank.ports.targets import (
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
    TaskLaunch,
    WorkerTask,
    WorkerTaskState,
    task_id_of,
)

CONNECT_TIMEOUT_S = 2.0
WORKER_CALL_TIMEOUT_S = 3.0
PROBE_TIMEOUT_S = 1.0
HTTP_OK = 200
MAX_RESPONSE_BYTES = 1_000_000


class HttpTarget:
    """HTTP client of one target; its blocking calls run in a small thread pool.

    :param url: base address of the target
    :param threads: largest number of concurrent calls
    """

    def __init__(self, url: str, *, threads: int) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._thread_pool = ThreadPoolExecutor(threads, thread_name_prefix="target")

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        *,
        timeout_s: float,
    ) -> tuple[int, str, bytes]:
        """Send a call and return the status, content type and complete body.

        :raises TargetUnreachableError: the target refused the connection
        :raises TargetTimeoutError: no complete response arrived in time
        """
        blocking_call = partial(self._call, method, path, body, headers or {}, timeout_s)
        return await asyncio.get_running_loop().run_in_executor(self._thread_pool, blocking_call)

    def close(self) -> None:
        """Shut down the thread pool."""
        self._thread_pool.shutdown(wait=False, cancel_futures=True)

    def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str], timeout_s: float
    ) -> tuple[int, str, bytes]:
        connection = http.client.HTTPConnection(self._host, self._port)
        try:
            try:
                connection.sock = self._connect(min(CONNECT_TIMEOUT_S, timeout_s))
            except OSError as error:
                raise TargetUnreachableError(str(error)) from error
            connection.sock.settimeout(timeout_s)
            try:
                connection.request(method, path, body=body, headers=headers)
                response = connection.getresponse()
                data = response.read(MAX_RESPONSE_BYTES + 1)
                if response.length:
                    raise TargetTimeoutError("response is incomplete or exceeds the size limit")
            except (OSError, http.client.HTTPException) as error:
                raise TargetTimeoutError(str(error) or type(error).__name__) from error
            return response.status, response.headers.get("Content-Type", ""), data
        finally:
            connection.close()

    def _connect(self, timeout_s: float) -> socket.socket:
        # A bytes host avoids loading the IDNA codec, which takes 360 kB of memory. The socket
        # module passes bytes on to getaddrinfo, but its type annotation allows only str.
        host: Any = self._host.encode() if self._host.isascii() else self._host
        connection = socket.create_connection((host, self._port), timeout_s)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection


class HttpExecutor:
    """Executor over HTTP.

    :param slots: largest number of concurrent requests
    """

    def __init__(self, url: str, *, slots: int) -> None:
        self._target = HttpTarget(url, threads=slots + 1)

    async def run(self, request: Request) -> Answer:
        """Run a request and return its complete answer."""
        headers = {
            "Content-Type": "application/json",
            "X-Request-Key": request.key,
            "X-Service": request.service,
            "X-Team": request.team,
        }
        status, content_type, body = await self._target.call(
            "POST", "/run", request.body, headers, timeout_s=request.deadline_s
        )
        if status == HTTP_OK:
            return Answer(outcome=Outcome.COMPLETED, body=body, content_type=content_type)
        detail = f"executor answered with status {status}"
        return Answer(outcome=Outcome.FAILED, detail=detail, body=body, content_type=content_type)

    async def probe(self) -> bool:
        """Return whether the executor is healthy."""
        return await _probe(self._target)


class HttpWorker:
    """Worker over HTTP."""

    def __init__(self, url: str) -> None:
        self._target = HttpTarget(url, threads=4)

    async def start(self, launch: TaskLaunch) -> str:
        """Start a task with a throttle of 0 and return its id."""
        task_id = task_id_of(launch)
        document = {
            "task_id": task_id,
            "accelerators": launch.accelerators,
            "work_s": launch.spec.run_time_s,
            "payload": launch.spec.payload,
            "progress_s": launch.progress_s,
            "lease_s": launch.lease.total_seconds(),
            "meta": msgspec.to_builtins(launch),
        }
        await self._post("/tasks", document)
        return task_id

    async def throttle(self, task_id: str, share: float) -> None:
        """Set a task's share of full speed: 0 stops its work, 1.0 is full speed."""
        await self._post(f"/tasks/{task_id}/throttle", {"share": share})

    async def renew(self, task_ids: tuple[str, ...], lease: timedelta) -> None:
        """Renew the leases of tasks."""
        document = {"task_ids": task_ids, "lease_s": lease.total_seconds()}
        await self._post("/leases/renew", document)

    async def checkpoint(self, task_id: str) -> float:
        """Save a checkpoint and return the saved work in seconds."""
        reply = await self._post(f"/tasks/{task_id}/checkpoint", {})
        return float(reply["checkpoint_s"])

    async def stop(self, task_id: str) -> None:
        """Stop a task."""
        await self._post(f"/tasks/{task_id}/stop", {})

    async def tasks(self) -> tuple[WorkerTask, ...]:
        """Return the tasks of the worker, including ended ones."""
        status, _, body = await self._target.call("GET", "/tasks", timeout_s=WORKER_CALL_TIMEOUT_S)
        if status != HTTP_OK:
            raise TargetRefusedError(f"/tasks: status {status}")
        try:
            return tuple(_decode_task(document) for document in json.loads(body))
        except (ValueError, KeyError, TypeError, msgspec.ValidationError) as error:
            raise TargetRefusedError(f"/tasks: malformed task list in response: {error}") from error

    async def discard_task(self, task_id: str) -> None:
        """Remove an ended task from the worker's list."""
        await self._target.call("DELETE", f"/tasks/{task_id}", timeout_s=WORKER_CALL_TIMEOUT_S)

    async def probe(self) -> bool:
        """Return whether the worker is healthy."""
        return await _probe(self._target)

    async def _post(self, path: str, document: Any) -> Any:
        status, _, body = await self._target.call(
            "POST",
            path,
            json.dumps(document).encode(),
            {"Content-Type": "application/json"},
            timeout_s=WORKER_CALL_TIMEOUT_S,
        )
        if status != HTTP_OK:
            raise TargetRefusedError(f"{path}: status {status}")
        try:
            return json.loads(body)
        except ValueError as error:
            raise TargetTimeoutError(f"{path}: response is not valid JSON") from error


async def _probe(target: HttpTarget) -> bool:
    try:
        status, _, _ = await target.call("GET", "/health", timeout_s=PROBE_TIMEOUT_S)
    except (TargetUnreachableError, TargetTimeoutError):
        return False
    return status == HTTP_OK


def _decode_task(document: Any) -> WorkerTask:
    return WorkerTask(
        task_id=document["task_id"],
        launch=msgspec.convert(document["meta"], TaskLaunch),
        state=WorkerTaskState(document["state"]),
        throttle=document["throttle"],
        progress_s=document["progress_s"],
        checkpoint_s=document["checkpoint_s"],
        detail=document["detail"],
    )
