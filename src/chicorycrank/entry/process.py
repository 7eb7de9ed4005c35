"""The entry process: puts its parts together and serves peers."""

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

from chicorycrank.adapters.codec import decode
from chicorycrank.adapters.peers import PeerLink, dial, listen
from chicorycrank.entry.agent_counters import AgentCounters
from chicorycrank.entry.claims import ClaimLog
from chicorycrank.entry.config import ConfigHolder
from chicorycrank.entry.directory import Directory, Peer
from chicorycrank.entry.election import Election, Leader
from chicorycrank.entry.fleet_view import FleetView
from chicorycrank.entry.job_records import JobRecords
from chicorycrank.entry.jobs import JobFront
from chicorycrank.entry.membership import PREFIX, Membership
from chicorycrank.entry.releases import Releases
from chicorycrank.entry.requests import RequestFront
from chicorycrank.entry.scheduler import Scheduler
from chicorycrank.entry.state import StateView, dump_of
from chicorycrank.model.config import Config
from chicorycrank.model.ids import CellId, EntryId, Epoch, Incarnation, TargetId
from chicorycrank.model.messages import (
    PROTOCOL_VERSION,
    AnyMessage,
    ConfigInForce,
    ConfigOffer,
    ConfigRequest,
    Digest,
    ExecutorReport,
    GangEnded,
    GangStarted,
    Goodbye,
    Hello,
    ListTargets,
    PeerList,
    QueryState,
    Role,
    SetDraining,
    Welcome,
    WorkerReport,
)
from chicorycrank.model.targets import EntryInfo, TargetKind
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Link, LinkError
from chicorycrank.ports.store import Entry as StoreEntry
from chicorycrank.ports.store import Store
from chicorycrank.settings.entry import EntrySettings

PEER_HEARTBEAT = timedelta(seconds=2)
DIGEST_INTERVAL = timedelta(seconds=1)
# Longest wait for running requests at a planned stop.
FINISH_LIMIT = timedelta(seconds=30)
CONFIG_TIMEOUT = timedelta(seconds=2)
RECONNECT_MIN = timedelta(milliseconds=300)

logger = logging.getLogger("absl")


class Entry:
    """One entry: request front, job front, scheduler role and peers."""

    def __init__(
        self, settings: EntrySettings, store: Store, clock: Clock, incarnation: Incarnation
    ) -> None:
        self.settings = settings
        self.store = store
        self._clock = clock
        self.incarnation = incarnation
        self.info = EntryInfo(
            entry_id=settings.entry,
            region=settings.region,
            zone=settings.zone,
            peer_address=settings.peer_address or f"{settings.listen_host}:{settings.peer_port}",
            http_address=f"{settings.listen_host}:{settings.http_port}",
        )
        self.directory = Directory()
        self.link_counters: Counter[str] = Counter()
        self.config = ConfigHolder(self._on_config)
        self.fleet = FleetView(settings.entry, settings.region, self.directory, self.config, clock)
        self.state = StateView(settings.entry, self.directory, clock, lambda: dump_of(self))
        self.agent_counters = AgentCounters(self.directory, clock)
        self.releases = Releases(store, clock, self.config, self.fleet.collect)
        self.requests = RequestFront(
            self.directory,
            ClaimLog(store, clock),
            clock,
            region=settings.region,
            config=lambda: self.config.config,
        )
        self.scheduler = Scheduler(
            cell=settings.cell,
            region=settings.region,
            entry=settings.entry,
            directory=self.directory,
            records=JobRecords(store, clock, settings.cell),
            clock=clock,
        )
        self._election = Election(
            store,
            clock,
            cell=settings.cell,
            entry=settings.entry,
            on_elected=self.scheduler.take_role,
            on_lost=self.scheduler.drop_role,
        )
        self.scheduler.on_superseded = self._election.step_down
        self.jobs = JobFront(
            settings.cell,
            self.directory,
            self.scheduler,
            self._election.confirm,
            store=store,
            clock=clock,
            config=lambda: self.config.config,
        )
        self._membership = Membership(
            store, clock, self.info, on_entry=self._on_shared, on_list=self._on_shared_list
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._dialler_by_entry: dict[EntryId, asyncio.Task[None]] = {}
        self._stopping = asyncio.Event()
        self.is_draining = False

    async def run(self) -> None:
        """Serve until :meth:`stop`, then hand roles over and finish what runs."""
        server = await listen(
            self.settings.listen_host,
            self.settings.peer_port,
            accept=self._accept,
            on_link=self._on_link,
            handler=self._handle,
            clock=self._clock,
            heartbeat=self._heartbeat_for,
            counters=self.link_counters,
        )
        for work in (
            self._membership.announce_forever(),
            self._membership.watch_forever(),
            self._election.run(),
            self._digest_forever(),
        ):
            self._spawn(work)
        logger.info("event=entry_started entry=%s", self.settings.entry)
        await self._stopping.wait()
        self.is_draining = True
        await self._election.resign()
        await self._membership.withdraw()
        await self._clock.sleep(timedelta(seconds=self.settings.drain_s))
        if not await self.requests.stop(FINISH_LIMIT):
            logger.warning("event=requests_cut_off")
        server.close()
        for task in self._tasks:
            task.cancel()

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Shared keys.

    def _on_shared(self, entry: StoreEntry) -> None:
        name = entry.key.removeprefix(PREFIX)
        if name == "config" and entry.version:
            self.config.take(entry.value)
        elif name.startswith("leaders/") and entry.version:
            cell = CellId(name.removeprefix("leaders/"))
            leader = decode(entry.value, Leader)
            self.jobs.note_leader(cell, leader.holder)
            if cell == self.settings.cell:
                self._election.note_leader(leader)
        elif name.startswith("entries/") and entry.version:
            self._add_peer(decode(entry.value, EntryInfo))
        elif name.startswith("entries/"):
            self._unlist_peer(EntryId(name.removeprefix("entries/")))

    def _on_shared_list(self, keys: frozenset[str]) -> None:
        for entry_id in list(self.directory.peers_by_id):
            if f"{PREFIX}entries/{entry_id}" not in keys:
                self._unlist_peer(entry_id)

    def _unlist_peer(self, entry_id: EntryId) -> None:
        """Note that an entry's record is gone; drop the entry unless its connection lives."""
        peer = self.directory.peers_by_id.get(entry_id)
        if peer is None:
            return
        peer.is_listed = False
        if peer.link is None or not peer.link.is_open:
            del self.directory.peers_by_id[entry_id]
            dialler = self._dialler_by_entry.pop(entry_id, None)
            if dialler is not None:
                dialler.cancel()
            logger.info("event=entry_dropped entry=%s", entry_id)

    def _on_config(self, config: Config) -> None:
        self.scheduler.put_config(config)
        for target in self.directory.targets_by_id.values():
            self._spawn(self._offer_config(target.link))
        for peer in self.directory.peers_by_id.values():
            if peer.link is not None:
                self._spawn(self._offer_config(peer.link))

    async def _offer_config(self, link: Link) -> None:
        """Offer the configuration; an agent's reply tells which generation it holds."""
        try:
            if link.peer.role is Role.ENTRY:
                await link.send(self.config.offer)
                return
            reply = await link.request(self.config.offer, timeout=CONFIG_TIMEOUT)
            await self._handle_agent(link, reply)
            if (
                isinstance(reply, ConfigInForce)
                and reply.generation > self.config.config.generation
            ):
                newer = await link.request(
                    ConfigRequest(self.config.config.generation), timeout=CONFIG_TIMEOUT
                )
                await self._handle_agent(link, newer)
        except LinkError as error:
            logger.info("event=config_offer_lost peer=%s error=%s", link.peer.peer_id, error)

    # Peers.

    def _hello(self) -> Hello:
        return Hello(
            version=PROTOCOL_VERSION,
            role=Role.ENTRY,
            peer_id=self.settings.entry,
            incarnation=self.incarnation,
            region=self.settings.region,
            zone=self.settings.zone,
            address=self.info.peer_address,
            config_generation=self.config.config.generation,
        )

    def _add_peer(self, info: EntryInfo) -> None:
        """Note another entry; the entry with the smaller id dials the other."""
        if info.entry_id == self.settings.entry:
            return
        known = self.directory.peers_by_id.get(info.entry_id)
        peer = known or Peer(info=info)
        if peer.info.region == self.settings.region and (known is None or known.info != info):
            self._spawn(self._tell_agents(info))
        self.directory.peers_by_id[info.entry_id] = peer
        peer.info = info
        peer.is_listed = True
        if self.settings.entry < info.entry_id:
            task = self._dialler_by_entry.get(info.entry_id)
            if task is None or task.done():
                self._dialler_by_entry[info.entry_id] = self._spawn(self._dial_forever(peer))

    async def _tell_agents(self, info: EntryInfo) -> None:
        """Name another entry of the region to the agents that connected before it was known."""
        for target in list(self.directory.targets_by_id.values()):
            try:
                await target.link.send(PeerList((info,)))
            except LinkError as error:
                logger.info("event=peer_list_lost target=%s error=%s", target.target_id, error)

    async def _dial_forever(self, peer: Peer) -> None:
        while True:
            try:
                link, _ = await dial(
                    peer.info.peer_address,
                    hello=self._hello(),
                    handler=self._handle,
                    clock=self._clock,
                    heartbeat=PEER_HEARTBEAT,
                    counters=self.link_counters,
                )
            except LinkError as error:
                logger.info("event=dial_failed entry=%s error=%s", peer.info.entry_id, error)
                await self._clock.sleep(RECONNECT_MIN * random.uniform(1.0, 5.0))
                continue
            peer.link = link
            self._spawn(self._offer_config(link))
            await link.run()
            if peer.link is link:
                peer.link = None
            if not peer.is_listed:
                self._unlist_peer(peer.info.entry_id)

    def _heartbeat_for(self, hello: Hello) -> timedelta:
        if hello.role is Role.ENTRY:
            return PEER_HEARTBEAT
        return timedelta(seconds=self.settings.agent_heartbeat_s)

    async def _accept(self, hello: Hello) -> Welcome | Goodbye:
        if self.is_draining:
            return Goodbye("draining")
        if hello.role is Role.AGENT and hello.region != self.settings.region:
            return Goodbye(f"region {hello.region} is not {self.settings.region}")
        if hello.role is Role.AGENT and hello.target_kind is None:
            return Goodbye("the hello of an agent must name the kind of its target")
        entries = [peer.info for peer in self.directory.peers_by_id.values()]
        return Welcome(self.info, self.incarnation, (self.info, *entries))

    async def _on_link(self, link: PeerLink) -> None:
        if link.peer.role is Role.ENTRY:
            peer = self._peer_of(link.peer)
            peer.link = link
            self._spawn(self._drop_when_closed(peer, link))
        else:
            self._spawn(self._serve_target(link))
        self._spawn(self._offer_config(link))

    def _peer_of(self, hello: Hello) -> Peer:
        """Return the entry that dialled; its record may not have been seen yet."""
        entry_id = EntryId(hello.peer_id)
        peer = self.directory.peers_by_id.get(entry_id)
        if peer is None:
            info = EntryInfo(
                entry_id=entry_id,
                region=hello.region,
                zone=hello.zone,
                peer_address=hello.address,
                http_address="",
            )
            peer = self.directory.peers_by_id[entry_id] = Peer(info=info, is_listed=False)
        return peer

    async def _drop_when_closed(self, peer: Peer, link: PeerLink) -> None:
        await link.wait_closed()
        if peer.link is link and not peer.is_listed:
            self._unlist_peer(peer.info.entry_id)

    async def _serve_target(self, link: PeerLink) -> None:
        target = self.directory.add_target(link)
        logger.info("event=target_connected target=%s", target.target_id)
        if target.hello.target_kind is TargetKind.WORKER:
            await self.scheduler.add_worker(target)
        await link.wait_closed()
        if self.directory.remove_target(link):
            logger.info("event=target_lost target=%s", target.target_id)
            self.scheduler.remove_worker(target)

    # Messages.

    async def _handle(self, link: Link, message: AnyMessage) -> AnyMessage | None:
        if link.peer.role is Role.AGENT:
            return await self._handle_agent(link, message)
        return await self._handle_entry(link, message)

    async def _handle_agent(self, link: Link, message: AnyMessage) -> AnyMessage | None:
        target = self.directory.targets_by_id.get(TargetId(link.peer.peer_id))
        if target is None or target.link is not link:
            return None
        match message:
            case ExecutorReport():
                target.executor_load = message.load
                target.has_reported = True
            case WorkerReport():
                target.worker_load = message.load
                target.worker_epoch = message.epoch
                target.has_reported = True
                self.scheduler.take_report(target)
            case GangStarted() | GangEnded():
                return await self.scheduler.take_gang_event(message)
            case ConfigOffer():
                self.config.take(message.document)
            case ConfigInForce():
                target.config_generation = max(target.config_generation, message.generation)
        return None

    async def _handle_entry(self, link: Link, message: AnyMessage) -> AnyMessage | None:
        match message:
            case Digest():
                await self._take_digest(link, message)
                return None
            case ConfigOffer():
                self.config.take(message.document)
                return None
            case ConfigRequest():
                return self.config.offer
            case QueryState():
                return await self.state.serve(message)
            case ListTargets():
                return self.fleet.own_list()
            case SetDraining():
                return await self.fleet.set_own_draining(message)
        reply = await self.requests.serve(message)
        return reply if reply is not None else await self.jobs.serve(message)

    async def _take_digest(self, link: Link, digest: Digest) -> None:
        peer = self.directory.peers_by_id.get(EntryId(link.peer.peer_id))
        if peer is not None:
            peer.digest = digest
        self.config.compare(digest.config_generation, digest.config_nonce)
        if digest.config_generation > self.config.config.generation:
            request = ConfigRequest(self.config.config.generation)
            try:
                reply = await link.request(request, timeout=CONFIG_TIMEOUT)
            except LinkError as error:
                logger.info("event=config_not_fetched peer=%s error=%s", link.peer.peer_id, error)
                return
            if isinstance(reply, ConfigOffer):
                self.config.take(reply.document)

    async def _digest_forever(self) -> None:
        while True:
            await self._clock.sleep(DIGEST_INTERVAL)
            config = self.config.config
            loads = self.requests.loads()
            load = self.scheduler.load()
            cells = (load,) if load is not None else ()
            digest = Digest(config.generation, loads, cells, self.is_draining, config.nonce)
            for peer in list(self.directory.peers_by_id.values()):
                if peer.link is not None and peer.link.is_open:
                    try:
                        await peer.link.send(digest)
                    except LinkError as error:
                        logger.debug("event=digest_lost error=%s", error)

    @property
    def term_epoch(self) -> Epoch:
        """Epoch of this entry's term as leader; 0 without one."""
        return self._election.epoch
