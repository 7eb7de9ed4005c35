"""Cache of the tickets that the advice service grants for waiting steps."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from chicorycrank.batch.planner_state import PlannerState
from chicorycrank.batch.threads import Queue, make_queue, start_thread
from chicorycrank.model.batch import Advice, WorkerState
from chicorycrank.model.ids import TargetId
from chicorycrank.ports.advice import AdviceService, AdviceUnavailableError, AllowedExecutors
from chicorycrank.ports.clock import Clock

MAX_EXECUTORS_PER_CALL = 100  # limit of the service
# Time in seconds that a response may take beyond the times that the operator declares.
RESPONSE_MARGIN_S = 1.0
# A start takes time to reach its executor, so tickets are used for a part of their validity only.
USABLE_VALIDITY_SHARE = 0.7
RETRY_DELAY_S = 0.3

logger = logging.getLogger("absl")


@dataclass(frozen=True, slots=True)
class _AdviceRequest:
    step: str
    worker_by_executor: dict[str, TargetId]
    advice: Advice


@dataclass(frozen=True, slots=True)
class _Tickets:
    """Tickets for a step.

    :param valid_until: monotonic time until which all of them may be used
    """

    ticket_by_executor: dict[str, str]
    valid_until: float


class AdviceCache:
    """Cache of tickets for one term of the leader; a background thread calls the service.

    :param on_response: called after each response
    """

    def __init__(
        self, service: AdviceService, clock: Clock, on_response: Callable[[], None]
    ) -> None:
        self._service = service
        self._clock = clock
        self._on_response = on_response
        self._requests: Queue[_AdviceRequest | None] = make_queue()
        self._responses: Queue[tuple[_AdviceRequest, _Tickets | None]] = make_queue()
        self._pending_steps: set[str] = set()
        self._valid_until_by_step: dict[str, float] = {}
        self._retry_at_by_step: dict[str, float] = {}
        self._is_serving = False

    def update(self, planner: PlannerState) -> None:
        """Apply the responses that have arrived and request tickets for waiting steps."""
        now_s = self._clock.monotonic()
        self._apply_responses(planner, now_s)
        planner.steps_with_valid_tickets = {
            step for step, valid_until in self._valid_until_by_step.items() if now_s < valid_until
        }
        for step, advice in _waiting_steps(planner).items():
            if step in self._pending_steps or step in planner.steps_with_valid_tickets:
                continue
            if now_s >= self._retry_at_by_step.get(step, 0.0):
                self._request_tickets(planner, step, advice)

    def stop(self) -> None:
        """Stop the background thread after its current call."""
        self._requests.put(None)

    def _apply_responses(self, planner: PlannerState, now_s: float) -> None:
        while not self._responses.empty():
            request, tickets = self._responses.get()
            self._pending_steps.discard(request.step)
            if tickets is None:
                self._retry_at_by_step[request.step] = now_s + RETRY_DELAY_S
                continue
            workers = request.worker_by_executor
            planner.tickets_by_step[request.step] = {
                workers[executor]: ticket
                for executor, ticket in tickets.ticket_by_executor.items()
                if executor in workers
            }
            self._valid_until_by_step[request.step] = tickets.valid_until

    def _request_tickets(self, planner: PlannerState, step: str, advice: Advice) -> None:
        workers = {
            worker.report.executor: worker_id
            for worker_id, worker in planner.workers.by_id.items()
            if worker.report.state is WorkerState.READY and worker.presence_expired_at is None
        }
        if not workers:
            return
        if not self._is_serving:
            self._is_serving = True
            start_thread(self._serve_requests, "advice")
        self._pending_steps.add(step)
        self._requests.put(_AdviceRequest(step, workers, advice))

    def _serve_requests(self) -> None:
        while (request := self._requests.get()) is not None:
            tickets = None
            try:
                tickets = self._query_in_parts(request)
            except AdviceUnavailableError as error:
                logger.warning("event=advice_failed step=%s error=%s", request.step, error)
            self._responses.put((request, tickets))
            self._on_response()

    def _query_in_parts(self, request: _AdviceRequest) -> _Tickets:
        """Ask about all executors, as many in one call as the service accepts.

        :raises AdviceUnavailableError: no call had a usable answer
        """
        executors = list(request.worker_by_executor)
        ticket_by_executor: dict[str, str] = {}
        valid_until = inf
        failure: AdviceUnavailableError | None = None
        for start in range(0, len(executors), MAX_EXECUTORS_PER_CALL):
            part = executors[start : start + MAX_EXECUTORS_PER_CALL]
            try:
                allowed = self._query(request, part)
            except AdviceUnavailableError as error:
                failure = error
                continue
            ticket_by_executor.update(allowed.ticket_by_executor)
            usable_s = USABLE_VALIDITY_SHARE * allowed.validity_s
            valid_until = min(valid_until, self._clock.monotonic() + usable_s)
        if failure is not None:
            if not ticket_by_executor:
                raise failure
            logger.warning("event=advice_partial step=%s error=%s", request.step, failure)
        return _Tickets(ticket_by_executor, valid_until)

    def _query(self, request: _AdviceRequest, executors: list[str]) -> AllowedExecutors:
        advice = request.advice
        timeout_s = RESPONSE_MARGIN_S + advice.decision_s + len(executors) * advice.per_worker_s
        return self._service.query_executors(request.step, executors, timeout_s=timeout_s)


def _waiting_steps(planner: PlannerState) -> dict[str, Advice]:
    advice_by_step: dict[str, Advice] = {}
    for job_id in planner.active_jobs:
        job = planner.jobs_by_id[job_id]
        advice = planner.queue_of(job).advice
        if advice is None:
            continue
        for ref in planner.waiting_units_of(job_id):
            advice_by_step[ref.step_key] = advice
    return advice_by_step
