"""Session of requests with in-memory fakes, compared with a snapshot."""

import asyncio
import itertools
import re
from collections.abc import Callable
from typing import Any

from syrupy.assertion import SnapshotAssertion
from tests.manual_clock import ManualClock
from tests.request_fakes import FakeCluster, make_request, run_async

from chicorycrank.adapters.codec import decode
from chicorycrank.model.requests import Answer, Claim

ENTRIES = ("entry-0", "entry-1")
EXECUTORS = ("exec-0", "exec-1")
HEX_ID = re.compile(r"\b[0-9a-f]{32}\b")


class Session:
    """Sends requests and records what callers, executors and the store received."""

    def __init__(self) -> None:
        self.cluster = FakeCluster(ManualClock())
        for entry in ENTRIES:
            self.cluster.add_entry(entry)
        for executor in EXECUTORS:
            self.cluster.add_agent(executor)
        self.lines: list[str] = []
        self._name_by_id: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self._run_count_by_executor = dict.fromkeys(EXECUTORS, 0)

    def add_line(self, text: str) -> None:
        """Add a line to the record, with short names instead of random ids."""
        self.lines.append(HEX_ID.sub(lambda match: self._short_name(match[0]), text))

    async def send(self, entry: str, key: str, *, repeatable: bool = False) -> None:
        """Send a request through an entry and record its outcome and the executors' runs."""
        kind = "repeatable" if repeatable else "non-repeatable"
        answer = await self.cluster.send(entry, make_request(key, repeatable=repeatable))
        self.write_outcome(f"{entry} {kind} {key}", answer)

    def write_outcome(self, title: str, answer: Answer) -> None:
        """Record an outcome, the messages to the agents and the runs of the executors."""
        self.add_line(
            f"{title}: {answer.outcome.value} {answer.body.decode()} {answer.detail}".rstrip()
        )
        for executor in EXECUTORS:
            ran_keys = self.cluster.agent_by_id[executor].ran_keys
            new_keys = ran_keys[self._run_count_by_executor[executor] :]
            self._run_count_by_executor[executor] = len(ran_keys)
            sent = [m for entry in ENTRIES for m in self._drain_sent(entry, executor)]
            if sent:
                runs = ", ".join(new_keys) or "nothing"
                self.add_line(f"    {executor} was sent {', '.join(sent)} and ran {runs}")

    def write_claims(self) -> None:
        """Record the claims in the store."""
        self.add_line("claims in the store")
        claims: list[Claim] = []
        for stored in self.cluster.store.entry_by_key.values():
            claims += decode(stored.value, list[Claim])
        for claim in sorted(claims, key=lambda c: c.claimed_at):
            outcome = claim.answer.outcome.value if claim.answer else "-"
            state = f"{claim.state.value} at {claim.target}"
            self.add_line(f"    {claim.key} nonce {claim.nonce} {state}: {outcome}")

    def _drain_sent(self, entry: str, executor: str) -> list[str]:
        """Return the types of the messages since the last call, with the number of repetitions."""
        sent = self.cluster.link(entry, executor).sent
        kinds = [
            (name, len(list(g))) for name, g in itertools.groupby(type(m).__name__ for m in sent)
        ]
        sent.clear()
        return [name if number == 1 else f"{number} {name}" for name, number in kinds]

    def _short_name(self, value: str) -> str:
        if value not in self._name_by_id:
            self._name_by_id[value] = f"id-{next(self._numbers)}"
        return self._name_by_id[value]


def inject_link_fault(cluster: FakeCluster, fault: str) -> None:
    """Inject a fault into the first message to each executor."""
    for executor in EXECUTORS:
        cluster.link("entry-0", executor).faults = [fault]


def set_agent_faults(cluster: FakeCluster, **faults: Any) -> None:
    """Set attributes of the fake agents of both executors."""
    for agent in cluster.agent_by_id.values():
        for name, value in faults.items():
            setattr(agent, name, value)


FAULTS: dict[str, Callable[[FakeCluster], None]] = {
    "no failure": lambda cluster: None,
    "the store's reply is lost": lambda cluster: setattr(cluster.store, "lost_replies", 1),
    "the store is down": lambda cluster: setattr(cluster.store, "is_down", True),
    "the agent's reply is lost": lambda cluster: inject_link_fault(cluster, "reply lost"),
    "the request is lost": lambda cluster: inject_link_fault(cluster, "request lost"),
    "the request arrives late": lambda cluster: inject_link_fault(cluster, "request delayed"),
    "an answer of another attempt arrives": lambda cluster: inject_link_fault(
        cluster, "answer of another attempt"
    ),
    "each executor truncates its first answer": lambda cluster: set_agent_faults(
        cluster, truncations_left=1
    ),
    "each executor fails its first request": lambda cluster: set_agent_faults(
        cluster, failures_left=1
    ),
    "both executors are draining": lambda cluster: set_agent_faults(
        cluster, refusal_code="draining"
    ),
}


def clear_faults(cluster: FakeCluster) -> None:
    """Clear all faults."""
    cluster.store.is_down = False
    cluster.store.lost_replies = 0
    set_agent_faults(cluster, truncations_left=0, failures_left=0, refusal_code="")
    for executor in EXECUTORS:
        cluster.link("entry-0", executor).faults = []


async def run_session(session: Session) -> None:
    cluster = session.cluster
    for number, (name, inject_fault) in enumerate(FAULTS.items()):
        session.add_line(f"-- {name}")
        inject_fault(cluster)
        await session.send("entry-0", f"order-{number}")
        clear_faults(cluster)
        session.add_line("   the same key once more, without the failure")
        await session.send("entry-1", f"order-{number}")
        inject_fault(cluster)
        await session.send("entry-0", f"scan-{number}", repeatable=True)
        clear_faults(cluster)
    session.add_line("-- the same key through both entries at the same time")
    tasks = [cluster.send(entry, make_request("order-both")) for entry in ENTRIES]
    for entry, answer in zip(ENTRIES, await asyncio.gather(*tasks), strict=True):
        session.write_outcome(f"{entry} non-repeatable order-both", answer)
    session.add_line("-- a key that was used with another body")
    answer = await cluster.send("entry-1", make_request("order-both", body=b"[]"))
    session.write_outcome("entry-1 non-repeatable order-both", answer)


def test_session_of_requests(snapshot: SnapshotAssertion) -> None:
    """Guards against changes of outcomes, runs, claims and messages in a session."""
    session = Session()
    run_async(session.cluster.clock.run(run_session(session)))
    session.write_claims()
    assert "\n".join(session.lines) == snapshot
