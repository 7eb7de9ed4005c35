"""Return state dumps of this entry, of agents and of other entries."""

import json
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from chicorycrank.adapters.peers import sum_traffic
from chicorycrank.entry.directory import Directory
from chicorycrank.entry.first_reply import CALL_TIMEOUT, request_first_accepted
from chicorycrank.entry.scheduler import Scheduler
from chicorycrank.model.ids import EntryId, TargetId
from chicorycrank.model.messages import AnyMessage, QueryState, Refused, Text
from chicorycrank.policy.explain import degraded_guarantees
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Link, LinkError

if TYPE_CHECKING:
    from chicorycrank.entry.process import Entry

MAX_ITEMS = 1000
MAX_NAME_LENGTH = 100
MAX_TEXT_BYTES = 256_000

Dump = Callable[[], dict[str, object]]


def truncate_names(items: Sequence[str]) -> list[str]:
    """Return the first names of a list, shortened, so that a dump stays small in any fleet."""
    return [item[:MAX_NAME_LENGTH] for item in items[:MAX_ITEMS]]


class StateView:
    """Source of the state dumps of this entry and of any other process.

    :param dump: returns the state of this entry
    """

    def __init__(self, entry: EntryId, directory: Directory, clock: Clock, dump: Dump) -> None:
        self._entry = entry
        self._directory = directory
        self._clock = clock
        self._dump = dump

    async def get(self, process: str) -> AnyMessage:
        """Return the state of a process of any region as :class:`Text`, or :class:`Refused`."""
        reply = await self.serve(QueryState(process))
        if not isinstance(reply, Refused) or reply.code != "no_such_process":
            return reply
        peer = self._directory.peers_by_id.get(EntryId(process))
        if peer is not None:
            return await _query(peer.link, process)
        links = [p.link for p in self._directory.peers_by_id.values() if p.link is not None]
        answer = await request_first_accepted(links, QueryState(process), self._clock, _is_text)
        return _refuse_if_too_large(answer, process) if isinstance(answer, Text) else reply

    async def serve(self, message: QueryState) -> AnyMessage:
        """Return the state of this entry or of an agent connected to it."""
        if message.peer_id in ("", self._entry):
            return _refuse_if_too_large(Text(json.dumps(self._dump())), self._entry)
        target = self._directory.targets_by_id.get(TargetId(message.peer_id))
        if target is None:
            return Refused("no_such_process", f"no process {message.peer_id} is connected")
        return await _query(target.link, message.peer_id)


async def _query(link: Link | None, process: str) -> AnyMessage:
    if link is None:
        return Refused("unreachable", f"{process} is not connected")
    try:
        reply = await link.request(QueryState(process), timeout=CALL_TIMEOUT)
    except LinkError as error:
        return Refused("unreachable", str(error))
    return _refuse_if_too_large(reply, process)


def _refuse_if_too_large(reply: AnyMessage, process: str) -> AnyMessage:
    """Return the reply, or :class:`Refused` if it is too large to pass on."""
    if isinstance(reply, Text) and len(reply.text) > MAX_TEXT_BYTES:
        return Refused("too_large", f"the state of {process} has {len(reply.text)} bytes")
    return reply


def _is_text(reply: AnyMessage) -> bool:
    return isinstance(reply, Text)


def missing_by_guarantee(scheduler: Scheduler) -> dict[str, int]:
    """Return the number of instances that the led cell cannot assemble now, by guarantee."""
    if not scheduler.is_leader:
        return {}
    return {
        degraded.guarantee: degraded.missing for degraded in degraded_guarantees(scheduler.cell)
    }


def dump_entry(entry: "Entry") -> dict[str, object]:
    """Return the state of an entry; programs of operators depend on the field names."""
    config = entry.config
    directory = entry.directory
    queued = entry.requests.queued_by_class
    links = [target.link for target in directory.targets_by_id.values()]
    links += [peer.link for peer in directory.peers_by_id.values() if peer.link is not None]
    return {
        "entry": entry.settings.entry,
        "region": entry.settings.region,
        "cell": entry.settings.cell,
        "incarnation": entry.incarnation,
        "config_generation": config.config.generation,
        "config_nonce": config.config.nonce,
        "config_malformed": config.malformed_count,
        "config_lower": config.lower_count,
        "config_contradictions": config.contradiction_count,
        "is_leader": entry.scheduler.is_leader,
        "term_epoch": entry.term_epoch,
        "leaders": dict(sorted(entry.jobs.leader_by_cell.items())[:MAX_ITEMS]),
        "queued_requests": {kind.value: count for kind, count in queued.items()},
        "quarantined": dict(list(entry.scheduler.quarantine.describe().items())[:MAX_ITEMS]),
        "degraded_guarantees": missing_by_guarantee(entry.scheduler),
        "targets": truncate_names(sorted(directory.targets_by_id)),
        "targets_count": len(directory.targets_by_id),
        "peers": truncate_names(sorted(directory.peers_by_id)),
        "peers_count": len(directory.peers_by_id),
        "draining": entry.is_draining,
        **sum_traffic(links),
    }
