"""Messages and task events of one gang from start to end, compared with a snapshot."""

import asyncio
import re

import msgspec
from syrupy.assertion import SnapshotAssertion
from tests.fakes.gangs import Cluster
from tests.virtual_time import VirtualLoop

from chicorycrank.model.messages import AnyMessage


def format_message(message: AnyMessage) -> str:
    """Format a message as one line."""
    fields = msgspec.to_builtins(message)
    names = type(message).__struct_fields__
    values = dict(zip(names, fields[1:], strict=False)) if isinstance(fields, list) else fields
    return f"{type(message).__name__} {values}"


def replace_ids(lines: list[str]) -> list[str]:
    """Replace ids by numbers in the order of their first appearance."""
    number_by_id: dict[str, str] = {}

    def number(match: re.Match[str]) -> str:
        return number_by_id.setdefault(match[0], f"<id {len(number_by_id) + 1}>")

    return [re.sub(r"job-\d+", number, line) for line in lines]


def test_whole_session(snapshot: SnapshotAssertion) -> None:
    """Guards against unintended changes of a gang's messages, their order or their fields."""
    loop = VirtualLoop()

    async def run_session() -> list[str]:
        cluster = Cluster(loop, 2)
        started_at = loop.time()
        await asyncio.sleep(0.1)  # The agents adopt their workers' tasks.
        await cluster.start_gang(work_s=2.5)
        await asyncio.sleep(10.0)
        lines = [
            f"{at - started_at:.1f} s {source} to {target}: {format_message(message)}"
            for at, source, target, message in cluster.messages
        ]
        lines += [
            f"{e.at - started_at:.1f} s {e.worker}: task {e.kind}" for e in cluster.task_events
        ]
        for node in cluster.nodes:
            node.background.cancel_all()
        return lines

    lines = loop.run_until_complete(run_session())
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
    assert replace_ids(lines) == snapshot
