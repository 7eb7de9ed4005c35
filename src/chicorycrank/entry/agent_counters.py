"""Sum the refusal counters of the connected agents."""

import asyncio
import json
from collections import Counter
from datetime import timedelta

from chicorycrank.entry.directory import Directory, Target
from chicorycrank.model.ids import Incarnation, TargetId
from chicorycrank.model.messages import QueryState, Text
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import LinkError

QUERY_TIMEOUT = timedelta(seconds=2)
# An agent's state has about 1 KB. One query a minute is a small part of an agent's traffic limit of
# 5 KB/s.
MIN_REFRESH_INTERVAL_S = 60.0
MAX_CONCURRENT_QUERIES = 16
MAX_EVENTS = 100
MAX_RECORDED_AGENTS = 2000


class AgentCounters:
    """Number of refusals at the agents by event, which does not decrease when an agent restarts.

    The agents are queried at most once a minute, and only when the metrics are read.
    """

    def __init__(self, directory: Directory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._counts_by_agent: dict[tuple[TargetId, Incarnation], Counter[str]] = {}
        self._refreshed_at_s: float | None = None
        self._query_semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        self.refusals_by_event: Counter[str] = Counter()

    async def refresh(self) -> None:
        """Query the connected agents unless they were queried within the last minute."""
        now = self._clock.monotonic()
        if self._refreshed_at_s is not None and now - self._refreshed_at_s < MIN_REFRESH_INTERVAL_S:
            return
        self._refreshed_at_s = now
        targets = list(self._directory.targets_by_id.values())
        await asyncio.gather(*(self._query(target) for target in targets))
        # A disconnected agent may reconnect with its counters, so its counts stay up to the limit.
        for agent in list(self._counts_by_agent)[:-MAX_RECORDED_AGENTS]:
            del self._counts_by_agent[agent]

    async def _query(self, target: Target) -> None:
        async with self._query_semaphore:
            try:
                reply = await target.link.request(
                    QueryState(target.target_id), timeout=QUERY_TIMEOUT
                )
            except LinkError:
                return
        if isinstance(reply, Text):
            self._add_counts(target, _parse_counts(reply.text))

    def _add_counts(self, target: Target, counts: Counter[str]) -> None:
        """Add the refusals that an agent counted since its previous reply."""
        agent = (target.target_id, target.incarnation)
        for event, count in (counts - self._counts_by_agent.get(agent, Counter())).items():
            if event in self.refusals_by_event or len(self.refusals_by_event) < MAX_EVENTS:
                self.refusals_by_event[event] += count
        self._counts_by_agent.pop(agent, None)  # the dictionary is ordered by the last reply
        self._counts_by_agent[agent] = counts


def _parse_counts(text: str) -> Counter[str]:
    """Return the counters in an agent's state; other versions of the agent may have none."""
    try:
        refused = json.loads(text).get("refused", {})
        return Counter({str(event): int(count) for event, count in refused.items()})
    except (ValueError, AttributeError, TypeError):
        return Counter()
