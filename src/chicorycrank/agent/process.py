"""The agent process: connections, message dispatch, load reports and planned stops."""

import asyncio
import json
import logging
from collections import Counter
from datetime import timedelta

import msgspec

from chicorycrank.adapters.background import BackgroundTasks
from chicorycrank.adapters.peers import PeerLink, listen, sum_traffic
from chicorycrank.agent.entry_links import EntryLinks
from chicorycrank.agent.executor import ExecutorManager
from chicorycrank.agent.gang_coordinator import GangCoordinator
from chicorycrank.agent.member_links import MEMBER_HEARTBEAT, MemberLinks
from chicorycrank.agent.worker import WorkerManager
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

# Time between two checks for a changed load, and between two attempts to report to the leader.
REPORT_INTERVAL = timedelta(seconds=1)
# Combines the load changes of a burst of short requests in one report.
MIN_REPORT_INTERVAL = timedelta(milliseconds=100)
# An unchanged report is sent again after this time, to correct an entry whose view has diverged.
UNCHANGED_REPORT_INTERVAL = timedelta(seconds=30)
GANG_REPORT_TIMEOUT = timedelta(seconds=2)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
DRAIN_REPLY_TIMEOUT = timedelta(seconds=2)

logger = logging.getLogger("absl")


class Agent:
    """Agent of one target, which is either an executor or a worker.

    :param executor: manager of the executor; None if the target is a worker
    :param worker: manager of the worker; None if the target is an executor
    """

    def __init__(
        self,
        settings: AgentSettings,
        clock: Clock,
        incarnation: Incarnation,
        *,
        executor: ExecutorManager | None,
        worker: WorkerManager | None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = incarnation
        self._executor_manager = executor
        self._worker_manager = worker
        self._background = BackgroundTasks()
        self._config = ConfigOffer(Generation(0), b"")
        self._stop_requested = asyncio.Event()
        self._last_report: AnyMessage | None = None
        self._reported_at = 0.0
        self._accepted_links: set[PeerLink] = set()
        self._counters: Counter[str] = Counter()
        self._entry_links = EntryLinks(
            settings.region,
            clock,
            self._background,
            timedelta(seconds=settings.heartbeat_s),
            hello=self._make_hello,
            handler=self._handle,
            on_link=self._send_first_report,
            counters=self._counters,
        )
        self._member_links = MemberLinks(
            clock,
            self._background,
            hello=self._make_hello,
            handler=self._handle,
            counters=self._counters,
        )
        self._gang_coordinator = None if worker is None else self._make_gang_coordinator(worker)

    def _make_gang_coordinator(self, worker: WorkerManager) -> GangCoordinator:
        return GangCoordinator(
            self._settings.target,
            worker,
            self._clock,
            self._background,
            call_member=self._call_member,
            report=self._report_to_leader,
        )

    @property
    def address(self) -> str:
        """``host:port`` at which other agents connect to this agent."""
        return f"{self._settings.listen_host}:{self._settings.listen_port}"

    async def run(self) -> None:
        """Serve until :meth:`stop`, then wait for running requests and close all connections."""
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
        self._entry_links.start(self._settings.balancer)
        if self._gang_coordinator is not None:
            self._background.start(self._gang_coordinator.run())
        if self._executor_manager is not None:
            self._background.start(self._executor_manager.probe_forever())
        self._background.start(self._report_forever())
        logger.info("event=agent_started target=%s", self._settings.target)
        await self._stop_requested.wait()
        await self._drain()
        await self._entry_links.close("agent stops")
        server.close()
        self._background.cancel_all()

    def stop(self) -> None:
        """Request a planned stop; :meth:`run` returns when it is finished."""
        self._stop_requested.set()

    async def _drain(self) -> None:
        """Refuse new work, notify the entries, and wait for running requests and their replies."""
        manager = self._executor_manager or self._worker_manager
        if manager is not None:
            manager.is_draining = True
        await self._report()
        deadline = self._clock.monotonic() + self._settings.drain_limit_s
        while self._executor_manager is not None and not self._executor_manager.is_idle:
            if self._clock.monotonic() > deadline:
                logger.warning(
                    "event=drain_timed_out used_slots=%d", self._executor_manager.load.used_slots
                )
                return
            await self._clock.sleep(DRAIN_POLL_INTERVAL)
        links = [*self._entry_links.link_by_entry.values(), *self._accepted_links]
        await asyncio.gather(*(link.wait_for_replies(DRAIN_REPLY_TIMEOUT) for link in links))

    # Connections and their count.

    def _make_hello(self) -> Hello:
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
        self._accepted_links.add(link)
        self._update_connection_count()
        self._background.start(self._discard_closed_link(link))

    async def _discard_closed_link(self, link: PeerLink) -> None:
        await link.wait_closed()
        self._accepted_links.discard(link)
        self._update_connection_count()

    def _count_connections(self) -> int:
        return len(self._accepted_links) + len(self._entry_links.link_by_entry)

    def _update_connection_count(self) -> None:
        if self._executor_manager is not None:
            self._executor_manager.connections = self._count_connections()

    async def _call_member(
        self, member: GangMember, message: AnyMessage, timeout: timedelta
    ) -> AnyMessage:
        return await self._member_links.call(member.address, message, timeout)

    # Reports to the entries and to the cell's leader.

    async def _send_first_report(self, link: PeerLink) -> None:
        self._update_connection_count()
        report = self._make_report()
        if report is not None:
            await link.send(report)

    def _make_report(self) -> AnyMessage | None:
        if self._worker_manager is not None:
            if not self._worker_manager.has_adopted_tasks:
                return None  # An empty report would mean that no task runs on this worker.
            return WorkerReport(self._worker_manager.load, self._worker_manager.epoch)
        if self._executor_manager is not None:
            return ExecutorReport(self._executor_manager.load)
        return None

    async def _report_forever(self) -> None:
        manager = self._executor_manager or self._worker_manager
        while manager is not None:
            try:
                async with asyncio.timeout(REPORT_INTERVAL.total_seconds()):
                    await manager.load_changed.wait()
            except TimeoutError:
                pass
            manager.load_changed.clear()
            await self._report_if_changed()
            if self._gang_coordinator is not None:
                self._member_links.close_unused(self._gang_coordinator.addresses())

    async def _report_if_changed(self) -> None:
        """Report the load if it has changed or the last report is too old.

        Entries need no repeated report: a new connection gets one at once, and a report that
        cannot be sent closes its connection.
        """
        self._update_connection_count()
        is_due = (
            self._clock.monotonic() - self._reported_at >= UNCHANGED_REPORT_INTERVAL.total_seconds()
        )
        if is_due or self._make_report() != self._last_report:
            await self._report()
            await self._clock.sleep(MIN_REPORT_INTERVAL)

    async def _report(self) -> None:
        self._update_connection_count()
        report = self._make_report()
        if report is not None:
            self._last_report = report
            self._reported_at = self._clock.monotonic()
            await self._entry_links.send(report)

    async def _report_to_leader(self, message: GangStarted | GangEnded) -> None:
        """Send a message to the cell's leader until the leader acknowledges it."""
        while True:
            leader = self._gang_coordinator.leader if self._gang_coordinator is not None else None
            link = self._entry_links.link_by_entry.get(leader) if leader else None
            if link is not None:
                try:
                    if isinstance(await link.request(message, timeout=GANG_REPORT_TIMEOUT), Ok):
                        return
                except LinkError as error:
                    logger.info("event=gang_report_failed error=%s", error)
            await self._clock.sleep(REPORT_INTERVAL)

    # Dispatch of incoming messages.

    async def _handle(self, link: Link, message: AnyMessage) -> AnyMessage | None:
        match message:
            case PeerList():
                for entry in message.entries:
                    self._entry_links.add_entry(entry)
                return None
            case ConfigOffer():
                return self._apply_config(message)
            case ConfigRequest():
                return self._config
            case SetDraining():
                return await self._set_draining(message)
            case QueryState():
                return Text(json.dumps(self.dump()))
        if self._executor_manager is not None:
            return await self._handle_executor_message(self._executor_manager, message)
        if self._gang_coordinator is not None:
            return await self._gang_coordinator.handle(message)
        return Refused("unexpected_message")

    @staticmethod
    async def _handle_executor_message(manager: ExecutorManager, message: AnyMessage) -> AnyMessage:
        match message:
            case RunRequest():
                return await manager.run(message)
            case QueryAttempt():
                return manager.query_attempt(message)
            case QueryKey():
                return manager.query_key(message)
        return Refused("unexpected_message", type(message).__name__)

    def _apply_config(self, offer: ConfigOffer) -> AnyMessage:
        if offer.generation > self._config.generation:
            self._config = offer
        return ConfigInForce(self._config.generation)

    async def _set_draining(self, message: SetDraining) -> AnyMessage:
        manager = self._executor_manager or self._worker_manager
        if manager is None or message.target != self._settings.target:
            return Refused("wrong_target")
        manager.is_draining = message.draining
        await self._report()
        return Ok()

    def dump(self) -> dict[str, object]:
        """Return the state of this process as a JSON document for operators."""
        manager = self._executor_manager or self._worker_manager
        links = [
            *self._entry_links.link_by_entry.values(),
            *self._accepted_links,
            *self._member_links.links,
        ]
        return {
            "target": self._settings.target,
            "incarnation": self._incarnation,
            "config_generation": self._config.generation,
            "entries": sorted(self._entry_links.link_by_entry),
            "leader": self._gang_coordinator.leader if self._gang_coordinator is not None else None,
            "epoch": self._worker_manager.epoch if self._worker_manager is not None else Epoch(0),
            "load": msgspec.to_builtins(manager.load) if manager is not None else None,
            "gangs_led": [list(gang) for gang in self._gang_coordinator.gangs]
            if self._gang_coordinator
            else [],
            "refused": dict(self._counters),
            **sum_traffic(links),
        }
