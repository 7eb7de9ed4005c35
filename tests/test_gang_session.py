"""One whole gang session, compared with a golden file."""

import asyncio
import re

import msgspec
from syrupy.assertion import SnapshotAssertion
from tests.fakes.gangs import Cluster
from tests.virtual_time import VirtualLoop

from chicorycrank.model.messages import AnyMessage


def show(message: AnyMessage) -> str:
    """Return a message in one line."""
    fields = msgspec.to_builtins(message)
    names = type(message).__struct_fields__
    values = dict(zip(names, fields[1:], strict=False)) if isinstance(fields, list) else fields
    return f"{type(message).__name__} {values}"


def normalise(lines: list[str]) -> list[str]:
    """Replace ids by numbers in the order of their first appearance."""
    numbers: dict[str, str] = {}

    def number(match: re.Match[str]) -> str:
        return numbers.setdefault(match[0], f"<id {len(numbers) + 1}>")

    return [re.sub(r"job-\d+", number, line) for line in lines]


def test_whole_session(snapshot: SnapshotAssertion) -> None:
    """Guards against a change of the steps of a gang, their order or their fields."""
    loop = VirtualLoop()

    async def act() -> list[str]:
        cluster = Cluster(loop, 2)
        begin = loop.time()
        await asyncio.sleep(0.1)  # The agents read their workers' tasks.
        await cluster.start_gang(work_s=2.5)
        await asyncio.sleep(10.0)
        lines = [
            f"{at - begin:.1f} s {source} to {target}: {show(message)}"
            for at, source, target, message in cluster.messages
        ]
        lines += [f"{e.at - begin:.1f} s {e.worker}: task {e.kind}" for e in cluster.events]
        for node in cluster.nodes:
            node.background.cancel_all()
        return lines

    lines = loop.run_until_complete(act())
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
    assert normalise(lines) == snapshot
