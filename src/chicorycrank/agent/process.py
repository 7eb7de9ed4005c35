"""The agent process: links to entries and to other agents, and the target's side."""

import asyncio
import json
import logging
import random
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

import msgspec

from chicorycrank.adapters.peers import PeerLink, dial, listen
from chicorycrank.agent.executor import ExecutorSide
from chicorycrank.agent.gangs import MEMBER_HEARTBEAT, GangLeading
from chicorycrank.agent.worker import WorkerSide
from chicorycrank.model.ids import EntryId, Epoch, Generation, Incarnation
from chicorycrank.model.messages import (
    PROTOCOL_VERSION,
    AnyMessage,
    CancelReservation,
    ConfigInForce,
    ConfigOffer,
    ConfigRequest,
    ExecutorReport,
    GangBeat,
    Goodbye,
    Hello,
    LeaderAnnounce,
    Ok,
    PeerList,
    PrepareTask,
    QueryAttempt,
    QueryKey,
    QueryState,
    Refused,
    ReleaseTask,
    Reserve,
    Role,
    RunRequest,
    SetDraining,
    StartGang,
    StopGang,
    StopTask,
    Text,
    Welcome,
    WorkerReport,
)
from chicorycrank.model.targets import EntryInfo
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Link, LinkError
from chicorycrank.settings.agent import AgentSettings

REPORT_INTERVAL = timedelta(seconds=1)
RECONNECT_MIN = timedelta(milliseconds=200)
RECONNECT_MAX = timedelta(seconds=3)

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
        self._link_by_entry: dict[EntryId, PeerLink] = {}
        self._dialler_by_address: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._config = ConfigOffer(Generation(0), b"")
        self._stopping = asyncio.Event()
        self._gangs = None if worker is None else self._make_gangs(worker)

    def _make_gangs(self, worker: WorkerSide) -> GangLeading:
        return GangLeading(
            self._settings.target,
            worker,
            self._clock,
            hello=self._hello,
            handle_own=self._handle_worker,
            handle=self._handle,
            entry_link=self._link_by_entry.get,
            spawn=self._spawn,
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
            accept=self._accept_agent,
            on_link=_ignore_link,
            handler=self._handle,
            clock=self._clock,
            heartbeat=lambda _: MEMBER_HEARTBEAT,
        )
        self._keep_entry(self._settings.balancer)
        if self._worker is not None and self._gangs is not None:
            self._spawn(self._run_worker(self._worker, self._gangs))
        self._spawn(self._report_forever())
        logger.info("event=agent_started target=%s", self._settings.target)
        await self._stopping.wait()
        await self._drain()
        for link in list(self._link_by_entry.values()):
            await link.close("agent stops")
        server.close()
        for task in self._tasks:
            task.cancel()

    @staticmethod
    async def _run_worker(worker: WorkerSide, gangs: GangLeading) -> None:
        await gangs.adopt()
        await worker.run()

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping.set()

    async def _drain(self) -> None:
        """Refuse new work, tell the entries, and wait for what runs."""
        side = self._executor or self._worker
        if side is not None:
            side.draining = True
        await self._report()
        while self._executor is not None and not self._executor.is_idle:
            await self._clock.sleep(timedelta(milliseconds=50))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Links to entries.

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

    def _keep_entry(self, address: str) -> None:
        task = self._dialler_by_address.get(address)
        if task is None or task.done():
            self._dialler_by_address[address] = self._spawn(self._dial_forever(address))

    async def _dial_forever(self, address: str) -> None:
        """Keep one connection to an entry; stop when a direct connection to it exists."""
        delay = RECONNECT_MIN
        while not self._stopping.is_set():
            try:
                link, welcome = await dial(
                    address,
                    hello=self._hello(),
                    handler=self._handle,
                    clock=self._clock,
                    heartbeat=timedelta(seconds=self._settings.heartbeat_s),
                )
            except LinkError as error:
                logger.info("event=dial_failed address=%s error=%s", address, error)
                await self._clock.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(delay * 2, RECONNECT_MAX)
                continue
            delay = RECONNECT_MIN
            await self._run_entry_link(link, welcome)
            await self._clock.sleep(RECONNECT_MIN * random.uniform(0.5, 1.0))

    async def _run_entry_link(self, link: PeerLink, welcome: Welcome) -> None:
        entry_id = welcome.entry.entry_id
        current = self._link_by_entry.get(entry_id)
        if current is not None and current.is_open:
            await link.close("duplicate connection")
            await self._clock.sleep(RECONNECT_MAX)
            return
        self._link_by_entry[entry_id] = link
        logger.info("event=entry_connected entry=%s", entry_id)
        for entry in welcome.entries:
            if entry.region == self._settings.region:
                self._keep_entry(entry.peer_address)
        self._spawn(self._report())
        try:
            await link.run()
        finally:
            if self._link_by_entry.get(entry_id) is link:
                del self._link_by_entry[entry_id]
            logger.info("event=entry_lost entry=%s", entry_id)

    async def _report_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(REPORT_INTERVAL.total_seconds()):
                    if self._worker is None:
                        await asyncio.Event().wait()
                    else:
                        await self._worker.changed.wait()
            except TimeoutError:
                pass
            await self._report()

    async def _report(self) -> None:
        if self._worker is not None:
            self._worker.changed.clear()
            message: AnyMessage = WorkerReport(self._worker.load, self._worker.epoch)
        elif self._executor is not None:
            message = ExecutorReport(self._executor.load)
        for link in list(self._link_by_entry.values()):
            try:
                await link.send(message)
            except LinkError as error:
                logger.debug("event=report_lost error=%s", error)

    # Messages.

    async def _accept_agent(self, hello: Hello) -> Welcome | Goodbye:
        settings = self._settings
        info = EntryInfo(
            entry_id=EntryId(settings.target),
            region=settings.region,
            zone=settings.zone,
            peer_address=self.address,
            http_address="",
        )
        return Welcome(info, self._incarnation, ())

    async def _handle(self, link: Link, message: AnyMessage) -> AnyMessage | None:
        if isinstance(message, PeerList):
            for entry in message.entries:
                self._keep_entry(entry.peer_address)
            return None
        if isinstance(message, ConfigOffer):
            return self._take_config(message)
        if isinstance(message, ConfigRequest):
            return self._config
        if isinstance(message, SetDraining):
            return await self._set_draining(message)
        if isinstance(message, QueryState):
            return Text(json.dumps(self._dump()))
        if self._executor is not None:
            return await self._handle_executor(self._executor, message)
        if self._worker is not None:
            return await self._handle_worker(message)
        return Refused("unexpected_message")

    async def _handle_executor(self, side: ExecutorSide, message: AnyMessage) -> AnyMessage:
        if isinstance(message, RunRequest):
            return await side.run(message)
        if isinstance(message, QueryAttempt):
            return side.query_attempt(message)
        if isinstance(message, QueryKey):
            return side.query_key(message)
        return Refused("unexpected_message", type(message).__name__)

    async def _handle_worker(self, message: AnyMessage) -> AnyMessage:
        side, gangs = self._worker, self._gangs
        if side is None or gangs is None:
            return Refused("unexpected_message")
        match message:
            case LeaderAnnounce():
                return gangs.take_leader(message)
            case Reserve():
                return side.reserve(message)
            case CancelReservation():
                return await gangs.cancel(message)
            case StartGang():
                return gangs.start(message)
            case StopGang():
                return gangs.stop(message)
            case PrepareTask():
                return await side.prepare(message)
            case ReleaseTask():
                return await side.release((message.job_id, message.attempt))
            case GangBeat():
                return side.beat((message.job_id, message.attempt))
            case StopTask():
                return await side.stop(message)
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

    def _dump(self) -> object:
        side = self._executor or self._worker
        return {
            "target": self._settings.target,
            "incarnation": self._incarnation,
            "config_generation": self._config.generation,
            "entries": sorted(self._link_by_entry),
            "leader": self._gangs.leader if self._gangs is not None else None,
            "epoch": self._worker.epoch if self._worker is not None else Epoch(0),
            "load": msgspec.to_builtins(side.load) if side is not None else None,
            "gangs_led": [list(g) for g in self._gangs.gangs] if self._gangs is not None else [],
        }


async def _ignore_link(_: PeerLink) -> None:
    return None
