"""Random sessions: at most one run and correct ``not_run`` outcomes in any order of failures."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.manual_clock import ManualClock
from tests.request_fakes import FakeCluster, make_request, run_async

from chicorycrank.model.requests import Answer, Outcome

KEYS = ("a", "b")
ENTRIES = ("entry-0", "entry-1")
AGENTS = ("exec-0", "exec-1")
LINK_FAULTS = (
    "request lost",
    "request delayed",
    "reply lost",
    "connection lost after delivery",
    "answer of another attempt",
)
SETTLE_TIME = timedelta(seconds=60)


@dataclass(frozen=True)
class Step:
    """One event of a session, ``after_s`` seconds after the previous one."""

    kind: str
    entry: str
    agent: str
    key: str
    fault: str
    after_s: float


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
        after_s=st.sampled_from((0.0, 0.003, 0.02, 0.3, 2.0)),
    ),
    min_size=4,
    max_size=16,
)


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(steps=STEPS, repeatable=st.booleans())
def test_random_session_has_truthful_outcomes(steps: list[Step], repeatable: bool) -> None:
    """Guards against repeated runs and false ``not_run`` outcomes in combinations of failures."""
    cluster = FakeCluster(ManualClock())
    sent: list[tuple[str, asyncio.Task[Answer]]] = []

    async def session() -> None:
        for name in ENTRIES:
            cluster.add_entry(name)
        for name in AGENTS:
            cluster.add_agent(name).service_time_s = 0.5
        for step in steps:
            await cluster.clock.sleep(timedelta(seconds=step.after_s))
            apply_step(cluster, step, sent, repeatable)
        cluster.store.is_down = False
        for name in AGENTS:
            cluster.connect(name)
        await cluster.clock.sleep(SETTLE_TIME)

    run_async(cluster.clock.run(session()))
    check_answers(cluster, sent, repeatable)


def apply_step(
    cluster: FakeCluster,
    step: Step,
    sent: list[tuple[str, "asyncio.Task[Answer]"]],
    repeatable: bool,
) -> None:
    link: Any = cluster.link(step.entry, step.agent)
    match step.kind:
        case "send":
            request = make_request(step.key, repeatable=repeatable, deadline_s=5.0)
            sent.append((step.key, cluster.send(step.entry, request)))
        case "kill":
            for _, task in sent:
                task.cancel()
        case "restart":
            cluster.agent_by_id[step.agent].restart()
            cluster.connect(step.agent)
        case "reconnect":
            cluster.connect(step.agent)
        case "link":
            link.faults.append(step.fault)
        case "pause":
            link.next_send_delay_s = 3.0
        case "store":
            cluster.store.lost_replies += 1
            cluster.store.is_down = step.fault == "request lost"


def check_answers(
    cluster: FakeCluster, sent: list[tuple[str, "asyncio.Task[Answer]"]], repeatable: bool
) -> None:
    for key in KEYS:
        answers = [t.result() for k, t in sent if k == key and t.done() and not t.cancelled()]
        outcomes = [answer.outcome for answer in answers]
        assert all(t.done() for k, t in sent if k == key), "a request has no outcome"
        run_count = cluster.count_runs(key)
        for answer in answers:
            if answer.outcome is Outcome.COMPLETED:
                assert answer.body == b'{"key":"%s"}' % key.encode()
        if not repeatable:
            assert run_count <= 1, outcomes
            was_killed = any(t.cancelled() for k, t in sent if k == key)
            if outcomes and set(outcomes) == {Outcome.NOT_RUN} and not was_killed:
                assert run_count == 0, "not_run, but an executor ran it"
        elif (
            outcomes
            and set(outcomes) == {Outcome.NOT_RUN}
            and len(outcomes) == len([k for k, _ in sent if k == key])
        ):
            assert run_count == 0, "not_run, but an executor ran it"
        if Outcome.COMPLETED in outcomes or Outcome.FAILED in outcomes:
            assert run_count >= 1
