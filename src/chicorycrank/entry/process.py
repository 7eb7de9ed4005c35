"""Connect the components of the entry process and handle the messages of its peers."""

import asyncio
import logging
from collections import Counter
from datetime import timedelta

from chicorycrank.adapters.background import BackgroundTasks
from chicorycrank.adapters.codec import decode
from chicorycrank.adapters.peers import PeerLink, listen
from chicorycrank.entry.agent_counters import AgentCounters
from chicorycrank.entry.claims import ClaimStore
from chicorycrank.entry.config_exchange import ConfigExchange
from chicorycrank.entry.config_holder import ConfigHolder
from chicorycrank.entry.directory import Directory
from chicorycrank.entry.election import Election, Leader
from chicorycrank.entry.fleet_view import FleetView
from chicorycrank.entry.job_records import JobRecords
from chicorycrank.entry.job_router import JobRouter
from chicorycrank.entry.membership import PREFIX, Membership
from chicorycrank.entry.peer_links import PEER_HEARTBEAT, PeerLinks
from chicorycrank.entry.releases import Releases
from chicorycrank.entry.requests import RequestFrontend
from chicorycrank.entry.scheduler import Scheduler
from chicorycrank.entry.state import StateView, dump_entry
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
    QueryState,
    Role,
    SetDraining,
    Welcome,
    WorkerReport,
)
from chicorycrank.model.targets import EntryInfo, TargetKind
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Link
from chicorycrank.ports.store import Entry as StoreEntry
from chicorycrank.ports.store import Store
from chicorycrank.settings.entry import EntrySettings

DIGEST_INTERVAL = timedelta(seconds=1)
# Time that a planned stop waits for the running requests.
STOP_TIMEOUT = timedelta(seconds=30)

logger = logging.getLogger("absl")


class Entry:
    """Entry process: requests, jobs, the leader role and connections to peers."""

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
        self._background = BackgroundTasks()
        self.config = ConfigHolder(self._on_config)
        self._config_exchange = ConfigExchange(self.config, self.directory, self._background)
        self.peers = PeerLinks(
            self.info,
            self.directory,
            clock,
            self._background,
            handler=self._handle,
            make_hello=self._make_hello,
            on_open=self._config_exchange.offer,
            counters=self.link_counters,
        )
        self.fleet = FleetView(settings.entry, settings.region, self.directory, self.config, clock)
        self.state = StateView(settings.entry, self.directory, clock, lambda: dump_entry(self))
        self.agent_counters = AgentCounters(self.directory, clock)
        self.releases = Releases(store, clock, self.config, self.fleet.list_all_targets)
        self.requests = RequestFrontend(
            self.directory,
            ClaimStore(store, clock),
            clock,
            region=settings.region,
            config=lambda: self.config.config,
        )
        self._build_scheduling()
        self._membership = Membership(
            store, clock, self.info, on_entry=self._on_key_changed, on_list=self._on_keys_listed
        )
        self._stopping = asyncio.Event()
        self.is_draining = False

    def _build_scheduling(self) -> None:
        """Create the scheduler, its election and the job router."""
        settings = self.settings
        self.scheduler = Scheduler(
            cell=settings.cell,
            region=settings.region,
            entry=settings.entry,
            directory=self.directory,
            records=JobRecords(self.store, self._clock, settings.cell),
            clock=self._clock,
        )
        self._election = Election(
            self.store,
            self._clock,
            cell=settings.cell,
            entry=settings.entry,
            on_elected=self.scheduler.acquire_role,
            on_lost=self.scheduler.release_role,
        )
        self.scheduler.on_superseded = self._election.step_down
        self.jobs = JobRouter(
            settings.cell,
            self.directory,
            self.scheduler,
            self._election.confirm_leadership,
            store=self.store,
            clock=self._clock,
            config=lambda: self.config.config,
        )

    async def run(self) -> None:
        """Serve until :meth:`stop`, then release the roles and finish the running requests."""
        server = await listen(
            self.settings.listen_host,
            self.settings.peer_port,
            accept=self._accept,
            on_link=self._on_link,
            handler=self._handle,
            clock=self._clock,
            heartbeat=self._heartbeat_interval,
            counters=self.link_counters,
        )
        for work in (
            self._membership.announce_forever(),
            self._membership.watch_forever(),
            self._election.run(),
            self._send_digests_forever(),
        ):
            self._background.start(work)
        logger.info("event=entry_started entry=%s", self.settings.entry)
        await self._stopping.wait()
        self.is_draining = True
        await self._election.resign()
        await self._membership.remove_record()
        await self._clock.sleep(timedelta(seconds=self.settings.drain_s))
        if not await self.requests.stop(STOP_TIMEOUT):
            logger.warning("event=requests_aborted")
        server.close()
        self._background.cancel_all()

    def stop(self) -> None:
        """Start a planned stop."""
        self._stopping.set()

    # Changes of keys in the store.

    def _on_key_changed(self, entry: StoreEntry) -> None:
        """Apply a change of the configuration, a leader or an entry's record in the store."""
        name = entry.key.removeprefix(PREFIX)
        if name == "config" and entry.version:
            self.config.apply_if_newer(entry.value)
        elif name.startswith("leaders/") and entry.version:
            cell = CellId(name.removeprefix("leaders/"))
            leader = decode(entry.value, Leader)
            self.jobs.record_leader(cell, leader.holder)
            if cell == self.settings.cell:
                self._election.handle_leader_record(leader)
        elif name.startswith("entries/") and entry.version:
            self.peers.add(decode(entry.value, EntryInfo))
        elif name.startswith("entries/"):
            self.peers.unlist(EntryId(name.removeprefix("entries/")))

    def _on_keys_listed(self, keys: frozenset[str]) -> None:
        """Unlist the entries whose records are not among the keys in the store."""
        prefix = f"{PREFIX}entries/"
        listed = (key.removeprefix(prefix) for key in keys if key.startswith(prefix))
        self.peers.unlist_missing(frozenset(map(EntryId, listed)))

    def _on_config(self, config: Config) -> None:
        self.scheduler.apply_config(config)
        self._config_exchange.offer_to_all()

    # Connections of agents and other entries.

    def _make_hello(self) -> Hello:
        """Return this entry's hello with the current generation of the configuration."""
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

    def _heartbeat_interval(self, hello: Hello) -> timedelta:
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
            self.peers.add_incoming(link)
        else:
            self._background.start(self._serve_target(link))
        self._background.start(self._config_exchange.offer(link))

    async def _serve_target(self, link: PeerLink) -> None:
        target = self.directory.add_target(link)
        logger.info("event=target_connected target=%s", target.target_id)
        if target.hello.target_kind is TargetKind.WORKER:
            await self.scheduler.add_worker(target)
        await link.wait_closed()
        if self.directory.remove_target(link):
            logger.info("event=target_lost target=%s", target.target_id)
            self.scheduler.remove_worker(target)

    # Messages of agents and other entries.

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
                self.scheduler.handle_report(target)
            case GangStarted() | GangEnded():
                return await self.scheduler.handle_gang_event(message)
            case ConfigOffer() | ConfigInForce():
                self._config_exchange.handle_agent_message(link, message)
        return None

    async def _handle_entry(self, link: Link, message: AnyMessage) -> AnyMessage | None:
        match message:
            case Digest():
                await self._record_digest(link, message)
                return None
            case ConfigOffer():
                self.config.apply_if_newer(message.document)
                return None
            case ConfigRequest():
                return self.config.offer
            case QueryState():
                return await self.state.serve(message)
            case ListTargets():
                return self.fleet.list_own_targets()
            case SetDraining():
                return await self.fleet.set_own_draining(message)
        reply = await self.requests.serve(message)
        return reply if reply is not None else await self.jobs.serve(message)

    async def _record_digest(self, link: Link, digest: Digest) -> None:
        peer = self.directory.peers_by_id.get(EntryId(link.peer.peer_id))
        if peer is not None:
            peer.digest = digest
        await self._config_exchange.handle_digest(link, digest)

    async def _send_digests_forever(self) -> None:
        """Send a digest of this entry to the other entries periodically."""
        while True:
            await self._clock.sleep(DIGEST_INTERVAL)
            config = self.config.config
            loads = self.requests.loads()
            load = self.scheduler.cell_load()
            cells = (load,) if load is not None else ()
            digest = Digest(config.generation, loads, cells, self.is_draining, config.nonce)
            await self.peers.send_all(digest)

    @property
    def term_epoch(self) -> Epoch:
        """Epoch of this entry's term as leader; 0 if it is not the leader."""
        return self._election.epoch
