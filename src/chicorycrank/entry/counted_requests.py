"""Counts requests by outcome and class."""

from collections import Counter

from chicorycrank.entry.claims import ClaimLog
from chicorycrank.entry.directory import Directory
from chicorycrank.entry.requests import RequestFront
from chicorycrank.model.requests import Answer, Outcome, Request, RequestClass
from chicorycrank.ports.clock import Clock


class CountedRequests(RequestFront):
    """A request front that counts its answers."""

    def __init__(self, directory: Directory, claims: ClaimLog, clock: Clock) -> None:
        super().__init__(directory, claims, clock)
        self.answers: Counter[tuple[Outcome, RequestClass]] = Counter()

    async def answer(self, request: Request) -> Answer:
        """Run a request, count its outcome and return it."""
        answer = await super().answer(request)
        self.answers[answer.outcome, request.request_class] += 1
        return answer
