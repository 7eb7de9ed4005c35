"""Routing of job calls to the leaders of cells."""

import asyncio
import hashlib
import json
import uuid
from collections.abc import Awaitable, Callable, Iterator
from copy import copy
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from chicorycrank.entry.cell_binding import CellBinding
from chicorycrank.entry.directory import Directory
from chicorycrank.entry.election import VACANT
from chicorycrank.entry.scheduler import Scheduler
from chicorycrank.entry.waiting import wait_at_most
from chicorycrank.model.config import Config
from chicorycrank.model.ids import CellId, EntryId, JobId, TeamId
from chicorycrank.model.jobs import JobRecord, JobSpec
from chicorycrank.model.messages import (
    AnyMessage,
    CancelJob,
    CellLoad,
    ExplainJob,
    JobFindings,
    JobList,
    JobReply,
    ListJobs,
    QueryJob,
    Refused,
    ReleaseQuarantine,
    SubmitJob,
    Text,
    WhereJob,
)
from chicorycrank.policy.cell_choice import choose_cell
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import LinkError, MessageNotSentError
from chicorycrank.ports.store import Store, StoreError

CALL_TIMEOUT = timedelta(seconds=5)
# Covers a planned change of the leader. After a crash, the cell has no leader for longer: until the
# lease of the old one, which is 5 s, has expired.
LEADER_CHANGE_TIMEOUT = timedelta(seconds=1.5)
# Covers two calls, the wait between them, and the binding of a key to a cell.
JOB_CALL_TIMEOUT_S = 20.0
RETRY_AFTER_S = 5.0
# Refusals that mean that the message was not executed.
NO_LEADER_CODES = frozenset({"not_leader", "no_leader"})
# Refusals of a second attempt that leave open whether the first, unanswered one was executed.
INCONCLUSIVE_CODES = NO_LEADER_CODES | {"no_reply", "store_unavailable"}


def make_job_id(cell: CellId, team: TeamId, key: str) -> JobId:
    """Return the id of the job that a team submits to a cell under an idempotency key."""
    digest = hashlib.sha256(f"{team}\n{key}".encode()).hexdigest()[:16]
    return JobId(f"{cell}-{digest}")


def cell_of(job_id: JobId) -> CellId:
    """Return the cell that a job id belongs to."""
    return CellId(job_id.rsplit("-", 1)[0])


@dataclass(frozen=True, kw_only=True)
class CellReplies:
    """Replies of the leaders of all known cells."""

    reply_by_cell: dict[CellId, AnyMessage]


class JobRouter:
    """Sends job messages to the leader of the job's cell.

    :param confirm_leadership: returns whether this entry still is the leader of its cell
    """

    def __init__(
        self,
        cell: CellId,
        directory: Directory,
        scheduler: Scheduler,
        confirm_leadership: Callable[[], Awaitable[bool]],
        *,
        store: Store,
        clock: Clock,
        config: Callable[[], Config],
    ) -> None:
        self._cell = cell
        self._directory = directory
        self._scheduler = scheduler
        self._confirm_leadership = confirm_leadership
        self._clock = clock
        self._config = config
        self._binding = CellBinding(store)
        self._leader_changed = asyncio.Event()
        self.leader_by_cell: dict[CellId, EntryId] = {}

    @property
    def config(self) -> Config:
        """Current configuration."""
        return self._config()

    def record_leader(self, cell: CellId, leader: EntryId) -> None:
        """Record the leader of a cell and wake calls that wait for a new one."""
        if self.leader_by_cell.get(cell) != leader:
            self.leader_by_cell[cell] = leader
            self._leader_changed.set()
            self._leader_changed = asyncio.Event()

    # Calls for any cell.

    async def submit(self, spec: JobSpec, key: str | None) -> AnyMessage:
        """Submit a job to its region's cell, or to the best one if it names no region.

        :param key: idempotency key; without one, a repeated call submits another job
        """
        if spec.region is not None:
            cell = CellId(spec.region)
        else:
            cell = choose_cell(spec, self._cell_loads(), self.config.guarantees) or self._cell
            if key is not None:
                try:
                    cell = await self._binding.bind(spec.team, key, cell)
                except StoreError as error:
                    return Refused("store_unavailable", str(error), RETRY_AFTER_S)
        job_id = make_job_id(cell, spec.team, key or uuid.uuid4().hex)
        return await self.send_to_leader(cell, SubmitJob(job_id, spec))

    async def where(self, spec: JobSpec) -> AnyMessage:
        """Return where a job would go now, from the leader of the cell that would get it."""
        if spec.region is not None:
            cell = CellId(spec.region)
        else:
            cell = choose_cell(spec, self._cell_loads(), self.config.guarantees) or self._cell
        return await self.send_to_leader(cell, WhereJob(spec))

    async def send_to_all_leaders(self, message: AnyMessage) -> CellReplies:
        """Send a message to the leaders of all known cells and return their replies."""
        cells = sorted({self._cell, *self.leader_by_cell})
        replies = await asyncio.gather(*(self.send_to_leader(cell, message) for cell in cells))
        return CellReplies(reply_by_cell=dict(zip(cells, replies, strict=True)))

    async def release_quarantine(self, message: ReleaseQuarantine) -> AnyMessage:
        """End a worker's quarantine; all cells are called, as the worker may belong to any."""
        replies = (await self.send_to_all_leaders(message)).reply_by_cell.values()
        refused = [reply for reply in replies if isinstance(reply, Refused)]
        accepted = [reply for reply in replies if not isinstance(reply, Refused)]
        inconclusive = [reply for reply in refused if reply.code != "no_such_target"]
        return (accepted or inconclusive or refused)[0]

    async def send_to_leader(self, cell: CellId, message: AnyMessage) -> AnyMessage:
        """Return the reply of a cell's leader, or ``Refused``.

        The refusal ``no_reply`` means that the message may have been executed. A message that is
        safe to repeat is sent a second time if the first reply is lost. A message that reached no
        leader is sent again once the cell has a new leader, or after a wait.
        """
        previous = self.leader_by_cell.get(cell)
        first = await self._send_once(cell, message)
        code = first.code if isinstance(first, Refused) else ""
        is_reply_lost = code == "no_reply"
        if not (code in NO_LEADER_CODES or (is_reply_lost and _is_idempotent(message))):
            return first
        if not is_reply_lost:
            await wait_at_most(
                self._clock, self._wait_for_leader(cell, previous), LEADER_CHANGE_TIMEOUT
            )
        second = await self._send_once(cell, message)
        if is_reply_lost and isinstance(second, Refused) and second.code in INCONCLUSIVE_CODES:
            return Refused(
                "no_reply", f"no reply to the first attempt; second attempt: {second.code}"
            )
        return second

    async def _wait_for_leader(self, cell: CellId, previous: EntryId | None) -> None:
        """Wait until a cell has another leader than ``previous``."""
        while not (cell == self._cell and self._scheduler.is_leader):
            if self.leader_by_cell.get(cell) not in (None, previous, VACANT):
                return
            await self._leader_changed.wait()

    async def _send_once(self, cell: CellId, message: AnyMessage) -> AnyMessage:
        if cell == self._cell and self._scheduler.is_leader:
            return await self.serve(message)
        leader = self.leader_by_cell.get(cell)
        peer = self._directory.peers_by_id.get(leader) if leader else None
        if peer is None or peer.link is None:
            detail = f"cell {cell} has no leader that can be reached"
            return Refused("no_leader", detail, RETRY_AFTER_S)
        wait_s = message.wait_s if isinstance(message, QueryJob) else 0.0
        try:
            timeout = CALL_TIMEOUT + timedelta(seconds=wait_s)
            return await peer.link.request(message, timeout=timeout)
        except MessageNotSentError as error:
            return Refused("no_leader", str(error), RETRY_AFTER_S)
        except LinkError as error:
            return Refused("no_reply", str(error))

    def _cell_loads(self) -> Iterator[CellLoad]:
        """Return the latest load of each cell whose leader is connected."""
        loads: dict[CellId, CellLoad] = {}
        for peer in self._directory.peers_by_id.values():
            is_connected = peer.link is not None and peer.link.is_open
            for load in peer.digest.cells if peer.digest and is_connected else ():
                if load.cell not in loads or load.epoch > loads[load.cell].epoch:
                    loads[load.cell] = load
        own_load = self._scheduler.cell_load()
        if own_load is not None:
            loads[own_load.cell] = own_load
        return iter(loads.values())

    # Calls that this entry serves as the leader of its cell.

    async def serve(self, message: AnyMessage) -> AnyMessage:
        """Return the reply to a job message; refuse it if this entry is not the leader."""
        if not self._scheduler.is_leader or not await self._confirm_leadership():
            return Refused("not_leader")
        match message:
            case SubmitJob():
                return _to_reply(await self._scheduler.submit(message.job_id, message.spec))
            case CancelJob():
                reply = await self._scheduler.cancel(message.job_id, message.if_generation)
                return _to_reply(reply)
            case QueryJob():
                return await self._query(message)
            case ExplainJob():
                document = self._scheduler.explain(message.job_id)
                return Text(json.dumps(document)) if document else Refused("no_such_job")
            case WhereJob():
                answer = self._scheduler.where(message.spec)
                if isinstance(answer, JobFindings | Refused):
                    return answer
                document = {"cell": self._cell} | msgspec.to_builtins(answer)
                return Text(json.dumps(document))
            case ListJobs():
                job_list = self._scheduler.jobs.list_matching(message)
                return JobList(tuple(map(copy, job_list.records)), job_list.omitted)
            case ReleaseQuarantine():
                return self._scheduler.release_quarantine(message.worker)
        return Refused("unexpected_message", type(message).__name__)

    async def _query(self, message: QueryJob) -> AnyMessage:
        jobs = self._scheduler.jobs
        record = await jobs.wait_for_generation(message.job_id, message.above, message.wait_s)
        if not self._scheduler.is_leader:
            return Refused("not_leader")
        return JobReply(copy(record)) if record else Refused("no_such_job")


def _to_reply(reply: AnyMessage | JobRecord) -> AnyMessage:
    return JobReply(copy(reply)) if isinstance(reply, JobRecord) else reply


def _is_idempotent(message: AnyMessage) -> bool:
    """Return whether a message may be executed twice.

    A cancellation with ``if_generation`` may not: it changes the generation, so that a repetition
    is refused.
    """
    return not isinstance(message, CancelJob) or message.if_generation is None
