"""Asks the advice service for waiting steps and keeps its answers while they hold."""

import logging
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass

from chicorycrank.batch.planner import Planner
from chicorycrank.batch.units import waiting_units
from chicorycrank.model.batch import Advice
from chicorycrank.model.batch import WorkerState as ExecutorState
from chicorycrank.model.ids import TargetId
from chicorycrank.ports.advice import AdviceService, AdviceUnavailableError, Allowed
from chicorycrank.ports.clock import Clock

MAX_EXECUTORS = 100  # the service takes no more in a call
# Time that an answer may take beyond what the operator declares, in seconds.
ANSWER_MARGIN_S = 1.0
# A start takes a moment to reach its executor; tickets are not used up to their last instant.
VALIDITY_SHARE = 0.7
RETRY_DELAY_S = 0.3

logger = logging.getLogger("absl")


@dataclass(frozen=True, slots=True)
class _Question:
    step: str
    worker_by_executor: dict[str, TargetId]
    advice: Advice


class AdviceBook:
    """Questions and answers of one term of the leader.

    :param wake: called after each answer
    """

    def __init__(self, service: AdviceService, clock: Clock, wake: Callable[[], None]) -> None:
        self._service = service
        self._clock = clock
        self._wake = wake
        self._questions: queue.SimpleQueue[_Question | None] = queue.SimpleQueue()
        self._answers: queue.SimpleQueue[tuple[_Question, Allowed | None]] = queue.SimpleQueue()
        self._open: set[str] = set()
        self._valid_until: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}
        self._thread: threading.Thread | None = None

    def update(self, planner: Planner) -> None:
        """Pass on the answers that have arrived and ask for the steps that wait."""
        now = self._clock.monotonic()
        self._take_answers(planner, now)
        planner.fresh_tickets = {step for step, end in self._valid_until.items() if now < end}
        for step, advice in _steps_that_wait(planner).items():
            if step in self._open or step in planner.fresh_tickets:
                continue
            if now >= self._retry_at.get(step, 0.0):
                self._ask(planner, step, advice)

    def stop(self) -> None:
        """End the thread after its current call."""
        self._questions.put(None)

    def _take_answers(self, planner: Planner, now: float) -> None:
        while not self._answers.empty():
            question, allowed = self._answers.get()
            self._open.discard(question.step)
            if allowed is None:
                self._retry_at[question.step] = now + RETRY_DELAY_S
                continue
            workers = question.worker_by_executor
            planner.tickets_by_step[question.step] = {
                workers[executor]: ticket
                for executor, ticket in allowed.ticket_by_executor.items()
                if executor in workers
            }
            self._valid_until[question.step] = now + VALIDITY_SHARE * allowed.validity_s

    def _ask(self, planner: Planner, step: str, advice: Advice) -> None:
        workers = {
            known.report.executor: name
            for name, known in planner.workers.by_id.items()
            if known.report.state is ExecutorState.READY and known.absent_since is None
        }
        if not workers:
            return
        if self._thread is None:
            self._thread = threading.Thread(target=self._answer, name="advice", daemon=True)
            self._thread.start()
        self._open.add(step)
        chosen = dict(list(workers.items())[:MAX_EXECUTORS])
        self._questions.put(_Question(step, chosen, advice))

    def _answer(self) -> None:
        while (question := self._questions.get()) is not None:
            advice = question.advice
            count = len(question.worker_by_executor)
            limit_s = ANSWER_MARGIN_S + advice.decision_s + count * advice.per_worker_s
            allowed = None
            try:
                allowed = self._service.ask(
                    question.step, list(question.worker_by_executor), timeout_s=limit_s
                )
            except AdviceUnavailableError as error:
                logger.warning("event=advice_failed step=%s error=%s", question.step, error)
            self._answers.put((question, allowed))
            self._wake()


def _steps_that_wait(planner: Planner) -> dict[str, Advice]:
    found: dict[str, Advice] = {}
    for job_id in planner.active:
        job = planner.jobs_by_id[job_id]
        advice = planner.queue_of(job).advice
        if advice is None:
            continue
        for ref in waiting_units(job, planner.progress_by_id[job_id], planner.now_ms):
            found[ref.step_key] = advice
    return found
