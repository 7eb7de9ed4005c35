"""Calls of other threads that ask the leader's planner where a job would go."""

import logging
from dataclasses import dataclass

from chicorycrank.batch.planner import Planner
from chicorycrank.batch.threads import Condition
from chicorycrank.batch.where import explain_placement
from chicorycrank.model.batch import Submission
from chicorycrank.policy.where import PlacementAnswer
from chicorycrank.ports.clock import Clock

# A plan of a full fleet may take a good part of this time.
ANSWER_TIMEOUT_S = 2.0

logger = logging.getLogger("absl")


class NotAnsweredError(Exception):
    """There is no answer now; the text says why."""


@dataclass
class _Call:
    """Call in progress, with its answer or the reason why there is none."""

    job: Submission
    answer: tuple[PlacementAnswer, ...] | None = None
    error: str = ""


class WhereCalls:
    """Calls to the planner of a term, one at a time, so that they delay plans little.

    :param lock: is notified of a call and of its answer
    """

    def __init__(self, lock: Condition, clock: Clock) -> None:
        self._lock = lock
        self._clock = clock
        self._call: _Call | None = None

    def ask(self, job: Submission) -> tuple[PlacementAnswer, ...]:
        """Return the answer of the planner's thread.

        :raises NotAnsweredError: another call is in progress, or the planner gave no answer
        """
        call = _Call(job)
        deadline = self._clock.monotonic() + ANSWER_TIMEOUT_S
        with self._lock:
            if self._call is not None:
                raise NotAnsweredError("another call is in progress")
            self._call = call
            self._lock.notify_all()
            try:
                while call.answer is None and not call.error:
                    remaining_s = deadline - self._clock.monotonic()
                    if remaining_s <= 0:
                        raise NotAnsweredError("the planner has not answered in time")
                    self._lock.wait(remaining_s)
            finally:
                self._call = None
        if call.answer is None:
            raise NotAnsweredError(call.error)
        return call.answer

    def answer(self, planner: Planner) -> None:
        """Answer a waiting call, in the thread of the planner."""
        with self._lock:
            call = self._call
        if call is None:
            return
        try:
            call.answer = explain_placement(planner, call.job)
        except Exception as error:
            # A job that cannot be decided on must not end the term.
            logger.exception("event=placement_not_explained")
            call.error = f"{type(error).__name__}: {error}"
        with self._lock:
            self._lock.notify_all()
