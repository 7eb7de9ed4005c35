"""Sums the counters of refusals that the connected agents keep."""

import asyncio
import json
from collections import Counter
from datetime import timedelta

from chicorycrank.entry.directory import Directory, Target
from chicorycrank.model.ids import Incarnation, TargetId
from chicorycrank.model.messages import QueryState, Text
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import LinkError

TIMEOUT = timedelta(seconds=2)
# An agent's state has about 1 KB; asked once a minute it costs a fraction of its 5 KB/s.
INTERVAL_S = 60.0
MAX_CONCURRENT = 16
MAX_EVENTS = 100
MAX_AGENTS = 2000


class AgentCounters:
    """Refusals at the agents by event, growing over restarts of agents.

    The agents are asked at most once a minute, and only while somebody reads the metrics.
    """

    def __init__(self, directory: Directory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._seen_by_agent: dict[tuple[TargetId, Incarnation], Counter[str]] = {}
        self._asked_at: float | None = None
        self._limit = asyncio.Semaphore(MAX_CONCURRENT)
        self.refusals: Counter[str] = Counter()

    async def refresh(self) -> None:
        """Ask the connected agents unless they were asked within the last minute."""
        now = self._clock.monotonic()
        if self._asked_at is not None and now - self._asked_at < INTERVAL_S:
            return
        self._asked_at = now
        targets = list(self._directory.targets_by_id.values())
        await asyncio.gather(*(self._ask(target) for target in targets))
        # An agent that lost its connection may come back with its counters, so the others stay.
        for agent in list(self._seen_by_agent)[:-MAX_AGENTS]:
            del self._seen_by_agent[agent]

    async def _ask(self, target: Target) -> None:
        async with self._limit:
            try:
                reply = await target.link.request(QueryState(target.target_id), timeout=TIMEOUT)
            except LinkError:
                return
        if isinstance(reply, Text):
            self._add(target, _read(reply.text))

    def _add(self, target: Target, counts: Counter[str]) -> None:
        """Add what an agent counted since it was asked last."""
        agent = (target.target_id, target.incarnation)
        for event, count in (counts - self._seen_by_agent.get(agent, Counter())).items():
            if event in self.refusals or len(self.refusals) < MAX_EVENTS:
                self.refusals[event] += count
        self._seen_by_agent.pop(agent, None)  # the dictionary is in the order of the last reply
        self._seen_by_agent[agent] = counts


def _read(text: str) -> Counter[str]:
    """Return the counters in an agent's state; agents of other versions may have none."""
    try:
        refused = json.loads(text).get("refused", {})
        return Counter({str(event): int(count) for event, count in refused.items()})
    except (ValueError, AttributeError, TypeError):
        return Counter()
