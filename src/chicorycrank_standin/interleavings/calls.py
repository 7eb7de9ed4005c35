"""Calls between processes, which may be lost, applied late, or answered late or not at all."""

from collections.abc import Callable
from typing import TypeVar

from chicorycrank_standin.interleavings.choices import Kind
from chicorycrank_standin.interleavings.scheduler import Scheduler

Answer = TypeVar("Answer")

LATENCY_S = 0.002


class CallStruckError(Exception):
    """A call has no answer."""


class Calls:
    """Calls of the running threads.

    :ivar struck_by_thread: kind and amount of the choice that strikes the call that a thread makes
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self.struck_by_thread: dict[str, tuple[Kind, float]] = {}

    def make(
        self,
        name: str,
        work: Callable[[], Answer],
        timeout_s: float,
        *,
        apply_late: Callable[[], object] | None = None,
    ) -> Answer:
        """Make a call.

        :param work: applies it and returns the answer
        :param apply_late: applies it without waiting for an answer; ``work`` if None
        :raises CallStruckError: no answer
        """
        scheduler = self._scheduler
        scheduler.point(name, is_call=True)
        kind, amount_s = self.struck_by_thread.pop(scheduler.current.name, (None, 0.0))
        scheduler.sleep(LATENCY_S)
        if kind is None:
            answer = work()
        elif kind is Kind.SLOW:
            answer = work()
            scheduler.sleep(amount_s)
        else:
            if kind is Kind.UNANSWERED:
                self._apply(apply_late or work)
            elif kind is Kind.LATE:
                scheduler.at(scheduler.now_s + amount_s, lambda: self._apply(apply_late or work))
            scheduler.sleep(timeout_s)
            raise CallStruckError(f"{name}: no answer")
        scheduler.point(f"{name} answered")
        return answer

    def _apply(self, work: Callable[[], object]) -> None:
        try:
            work()
        except Exception as error:
            # Nobody gets the answer.
            self._scheduler.note(f"unanswered call has no effect: {type(error).__name__}")
