"""A whole session of requests against the fakes, compared with a golden file."""

import asyncio
import itertools
import re
from collections.abc import Callable
from typing import Any

from syrupy.assertion import SnapshotAssertion
from tests.jumping_clock import ManualClock
from tests.request_fakes import World, make_request, run_world

from chicorycrank.adapters.codec import decode
from chicorycrank.model.requests import Answer, Claim

ENTRIES = ("entry-0", "entry-1")
EXECUTORS = ("exec-0", "exec-1")
ID = re.compile(r"\b[0-9a-f]{32}\b")


class Session:
    """Sends requests and writes what callers, executors and the store saw."""

    def __init__(self) -> None:
        self.world = World(ManualClock())
        for entry in ENTRIES:
            self.world.add_entry(entry)
        for executor in EXECUTORS:
            self.world.add_agent(executor)
        self.lines: list[str] = []
        self._name_by_id: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self._ran = dict.fromkeys(EXECUTORS, 0)

    def note(self, text: str) -> None:
        """Write a line."""
        self.lines.append(ID.sub(lambda match: self._name(match[0]), text))

    async def send(self, entry: str, key: str, *, repeatable: bool = False) -> None:
        """Send a request through an entry and write its outcome beside the executors' records."""
        kind = "repeatable" if repeatable else "non-repeatable"
        answer = await self.world.send(entry, make_request(key, repeatable=repeatable))
        self.write(f"{entry} {kind} {key}", answer)

    def write(self, title: str, answer: Answer) -> None:
        """Write an outcome beside what was sent to the agents and what the executors have run."""
        self.note(
            f"{title}: {answer.outcome.value} {answer.body.decode()} {answer.detail}".rstrip()
        )
        for executor in EXECUTORS:
            record = self.world.agent_by_id[executor].record
            new = record[self._ran[executor] :]
            self._ran[executor] = len(record)
            sent = [m for entry in ENTRIES for m in self._take_sent(entry, executor)]
            if sent:
                runs = ", ".join(new) or "nothing"
                self.note(f"    {executor} was sent {', '.join(sent)} and ran {runs}")

    def write_claims(self) -> None:
        """Write the claims in the store."""
        self.note("claims in the store")
        claims: list[Claim] = []
        for entry in self.world.store.entry_by_key.values():
            claims += decode(entry.value, list[Claim])
        for claim in sorted(claims, key=lambda c: c.claimed_at):
            outcome = claim.answer.outcome.value if claim.answer else "-"
            state = f"{claim.state.value} at {claim.target}"
            self.note(f"    {claim.key} nonce {claim.nonce} {state}: {outcome}")

    def _take_sent(self, entry: str, executor: str) -> list[str]:
        """Return the kinds of the messages since the last call, repeated ones with their number."""
        sent = self.world.link(entry, executor).sent
        kinds = [
            (name, len(list(g))) for name, g in itertools.groupby(type(m).__name__ for m in sent)
        ]
        sent.clear()
        return [name if number == 1 else f"{number} {name}" for name, number in kinds]

    def _name(self, value: str) -> str:
        if value not in self._name_by_id:
            self._name_by_id[value] = f"id-{next(self._numbers)}"
        return self._name_by_id[value]


def lose(world: World, fault: str) -> None:
    """Let a fault meet the first message, whichever executor is chosen."""
    for executor in EXECUTORS:
        world.link("entry-0", executor).faults = [fault]


def set_agents(world: World, **faults: Any) -> None:
    """Set faults of both executors."""
    for agent in world.agent_by_id.values():
        for name, value in faults.items():
            setattr(agent, name, value)


FAULTS: dict[str, Callable[[World], None]] = {
    "no failure": lambda world: None,
    "the store's reply is lost": lambda world: setattr(world.store, "lost_replies", 1),
    "the store is down": lambda world: setattr(world.store, "is_down", True),
    "the agent's reply is lost": lambda world: lose(world, "reply lost"),
    "the request is lost": lambda world: lose(world, "request lost"),
    "the request arrives late": lambda world: lose(world, "request late"),
    "a foreign answer arrives": lambda world: lose(world, "foreign answer"),
    "each executor cuts its first answer": lambda world: set_agents(world, cut=1),
    "each executor fails its first request": lambda world: set_agents(world, fails=1),
    "both executors leave": lambda world: set_agents(world, refusal="draining"),
}


def clear(world: World) -> None:
    """Undo all faults."""
    world.store.is_down = False
    world.store.lost_replies = 0
    set_agents(world, cut=0, fails=0, refusal="")
    for executor in EXECUTORS:
        world.link("entry-0", executor).faults = []


async def play(session: Session) -> None:
    world = session.world
    for number, (name, inject) in enumerate(FAULTS.items()):
        session.note(f"-- {name}")
        inject(world)
        await session.send("entry-0", f"order-{number}")
        clear(world)
        session.note("   the same key once more, without the failure")
        await session.send("entry-1", f"order-{number}")
        inject(world)
        await session.send("entry-0", f"scan-{number}", repeatable=True)
        clear(world)
    session.note("-- the same key through both entries at the same time")
    tasks = [world.send(entry, make_request("order-both")) for entry in ENTRIES]
    for entry, answer in zip(ENTRIES, await asyncio.gather(*tasks), strict=True):
        session.write(f"{entry} non-repeatable order-both", answer)
    session.note("-- a key that was used with another body")
    answer = await world.send("entry-1", make_request("order-both", body=b"[]"))
    session.write("entry-1 non-repeatable order-both", answer)


def test_session_of_requests(snapshot: SnapshotAssertion) -> None:
    """Guards against a changed outcome, run, claim or message anywhere in a session."""
    session = Session()
    run_world(session.world.clock.run(play(session)))
    session.write_claims()
    assert "\n".join(session.lines) == snapshot
