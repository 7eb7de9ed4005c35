"""State dumps of this entry, of agents and of other entries."""

import json
from collections.abc import Callable, Sequence
from datetime import timedelta

from chicorycrank.entry.directory import Directory
from chicorycrank.model.ids import EntryId, TargetId
from chicorycrank.model.messages import AnyMessage, QueryState, Refused, Text
from chicorycrank.ports.links import Link, LinkError

CALL_TIMEOUT = timedelta(seconds=2)
MAX_ITEMS = 1000
MAX_TEXT_BYTES = 256_000

Dump = Callable[[], dict[str, object]]


def bounded(items: Sequence[str]) -> list[str]:
    """Return the first items of a list, so that a dump stays small at any fleet size."""
    return list(items[:MAX_ITEMS])


class StateView:
    """Finds the process that a dump is asked of.

    :param dump: returns the state of this entry
    """

    def __init__(self, entry: EntryId, directory: Directory, dump: Dump) -> None:
        self._entry = entry
        self._directory = directory
        self._dump = dump

    async def get(self, process: str) -> AnyMessage:
        """Return the state of a process of any region as Text, or Refused."""
        reply = await self.serve(QueryState(process))
        if not isinstance(reply, Refused) or reply.code != "no_such_process":
            return reply
        peer = self._directory.peers_by_id.get(EntryId(process))
        if peer is not None:
            return await _ask(peer.link, process)
        for other in list(self._directory.peers_by_id.values()):
            answer = await _ask(other.link, process)
            if isinstance(answer, Text):
                return answer
        return reply

    async def serve(self, message: QueryState) -> AnyMessage:
        """Return the state of this entry or of an agent connected to it."""
        if message.peer_id in ("", self._entry):
            return Text(json.dumps(self._dump()))
        target = self._directory.targets_by_id.get(TargetId(message.peer_id))
        if target is None:
            return Refused("no_such_process", f"no process {message.peer_id} is connected")
        return await _ask(target.link, message.peer_id)


async def _ask(link: Link | None, process: str) -> AnyMessage:
    if link is None:
        return Refused("unreachable", f"{process} is not connected")
    try:
        reply = await link.request(QueryState(process), timeout=CALL_TIMEOUT)
    except LinkError as error:
        return Refused("unreachable", str(error))
    if isinstance(reply, Text) and len(reply.text) > MAX_TEXT_BYTES:
        return Refused("too_large", f"the state of {process} has {len(reply.text)} bytes")
    return reply
