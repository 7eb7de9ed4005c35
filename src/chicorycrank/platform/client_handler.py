"""HTTP handler for clients: submits, queries and cancels jobs and counts the pending ones."""

import re
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from chicorycrank.batch.admission_gate import AdmissionGate, SubmitAnswer
from chicorycrank.batch.intake import JobIntake, Outcome
from chicorycrank.batch.metrics import CALL_SECONDS, CALLS
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import BatchState, Queue
from chicorycrank.model.ids import JobId, TeamId
from chicorycrank.platform.documents import DocumentError, decode_job
from chicorycrank.platform.server import Request, Response
from chicorycrank.ports.clock import Clock

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
DEFAULT_TIMEOUT_S = 3.0
READY_PATH = "/-/ready"
OPERATION_BY_METHOD = {"POST": "submit", "GET": "state", "DELETE": "cancel"}
NAME_BY_STATE = {
    BatchState.QUEUED: "queued",
    BatchState.RUNNING: "running",
    BatchState.COMPLETED: "completed",
    BatchState.FAILED: "failed",
    BatchState.CANCELLED: "cancelled",
}
STATUS_BY_OUTCOME = {
    Outcome.DONE: HTTPStatus.OK,
    Outcome.NOT_DONE: HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    # The job was never stored or was removed after its retention time. The status differs from 404,
    # which means that the URL is not that of a queue or job.
    Outcome.ABSENT: HTTPStatus.GONE,
}


class ClientRequestHandler:
    """Handler for the calls of clients.

    :param view: this entry's copy of the stored jobs and configuration
    :param intake: stores submissions and cancellations, and returns the state of jobs
    :param is_current: returns whether the store has confirmed the configuration within the
        permitted time
    :param is_ready: returns whether this entry accepts new connections
    :param retry_after_s: returns the delay in seconds after which a refused client may retry
    :param admission: refuses jobs that cannot end in time; None to admit all
    """

    def __init__(
        self,
        view: SharedView,
        intake: JobIntake,
        clock: Clock,
        *,
        is_current: Callable[[], bool],
        is_ready: Callable[[], bool],
        retry_after_s: Callable[[], int],
        admission: AdmissionGate | None = None,
    ) -> None:
        self._view = view
        self._intake = intake
        self._clock = clock
        self._is_current = is_current
        self._is_ready = is_ready
        self._retry_after_s = retry_after_s
        self._admission = admission

    def handle(self, request: Request) -> Response:
        """Handle a call and return its response."""
        operation = OPERATION_BY_METHOD.get(request.method, "other")
        if request.path == READY_PATH:
            operation = "ready"
        with CALL_SECONDS.labels(operation).time():
            response = self._route_request(request)
        CALLS.labels(operation, str(response.status.value)).inc()
        return response

    def _route_request(self, request: Request) -> Response:
        if request.path == READY_PATH:
            return Response(HTTPStatus.OK if self._is_ready() else HTTPStatus.SERVICE_UNAVAILABLE)
        with self._view.lock:
            queue = self._view.config.find_queue(request.host, request.path)
            team = self._view.config.find_team(request.headers.get("credential", ""))
            has_config = self._view.config.config is not None
        if not has_config or not self._is_current():
            return self._unavailable_response()
        if queue is None:
            return Response(HTTPStatus.NOT_FOUND)
        if team is None and not queue.anonymous:
            return Response(HTTPStatus.UNAUTHORIZED)
        return self._handle_job_request(request, queue, team or TeamId(""))

    def _handle_job_request(self, request: Request, queue: Queue, team: TeamId) -> Response:
        path_suffix = request.path.removeprefix(queue.prefix)
        if not path_suffix and request.method == "GET":
            return _json_response({"pending": self._view.count_pending(queue.queue_id)})
        if not JOB_ID_PATTERN.fullmatch(path_suffix):
            return Response(HTTPStatus.NOT_FOUND)
        job_id = JobId(path_suffix)
        match request.method:
            case "POST":
                return self._submit(request, queue, team, job_id)
            case "GET":
                answer = self._intake.job_state(job_id)
                if answer.state is not None:
                    document = {"state": NAME_BY_STATE[answer.state]}
                    if answer.reason:
                        document["reason"] = answer.reason
                    return _json_response(document)
                return self._outcome_response(answer.outcome)
            case "DELETE":
                return self._outcome_response(
                    self._intake.cancel(job_id, self._deadline_at(request))
                )
        return Response(HTTPStatus.METHOD_NOT_ALLOWED)

    def _submit(self, request: Request, queue: Queue, team: TeamId, job_id: JobId) -> Response:
        now_ms = int(self._clock.now().timestamp() * 1000)
        try:
            job = decode_job(request.body, job_id=job_id, queue=queue, team=team, now_ms=now_ms)
        except DocumentError as error:
            return _json_response({"error": str(error)}, HTTPStatus.BAD_REQUEST)
        deadline_at = self._deadline_at(request)
        if self._admission is None:
            answer = SubmitAnswer(self._intake.submit(job, deadline_at))
        else:
            answer = self._admission.submit(job, deadline_at)
        return self._outcome_response(answer.outcome, answer.retry_after_s)

    def _outcome_response(self, outcome: Outcome, retry_after_s: int | None = None) -> Response:
        if outcome is Outcome.NOT_DONE:
            return self._unavailable_response(retry_after_s)
        return Response(STATUS_BY_OUTCOME[outcome])

    def _unavailable_response(self, retry_after_s: int | None = None) -> Response:
        headers = {"Retry-After": str(retry_after_s or self._retry_after_s())}
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, headers=headers)

    def _deadline_at(self, request: Request) -> float:
        """Return the monotonic time in seconds until which the client waits for the response."""
        now = self._clock.monotonic()
        try:
            return now + float(request.headers["deadline-ms"]) / 1000
        except (KeyError, ValueError):
            return now + DEFAULT_TIMEOUT_S


def _json_response(document: object, status: HTTPStatus = HTTPStatus.OK) -> Response:
    return Response(status, msgspec.json.encode(document))
