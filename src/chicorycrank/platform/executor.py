"""HTTP client of the platform's executor on the machine of the agent."""

from typing import Any

from chicorycrank.model.batch import EndKind, TaskEnd
from chicorycrank.model.ids import Incarnation, TaskId
from chicorycrank.platform.client import Answer, NoAnswerError, PlatformClient
from chicorycrank.ports.executor import (
    ExecutorStatus,
    ExecutorUnreachableError,
    NumberedEnd,
    OtherIncarnationError,
    RunningTask,
    StartAnswer,
    StartOrder,
)

# Responses on the same machine take a few milliseconds; calls without a response are repeated.
CALL_TIMEOUT_S = 0.6
# Time for the response of the executor after the wait of a long poll has ended.
HOLD_TIMEOUT_MARGIN_S = 0.8
# Ends in one response; the others come after these have been acknowledged.
MAX_LISTED_ENDS = 500

END_KIND_BY_NAME = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.BROKEN,
    "alone": EndKind.ALONE,
}
START_ANSWER_BY_STATUS = {
    400: StartAnswer.INVALID,
    429: StartAnswer.UNHEALTHY,
    503: StartAnswer.UNHEALTHY,
}
START_ANSWER_BY_REASON = {
    "fence": StartAnswer.FENCED,
    "old": StartAnswer.OUTDATED,
    "late": StartAnswer.LATE,
    "room": StartAnswer.NO_ROOM,
    "ticket": StartAnswer.NO_TICKET,
}


def incarnation_of(executor_id: str, started_at_ms: int) -> Incarnation:
    """Return the incarnation of an executor; a restarted executor may keep its id."""
    return Incarnation(f"{executor_id}:{started_at_ms}")


class PlatformExecutor:
    """Executor over HTTP; implements :class:`~chicorycrank.ports.executor.BatchExecutor`."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def start(self, order: StartOrder) -> StartAnswer:
        """Start a run."""
        body: dict[str, Any] = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": order.deadline_ms,
            "fencingToken": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        answer = self._call("/-/run-start", body, order.incarnation)
        if answer.status == 200:
            return StartAnswer.STARTED
        if answer.status == 409:
            reason = answer.body.get("reason")
            return START_ANSWER_BY_REASON.get(str(reason), StartAnswer.INVALID)
        return START_ANSWER_BY_STATUS.get(answer.status, StartAnswer.ERROR)

    def stop(self, task: TaskId, run: int, fence: int, incarnation: Incarnation) -> bool:
        """Stop a run and reject its start if that arrives later."""
        body = {"task": task, "run": run, "fencingToken": fence}
        return self._send_order("/-/run-stop", body, incarnation)

    def set_pace(
        self, task: TaskId, run: int, percent: int, fence: int, incarnation: Incarnation
    ) -> bool:
        """Set the speed of a task in percent of its full speed."""
        body = {"task": task, "run": run, "percent": percent, "fencingToken": fence}
        return self._send_order("/-/pace", body, incarnation)

    def extend_lease(
        self,
        *,
        fence: int,
        last_acknowledged_end: int,
        deadline_ms: int | None,
        wait_s: float,
        incarnation: Incarnation,
    ) -> ExecutorStatus:
        """Extend the lease of all running tasks and return the status of the executor."""
        body: dict[str, Any] = {
            "fencingToken": fence,
            "lastSeen": last_acknowledged_end,
            "waitMs": round(wait_s * 1000),
        }
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        answer = self._call("/-/hold", body, incarnation, timeout_s=wait_s + HOLD_TIMEOUT_MARGIN_S)
        if answer.status == 409:
            raise PermissionError("/-/hold: the fencing token is outdated")
        if answer.status != 200:
            raise ExecutorUnreachableError(f"/-/hold: status {answer.status}, expected 200")
        executor_id, _, _ = incarnation.rpartition(":")
        return _decode_status(executor_id, answer.body)

    def _send_order(self, path: str, body: dict[str, Any], incarnation: Incarnation) -> bool:
        answer = self._call(path, body, incarnation)
        if answer.status not in (200, 409):
            raise ExecutorUnreachableError(f"{path}: status {answer.status}, expected 200 or 409")
        return answer.status == 200

    def _call(
        self,
        path: str,
        body: dict[str, Any],
        incarnation: Incarnation,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Answer:
        executor_id, _, _ = incarnation.rpartition(":")
        headers = {"Expect-Instance": executor_id}
        try:
            answer = self._client.call("POST", path, body, headers=headers, timeout_s=timeout_s)
        except NoAnswerError as error:
            raise ExecutorUnreachableError(
                str(error), refused=error.refused, timed_out=error.timed_out
            ) from error
        if answer.status == 421:
            raise OtherIncarnationError(f"{path}: the executor that answered is not {executor_id}")
        return answer


def _decode_status(executor_id: str, body: dict[str, Any]) -> ExecutorStatus:
    """Decode the status of an executor.

    :raises ExecutorUnreachableError: the status cannot be decoded
    """
    try:
        running = [_decode_running_task(*row) for row in body["running"]]
        ends = [
            NumberedEnd(number, TaskEnd(TaskId(task), run, END_KIND_BY_NAME[kind], checkpoint))
            for number, task, run, kind, checkpoint, *_ in body["finished"]
        ]
        return ExecutorStatus(
            incarnation=incarnation_of(executor_id, int(body.get("born", 0))),
            clock_ms=int(body["clockMs"]),
            running=running,
            ends=ends,
            has_all_ends=len(ends) < MAX_LISTED_ENDS,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise ExecutorUnreachableError(f"/-/hold: malformed response: {error!r}") from error


def _decode_running_task(
    task: str, run: int, checkpoint: str, percent: int = 100, load: float = 0, *_: object
) -> RunningTask:
    return RunningTask(TaskId(task), run, checkpoint, percent, load)
