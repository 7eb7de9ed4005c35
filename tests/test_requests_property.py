"""Random sessions: at most once and truthful ``not_run`` under any order of failures."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.jumping_clock import ManualClock
from tests.request_fakes import World, make_request, run_world

from chicorycrank.model.requests import Answer, Outcome

KEYS = ("a", "b")
ENTRIES = ("entry-0", "entry-1")
AGENTS = ("exec-0", "exec-1")
LINK_FAULTS = ("request lost", "request late", "reply lost", "reply lost at once", "foreign answer")
SETTLE = timedelta(seconds=60)


@dataclass(frozen=True)
class Step:
    """One event of a session, ``after`` seconds after the one before."""

    kind: str
    entry: str
    agent: str
    key: str
    fault: str
    after: float


STEPS = st.lists(
    st.builds(
        Step,
        kind=st.sampled_from(
            ("send", "send", "send", "kill", "restart", "reconnect", "link", "store", "pause")
        ),
        entry=st.sampled_from(ENTRIES),
        agent=st.sampled_from(AGENTS),
        key=st.sampled_from(KEYS),
        fault=st.sampled_from(LINK_FAULTS),
        after=st.sampled_from((0.0, 0.003, 0.02, 0.3, 2.0)),
    ),
    min_size=4,
    max_size=16,
)


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(steps=STEPS, repeatable=st.booleans())
def test_session_keeps_promises(steps: list[Step], repeatable: bool) -> None:
    """Guards against doubled runs and false refusals that no listed scenario contains."""
    world = World(ManualClock())
    sent: list[tuple[str, asyncio.Task[Answer]]] = []

    async def session() -> None:
        for name in ENTRIES:
            world.add_entry(name)
        for name in AGENTS:
            world.add_agent(name).service_s = 0.5
        for step in steps:
            await world.clock.sleep(timedelta(seconds=step.after))
            apply(world, step, sent, repeatable)
        world.store.is_down = False
        for name in AGENTS:
            world.connect(name)
        await world.clock.sleep(SETTLE)

    run_world(world.clock.run(session()))
    check(world, sent, repeatable)


def apply(
    world: World, step: Step, sent: list[tuple[str, "asyncio.Task[Answer]"]], repeatable: bool
) -> None:
    link: Any = world.link(step.entry, step.agent)
    match step.kind:
        case "send":
            request = make_request(step.key, repeatable=repeatable, deadline_s=5.0)
            sent.append((step.key, world.send(step.entry, request)))
        case "kill":
            for _, task in sent:
                task.cancel()
        case "restart":
            world.agent_by_id[step.agent].restart()
            world.connect(step.agent)
        case "reconnect":
            world.connect(step.agent)
        case "link":
            link.faults.append(step.fault)
        case "pause":
            link.pause_s = 3.0
        case "store":
            world.store.lost_replies += 1
            world.store.is_down = step.fault == "request lost"


def check(world: World, sent: list[tuple[str, "asyncio.Task[Answer]"]], repeatable: bool) -> None:
    for key in KEYS:
        answers = [t.result() for k, t in sent if k == key and t.done() and not t.cancelled()]
        outcomes = [answer.outcome for answer in answers]
        assert all(t.done() for k, t in sent if k == key), "a request has no outcome"
        runs = world.runs(key)
        for answer in answers:
            if answer.outcome is Outcome.COMPLETED:
                assert answer.body == b'{"key":"%s"}' % key.encode()
        if not repeatable:
            assert runs <= 1, outcomes
            was_killed = any(t.cancelled() for k, t in sent if k == key)
            if outcomes and set(outcomes) == {Outcome.NOT_RUN} and not was_killed:
                assert runs == 0, "not_run, but an executor ran it"
        elif (
            outcomes
            and set(outcomes) == {Outcome.NOT_RUN}
            and len(outcomes) == len([k for k, _ in sent if k == key])
        ):
            assert runs == 0, "not_run, but an executor ran it"
        if Outcome.COMPLETED in outcomes or Outcome.FAILED in outcomes:
            assert runs >= 1
