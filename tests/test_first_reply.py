"""Messages to several entries and the sums of the agents' counters, on a virtual clock."""

import asyncio
import json
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, TypeVar, cast

import pytest
from tests.virtual_time import VirtualClock, VirtualLoop

from chicorycrank.adapters.peers import PeerLink
from chicorycrank.entry.agent_counters import AgentCounters
from chicorycrank.entry.directory import Directory
from chicorycrank.entry.first_reply import request_first_accepted
from chicorycrank.entry.http_common import CALL_MARGIN_S
from chicorycrank.model.ids import Incarnation, RegionId, ZoneId
from chicorycrank.model.messages import AnyMessage, Hello, Ok, QueryState, Refused, Role, Text
from chicorycrank.model.targets import TargetKind
from chicorycrank.ports.links import Link, LinkError, MessageNotSentError

T = TypeVar("T")
MESSAGE = QueryState("somebody")


class ScriptedLink:
    """Link that returns one reply, or does not reply before the timeout."""

    def __init__(
        self, reply: AnyMessage | None, name: str = "peer", incarnation: str = "1"
    ) -> None:
        self.reply = reply
        self.request_count = 0
        region = RegionId("north")
        self.peer = Hello(
            1,
            Role.AGENT,
            name,
            Incarnation(incarnation),
            region,
            ZoneId("a"),
            "",
            target_kind=TARGET_KIND,
        )

    async def request(self, message: AnyMessage, *, timeout: timedelta) -> AnyMessage:
        """Return the reply or raise the error of a closed or unresponsive link."""
        self.request_count += 1
        if self.reply is LINK_CLOSED:
            raise MessageNotSentError("closed")
        if self.reply is None:
            await asyncio.sleep(timeout.total_seconds())
            raise LinkError("no reply before the timeout")
        return self.reply


TARGET_KIND = TargetKind.EXECUTOR
NO_REPLY = None
ACCEPTED = Ok()
LINK_CLOSED = Refused("closed")
NO_SUCH_TARGET = Refused("no_such_target")


def run(work: Coroutine[Any, Any, T], loop: VirtualLoop) -> T:
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()


@pytest.mark.parametrize(
    ("replies", "expected", "limit_s"),
    [
        ([ACCEPTED, ACCEPTED, ACCEPTED], ACCEPTED, 0.01),
        ([NO_REPLY, NO_REPLY, NO_REPLY, ACCEPTED], ACCEPTED, 1.0),
        ([NO_SUCH_TARGET, NO_REPLY, ACCEPTED], ACCEPTED, 1.0),
        ([NO_SUCH_TARGET] * 3, "no_such_target", 1.0),
        ([NO_REPLY] * 40 + [ACCEPTED], ACCEPTED, CALL_MARGIN_S - 0.5),
        ([NO_REPLY] * 40, "no_reply", CALL_MARGIN_S - 0.5),
        ([NO_SUCH_TARGET, NO_REPLY], "no_reply", 3.0),
        ([LINK_CLOSED, NO_SUCH_TARGET, LINK_CLOSED], "no_such_target", 1.0),
        ([LINK_CLOSED], "unreachable", 0.01),
        ([], "unreachable", 0.01),
    ],
)
def test_unresponsive_entries(
    replies: list[AnyMessage | None], expected: AnyMessage | str, limit_s: float
) -> None:
    """Guards against unresponsive entries that use up a call's time or count as a refusal."""
    loop = VirtualLoop()
    clock = VirtualClock(loop)
    links = [ScriptedLink(reply) for reply in replies]
    started_at_s = clock.monotonic()
    typed_links = cast(list[Link], links)
    reply = run(
        request_first_accepted(typed_links, MESSAGE, clock, lambda r: isinstance(r, Ok)), loop
    )
    assert expected in (reply, getattr(reply, "code", None))
    assert clock.monotonic() - started_at_s <= limit_s


def test_prompt_reply_avoids_other_requests() -> None:
    """Guards against traffic between regions to entries that need no message after a reply."""
    loop = VirtualLoop()
    links = [ScriptedLink(ACCEPTED) for _ in range(3)]
    clock = VirtualClock(loop)
    run(
        request_first_accepted(
            cast(list[Link], links), MESSAGE, clock, lambda r: isinstance(r, Ok)
        ),
        loop,
    )
    assert [link.request_count for link in links] == [1, 0, 0]


def test_agent_counters() -> None:
    """Guards against refusals that are counted twice, lost at a restart or queried too often."""
    loop = VirtualLoop()
    clock = VirtualClock(loop)
    directory = Directory()

    def connect(name: str, incarnation: str, count: int) -> ScriptedLink:
        text = json.dumps({"refused": {"stale_epoch": count}}) if count else "[]"
        link = ScriptedLink(Text(text), name, incarnation)
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
        assert first.request_count == 1

    counters = AgentCounters(directory, clock)
    run(session(), loop)
