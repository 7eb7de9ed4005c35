"""Asking several entries at once, and the agents' counters, on a virtual clock."""

import asyncio
import json
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, TypeVar, cast

import pytest
from tests.virtual_time import VirtualClock, VirtualLoop

from chicorycrank.adapters.peers import PeerLink
from chicorycrank.entry.agent_counters import AgentCounters
from chicorycrank.entry.asking import ask_first
from chicorycrank.entry.directory import Directory
from chicorycrank.entry.http_common import CALL_MARGIN_S
from chicorycrank.model.ids import Incarnation, RegionId, ZoneId
from chicorycrank.model.messages import AnyMessage, Hello, Ok, QueryState, Refused, Role, Text
from chicorycrank.model.targets import TargetKind
from chicorycrank.ports.links import Link, LinkError, LinkNotSentError

T = TypeVar("T")
MESSAGE = QueryState("somebody")


class ScriptedLink:
    """A link that gives one reply; without a reply it stays silent."""

    def __init__(self, reply: AnyMessage | None, name: str = "peer", life: str = "1") -> None:
        self.reply = reply
        self.asked = 0
        region = RegionId("north")
        self.peer = Hello(
            1, Role.AGENT, name, Incarnation(life), region, ZoneId("a"), "", target_kind=KIND
        )

    async def request(self, message: AnyMessage, *, timeout: timedelta) -> AnyMessage:
        """Return the reply."""
        self.asked += 1
        if self.reply is CLOSED:
            raise LinkNotSentError("closed")
        if self.reply is None:
            await asyncio.sleep(timeout.total_seconds())
            raise LinkError("silent")
        return self.reply


KIND = TargetKind.EXECUTOR
SILENT = None
HERE = Ok()
CLOSED = Refused("closed")
ELSEWHERE = Refused("no_such_target")


def run(work: Coroutine[Any, Any, T], loop: VirtualLoop) -> T:
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()


@pytest.mark.parametrize(
    ("replies", "expected", "limit_s"),
    [
        ([HERE, HERE, HERE], HERE, 0.01),
        ([SILENT, SILENT, SILENT, HERE], HERE, 1.0),
        ([ELSEWHERE, SILENT, HERE], HERE, 1.0),
        ([ELSEWHERE] * 3, "no_such_target", 1.0),
        ([SILENT] * 40 + [HERE], HERE, CALL_MARGIN_S - 0.5),
        ([SILENT] * 40, "no_reply", CALL_MARGIN_S - 0.5),
        ([ELSEWHERE, SILENT], "no_reply", 3.0),
        ([CLOSED, ELSEWHERE, CLOSED], "no_such_target", 1.0),
        ([CLOSED], "unreachable", 0.01),
        ([], "unreachable", 0.01),
    ],
)
def test_silent_entries(
    replies: list[AnyMessage | None], expected: AnyMessage | str, limit_s: float
) -> None:
    """Guards against silent entries that use up a call's time, or are taken for a refusal."""
    loop = VirtualLoop()
    clock = VirtualClock(loop)
    links = [ScriptedLink(reply) for reply in replies]
    started = clock.monotonic()
    asked = cast(list[Link], links)
    reply = run(ask_first(asked, MESSAGE, clock, lambda r: isinstance(r, Ok)), loop)
    assert expected in (reply, getattr(reply, "code", None))
    assert clock.monotonic() - started <= limit_s


def test_one_reply_crosses_regions() -> None:
    """Guards against traffic between regions from entries that need not be asked."""
    loop = VirtualLoop()
    links = [ScriptedLink(HERE) for _ in range(3)]
    clock = VirtualClock(loop)
    run(ask_first(cast(list[Link], links), MESSAGE, clock, lambda r: isinstance(r, Ok)), loop)
    assert [link.asked for link in links] == [1, 0, 0]


def test_agent_counters() -> None:
    """Guards against refusals counted twice, lost at an agent's restart or asked for too often."""
    loop = VirtualLoop()
    clock = VirtualClock(loop)
    directory = Directory()

    def connect(name: str, life: str, count: int) -> ScriptedLink:
        text = json.dumps({"refused": {"stale_epoch": count}}) if count else "[]"
        link = ScriptedLink(Text(text), name, life)
        directory.add_target(cast(PeerLink, link))
        return link

    async def scrape() -> int:
        await counters.refresh()
        return counters.refusals_by_event["stale_epoch"]

    async def session() -> None:
        first = connect("exec-1", "1", 3)
        connect("exec-2", "1", 0)
        assert await scrape() == 3
        connect("exec-1", "2", 2)
        assert await scrape() == 3
        await clock.sleep(timedelta(seconds=61))
        assert await scrape() == 5
        directory.targets_by_id.clear()
        await clock.sleep(timedelta(seconds=61))
        assert await scrape() == 5
        connect("exec-1", "2", 4)
        await clock.sleep(timedelta(seconds=61))
        assert await scrape() == 7
        assert first.asked == 1

    counters = AgentCounters(directory, clock)
    run(session(), loop)
