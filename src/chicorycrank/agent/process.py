"""The agent process: the target's side, links to entries, and message routing."""

import asyncio
import json
import logging
from collections import Counter
from datetime import timedelta

import msgspec

from chicorycrank.adapters.background import Background
from chicorycrank.adapters.peers import PeerLink, listen, sum_traffic
from chicorycrank.agent.entry_links import EntryLinks
from chicorycrank.agent.executor import ExecutorSide
from chicorycrank.agent.gangs import GangLeading
from chicorycrank.agent.member_links import MEMBER_HEARTBEAT, MemberLinks
from chicorycrank.agent.worker import WorkerSide
from chicorycrank.model.ids import EntryId, Epoch, Generation, Incarnation
from chicorycrank.model.messages import (
    PROTOCOL_VERSION,
    AnyMessage,
    ConfigInForce,
    ConfigOffer,
    ConfigRequest,
    ExecutorReport,
    GangEnded,
    GangMember,
    GangStarted,
    Goodbye,
    Hello,
    Ok,
    PeerList,
    QueryAttempt,
    QueryKey,
    QueryState,
    Refused,
    Role,
    RunRequest,
    SetDraining,
    Text,
    Welcome,
    WorkerReport,
)
from chicorycrank.model.targets import EntryInfo
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Link, LinkError
from chicorycrank.settings.agent import AgentSettings

REPORT_INTERVAL = timedelta(seconds=1)
# Shortest time between two reports; bursts of short requests are reported together.
REPORT_GAP = timedelta(milliseconds=100)
# Sends an unchanged report again, in case an entry's view is wrong for an unknown reason.
REFRESH_INTERVAL = timedelta(seconds=30)
REPORT_TIMEOUT = timedelta(seconds=2)
DRAIN_POLL = timedelta(milliseconds=50)
REPLY_LIMIT = timedelta(seconds=2)

logger = logging.getLogger("absl")


class Agent:
    """One agent beside one target.

    :param executor: set for an executor
    :param worker: set for a worker
    """

    def __init__(
        self,
        settings: AgentSettings,
        clock: Clock,
        incarnation: Incarnation,
        *,
        executor: ExecutorSide | None,
        worker: WorkerSide | None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = incarnation
        self._executor = executor
        self._worker = worker
        self._background = Background()
        self._config = ConfigOffer(Generation(0), b"")
        self._stopping = asyncio.Event()
        self._last_report: AnyMessage | None = None
        self._reported_at = 0.0
        self._accepted: set[PeerLink] = set()
        self._counters: Counter[str] = Counter()
        self._entries = EntryLinks(
            settings.region,
            clock,
            self._background,
            timedelta(seconds=settings.heartbeat_s),
            hello=self._hello,
            handler=self._handle,
            on_link=self._greet_entry,
            counters=self._counters,
        )
        self._members = MemberLinks(
            clock,
            self._background,
            hello=self._hello,
            handler=self._handle,
            counters=self._counters,
        )
        self._gangs = None if worker is None else self._make_gangs(worker)

    def _make_gangs(self, worker: WorkerSide) -> GangLeading:
        return GangLeading(
            self._settings.target,
            worker,
            self._clock,
            self._background,
            call_member=self._call_member,
            report=self._report_gang,
        )

    @property
    def address(self) -> str:
        """``host:port`` at which other agents reach this one."""
        return f"{self._settings.listen_host}:{self._settings.listen_port}"

    async def run(self) -> None:
        """Serve until :meth:`stop`, then finish what runs."""
        server = await listen(
            self._settings.listen_host,
            self._settings.listen_port,
            accept=self._accept,
            on_link=self._on_link,
            handler=self._handle,
            clock=self._clock,
            heartbeat=lambda _: MEMBER_HEARTBEAT,
            counters=self._counters,
        )
        self._entries.start(self._settings.balancer)
        if self._gangs is not None:
            self._background.start(self._gangs.run())
        if self._executor is not None:
            self._background.start(self._executor.probe_forever())
        self._background.start(self._report_forever())
        logger.info("event=agent_started target=%s", self._settings.target)
        await self._stopping.wait()
        await self._drain()
        await self._entries.close("agent stops")
        server.close()
        self._background.cancel_all()

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping.set()

    async def _drain(self) -> None:
        """Refuse new work, tell the entries, and wait for what runs and for its replies."""
        side = self._executor or self._worker
        if side is not None:
            side.draining = True
        await self._report()
        deadline = self._clock.monotonic() + self._settings.drain_limit_s
        while self._executor is not None and not self._executor.is_idle:
            if self._clock.monotonic() > deadline:
                logger.warning("event=drain_limit used_slots=%d", self._executor.load.used_slots)
                return
            await self._clock.sleep(DRAIN_POLL)
        links = [*self._entries.link_by_entry.values(), *self._accepted]
        await asyncio.gather(*(link.wait_replied(REPLY_LIMIT) for link in links))

    # Links.

    def _hello(self) -> Hello:
        settings = self._settings
        return Hello(
            version=PROTOCOL_VERSION,
            role=Role.AGENT,
            peer_id=settings.target,
            incarnation=self._incarnation,
            region=settings.region,
            zone=settings.zone,
            address=self.address,
            config_generation=self._config.generation,
            target_kind=settings.kind,
            executor=settings.executor,
            worker=settings.worker,
        )

    async def _accept(self, hello: Hello) -> Welcome | Goodbye:
        settings = self._settings
        executor = settings.executor
        if executor is not None and self._count_connections() >= executor.connections:
            return Goodbye("too many connections")
        info = EntryInfo(
            entry_id=EntryId(settings.target),
            region=settings.region,
            zone=settings.zone,
            peer_address=self.address,
            http_address="",
        )
        return Welcome(info, self._incarnation, ())

    async def _on_link(self, link: PeerLink) -> None:
        self._accepted.add(link)
        self._note_connections()
        self._background.start(self._forget_link(link))

    async def _forget_link(self, link: PeerLink) -> None:
        await link.wait_closed()
        self._accepted.discard(link)
        self._note_connections()

    def _count_connections(self) -> int:
        return len(self._accepted) + len(self._entries.link_by_entry)

    def _note_connections(self) -> None:
        if self._executor is not None:
            self._executor.connections = self._count_connections()

    async def _call_member(
        self, member: GangMember, message: AnyMessage, timeout: timedelta
    ) -> AnyMessage:
        return await self._members.call(member.address, message, timeout)

    # Reports.

    async def _greet_entry(self, link: PeerLink) -> None:
        self._note_connections()
        report = self._make_report()
        if report is not None:
            await link.send(report)

    def _make_report(self) -> AnyMessage | None:
        if self._worker is not None:
            if not self._worker.adopted:
                return None  # An empty report would say that nothing runs here.
            return WorkerReport(self._worker.load, self._worker.epoch)
        if self._executor is not None:
            return ExecutorReport(self._executor.load)
        return None

    async def _report_forever(self) -> None:
        side = self._executor or self._worker
        while side is not None:
            try:
                async with asyncio.timeout(REPORT_INTERVAL.total_seconds()):
                    await side.changed.wait()
            except TimeoutError:
                pass
            side.changed.clear()
            await self._report_change()
            if self._gangs is not None:
                self._members.close_unused(self._gangs.addresses())

    async def _report_change(self) -> None:
        """Report unless the entries know the load already.

        An entry that connects gets a report at once, and a report that could not be sent closes
        its link, so equal reports carry no news.
        """
        self._note_connections()
        is_due = self._clock.monotonic() - self._reported_at >= REFRESH_INTERVAL.total_seconds()
        if is_due or self._make_report() != self._last_report:
            await self._report()
            await self._clock.sleep(REPORT_GAP)

    async def _report(self) -> None:
        self._note_connections()
        report = self._make_report()
        if report is not None:
            self._last_report = report
            self._reported_at = self._clock.monotonic()
            await self._entries.send(report)

    async def _report_gang(self, message: GangStarted | GangEnded) -> None:
        """Hand a message to the leader until it is acknowledged."""
        while True:
            leader = self._gangs.leader if self._gangs is not None else None
            link = self._entries.link_by_entry.get(leader) if leader else None
            if link is not None:
                try:
                    if isinstance(await link.request(message, timeout=REPORT_TIMEOUT), Ok):
                        return
                except LinkError as error:
                    logger.info("event=gang_report_lost error=%s", error)
            await self._clock.sleep(REPORT_INTERVAL)

    # Messages.

    async def _handle(self, link: Link, message: AnyMessage) -> AnyMessage | None:
        match message:
            case PeerList():
                for entry in message.entries:
                    self._entries.keep(entry)
                return None
            case ConfigOffer():
                return self._take_config(message)
            case ConfigRequest():
                return self._config
            case SetDraining():
                return await self._set_draining(message)
            case QueryState():
                return Text(json.dumps(self.dump()))
        if self._executor is not None:
            return await self._handle_executor(self._executor, message)
        if self._gangs is not None:
            return await self._gangs.handle(message)
        return Refused("unexpected_message")

    @staticmethod
    async def _handle_executor(side: ExecutorSide, message: AnyMessage) -> AnyMessage:
        match message:
            case RunRequest():
                return await side.run(message)
            case QueryAttempt():
                return side.query_attempt(message)
            case QueryKey():
                return side.query_key(message)
        return Refused("unexpected_message", type(message).__name__)

    def _take_config(self, offer: ConfigOffer) -> AnyMessage:
        if offer.generation > self._config.generation:
            self._config = offer
        return ConfigInForce(self._config.generation)

    async def _set_draining(self, message: SetDraining) -> AnyMessage:
        side = self._executor or self._worker
        if side is None or message.target != self._settings.target:
            return Refused("wrong_target")
        side.draining = message.draining
        await self._report()
        return Ok()

    def dump(self) -> dict[str, object]:
        """Return this process's state for people."""
        side = self._executor or self._worker
        links = [*self._entries.link_by_entry.values(), *self._accepted, *self._members.links]
        return {
            "target": self._settings.target,
            "incarnation": self._incarnation,
            "config_generation": self._config.generation,
            "entries": sorted(self._entries.link_by_entry),
            "leader": self._gangs.leader if self._gangs is not None else None,
            "epoch": self._worker.epoch if self._worker is not None else Epoch(0),
            "load": msgspec.to_builtins(side.load) if side is not None else None,
            "gangs_led": [list(gang) for gang in self._gangs.gangs] if self._gangs else [],
            "refused": dict(self._counters),
            **sum_traffic(links),
        }
