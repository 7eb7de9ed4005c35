"""The front door of jobs: finds the leader of a cell and asks it."""

import hashlib
from collections.abc import Awaitable, Callable
from copy import copy
from datetime import timedelta

from chicorycrank.entry.directory import Directory
from chicorycrank.entry.scheduler import Scheduler
from chicorycrank.model.ids import CellId, EntryId, JobId, TeamId
from chicorycrank.model.jobs import JobRecord
from chicorycrank.model.messages import (
    AnyMessage,
    CancelJob,
    JobList,
    JobReply,
    ListJobs,
    QueryJob,
    Refused,
    SubmitJob,
)
from chicorycrank.ports.links import LinkError, LinkNotSentError

CALL_TIMEOUT = timedelta(seconds=5)


def make_job_id(cell: CellId, team: TeamId, key: str) -> JobId:
    """Return the id of the job that a team submits to a cell under an idempotency key."""
    digest = hashlib.sha256(f"{team}\n{key}".encode()).hexdigest()[:16]
    return JobId(f"{cell}-{digest}")


def cell_of(job_id: JobId) -> CellId:
    """Return the cell that a job id belongs to."""
    return CellId(job_id.rsplit("-", 1)[0])


class JobFront:
    """Hands job messages to the leader of the job's cell.

    :param confirm: returns whether this entry's term as leader goes on
    """

    def __init__(
        self,
        cell: CellId,
        directory: Directory,
        scheduler: Scheduler,
        confirm: Callable[[], Awaitable[bool]],
    ) -> None:
        self._cell = cell
        self._directory = directory
        self._scheduler = scheduler
        self._confirm = confirm
        self.leader_by_cell: dict[CellId, EntryId] = {}

    async def ask(self, cell: CellId, message: AnyMessage) -> AnyMessage:
        """Return the leader's reply, or Refused with a code that tells whether it is certain."""
        if cell == self._cell and self._scheduler.is_leader:
            return await self.serve(message)
        leader = self.leader_by_cell.get(cell)
        peer = self._directory.peers_by_id.get(leader) if leader else None
        if peer is None or peer.link is None:
            return Refused("no_leader", f"cell {cell} has no leader that can be reached")
        try:
            return await peer.link.request(message, timeout=CALL_TIMEOUT)
        except LinkNotSentError as error:
            return Refused("no_leader", str(error))
        except LinkError as error:
            return Refused("no_reply", str(error))

    async def serve(self, message: AnyMessage) -> AnyMessage:
        """Serve a job message as the leader."""
        if not self._scheduler.is_leader or not await self._confirm():
            return Refused("not_leader")
        if isinstance(message, SubmitJob):
            reply = await self._scheduler.submit(message.job_id, message.spec)
            return JobReply(copy(reply)) if isinstance(reply, JobRecord) else reply
        if isinstance(message, QueryJob):
            record = self._scheduler.find(message.job_id)
            return JobReply(copy(record)) if record else Refused("no_such_job")
        if isinstance(message, ListJobs):
            return JobList(tuple(self._scheduler.list(message.team)))
        if isinstance(message, CancelJob):
            reply = await self._scheduler.cancel(message.job_id, message.if_generation)
            return JobReply(copy(reply)) if isinstance(reply, JobRecord) else reply
        return Refused("unexpected_message", type(message).__name__)
