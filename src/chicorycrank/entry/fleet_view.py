"""Operators' view of the fleet: targets and configuration generations of all regions."""

import asyncio
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from chicorycrank.entry.config_holder import ConfigHolder
from chicorycrank.entry.directory import Directory, Peer, Target
from chicorycrank.entry.first_reply import CALL_TIMEOUT, request_first_accepted
from chicorycrank.model.ids import EntryId, RegionId, TargetId
from chicorycrank.model.messages import (
    AnyMessage,
    ListTargets,
    Ok,
    Refused,
    SetDraining,
    TargetInfo,
    TargetList,
)
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import LinkError, MessageNotSentError


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """Targets of all regions.

    :param lists: target lists, one from an entry of each region that answered
    :param unreachable: regions of which no entry answered
    """

    lists: tuple[TargetList, ...]
    unreachable: tuple[RegionId, ...]

    def targets(self) -> Iterator[TargetInfo]:
        """Yield the targets of all regions that answered."""
        for answer in self.lists:
            yield from answer.targets


class FleetView:
    """Queries the targets of all regions through one entry per region.

    The entries are queried when an operator calls, so there is no load between calls.
    """

    def __init__(
        self,
        entry: EntryId,
        region: RegionId,
        directory: Directory,
        config: ConfigHolder,
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._region = region
        self._directory = directory
        self._config = config
        self._clock = clock

    def list_own_targets(self) -> TargetList:
        """Return the targets connected to this entry."""
        targets = self._directory.targets_by_id
        return TargetList(
            self._entry,
            self._region,
            self._config.config.generation,
            self._config.config.nonce,
            tuple(_make_target_info(targets[key]) for key in sorted(targets)),
        )

    async def list_all_targets(self) -> Fleet:
        """Return the targets of all regions."""
        regions = sorted(self._peers_by_region())
        answers = await asyncio.gather(*(self._call_region(r, ListTargets()) for r in regions))
        lists = [answer for answer in answers if isinstance(answer, TargetList)]
        unreachable = [
            r for r, a in zip(regions, answers, strict=True) if not isinstance(a, TargetList)
        ]
        return Fleet(lists=(self.list_own_targets(), *lists), unreachable=tuple(unreachable))

    async def set_draining(self, message: SetDraining) -> AnyMessage:
        """Set or clear the draining state of a target in any region."""
        reply = await self.set_own_draining(message)
        if not isinstance(reply, Refused) or reply.code != "no_such_target":
            return reply
        regions = sorted(self._peers_by_region())
        answers = await asyncio.gather(*(self._call_region(r, message) for r in regions))
        accepted = [a for a in answers if isinstance(a, Ok)]
        refused = [a for a in answers if isinstance(a, Refused) and a.code != "no_such_target"]
        return (accepted or refused or [reply])[0]

    async def set_own_draining(self, message: SetDraining) -> AnyMessage:
        """Set or clear the draining state of a target that is connected to this entry."""
        target = self._directory.targets_by_id.get(message.target)
        if target is None:
            return Refused("no_such_target", f"target {message.target} is not connected")
        try:
            return await target.link.request(message, timeout=CALL_TIMEOUT)
        except MessageNotSentError as error:
            return Refused("unreachable", str(error))
        except LinkError as error:
            return Refused("no_reply", str(error))

    def _peers_by_region(self) -> dict[RegionId, list[Peer]]:
        grouped: dict[RegionId, list[Peer]] = {}
        for peer in self._directory.peers_by_id.values():
            if peer.info.region != self._region:
                grouped.setdefault(peer.info.region, []).append(peer)
        return grouped

    async def _call_region(self, region: RegionId, message: AnyMessage) -> AnyMessage:
        """Return the reply of one entry of a region; the message must be safe to repeat."""
        peers = sorted(self._peers_by_region()[region], key=lambda p: p.info.entry_id)
        links = [peer.link for peer in peers if peer.link is not None]
        return await request_first_accepted(
            links, message, self._clock, lambda r: not isinstance(r, Refused)
        )


def make_release_status(
    fleet: Fleet, config: ConfigHolder, entry: EntryId, peers: Iterable[Peer]
) -> dict[str, object]:
    """Return the document of ``/v1/releases/status``: each region's and process's generation."""
    generation = config.config.generation
    entries: dict[RegionId, dict[EntryId, int | None]] = {}
    for peer in peers:
        known = peer.digest.config_generation if peer.digest and peer.link else None
        entries.setdefault(peer.info.region, {})[peer.info.entry_id] = known
    for answer in fleet.lists:
        entries.setdefault(answer.region, {})[answer.entry] = answer.generation
    agents: dict[RegionId, dict[TargetId, int]] = {region: {} for region in entries}
    for target in fleet.targets():
        agents.setdefault(target.region, {})[target.target] = target.generation
    regions = []
    for region in sorted(entries):
        generations = [*entries[region].values(), *agents[region].values()]
        regions.append(
            {
                "region": region,
                "reachable": region not in fleet.unreachable,
                "in_force": region not in fleet.unreachable
                and all(g == generation for g in generations),
                "entries": entries[region],
                "agents": agents[region],
            }
        )
    return {
        "generation": generation,
        "release": config.config.release,
        "nonce": config.config.nonce,
        "asked_entry": entry,
        "in_force_everywhere": all(region["in_force"] for region in regions),
        "regions": regions,
    }


def _make_target_info(target: Target) -> TargetInfo:
    hello = target.hello
    load = target.executor_load if hello.executor is not None else target.worker_load
    if hello.target_kind is None:
        raise ValueError(f"agent {hello.peer_id} announced no target kind")
    return TargetInfo(
        target.target_id,
        hello.target_kind,
        hello.region,
        hello.zone,
        target.config_generation,
        load.draining,
        target.worker_load.reachable,
        hello.executor,
        hello.worker,
    )
