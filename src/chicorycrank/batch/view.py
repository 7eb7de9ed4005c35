"""An entry's view of the stored jobs, configuration and leader."""

import logging
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from chicorycrank.batch.keys import (
    CANCELS_PREFIX,
    FORMER_ORDERS_PREFIX,
    JOBS_PREFIX,
    LEADER_KEY,
    STATES_PREFIX,
    LeaderRecord,
    StateRecord,
    decode,
)
from chicorycrank.batch.metrics import CONFIG_VERSION, EVACUATED_ZONES
from chicorycrank.batch.threads import make_condition
from chicorycrank.batch.units import visible_state
from chicorycrank.model.batch import (
    BatchConfig,
    BatchState,
    Queue,
    Submission,
)
from chicorycrank.model.ids import JobId, QueueId, TeamId, ZoneId
from chicorycrank.ports.transactions import Item, Revision

logger = logging.getLogger("absl")

Record = TypeVar("Record")

NOT_STARTED = StateRecord(BatchState.QUEUED)
TRACKED_PREFIXES = (JOBS_PREFIX, CANCELS_PREFIX)  # the leader itself writes the other records


class ConfigView:
    """Configuration in force; an older version never replaces a newer one."""

    def __init__(self) -> None:
        self.config: BatchConfig | None = None
        self.queues_by_id: dict[QueueId, Queue] = {}
        self._queues_by_host: dict[str, list[Queue]] = {}
        self._team_by_key: dict[str, TeamId] = {}

    def apply(self, config: BatchConfig) -> bool:
        """Apply a configuration; return false if it is not newer."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.queues_by_id = {queue.queue_id: queue for queue in config.queues}
        by_host: dict[str, list[Queue]] = {}
        for queue in sorted(config.queues, key=lambda queue: -len(queue.prefix)):
            by_host.setdefault(queue.host, []).append(queue)
        self._queues_by_host = by_host
        self._team_by_key = {key: team.team for team in config.teams for key in team.keys}
        self.config = config
        CONFIG_VERSION.set(config.version)
        logger.info("event=config_in_force generation=%d", config.version)
        return True

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching path prefix, or None."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def find_team(self, key: str) -> TeamId | None:
        """Return the team of an API key, or None."""
        return self._team_by_key.get(key)


class SharedView:
    """Thread-safe view of the stored jobs, configuration, evacuations and leader.

    :param decode_config: decodes the operator's document; returns None if it is unusable
    :param config_key: key of the operator's document
    :param evacuation_prefix: prefix of the operator's keys for evacuated zones; empty for none
    :ivar evacuated_zones: zones in which nothing may start
    :ivar former_orders: keys of orders that leaders of an earlier version have left
    """

    def __init__(
        self,
        config_key: str,
        decode_config: Callable[[bytes], BatchConfig | None],
        evacuation_prefix: str = "",
    ) -> None:
        self._config_key = config_key
        self._evacuation_prefix = evacuation_prefix
        self._decode_config = decode_config
        self.lock = make_condition()
        self.config = ConfigView()
        self.jobs_by_id: dict[JobId, Submission] = {}
        self.state_by_id: dict[JobId, StateRecord] = {}
        self.cancelled: set[JobId] = set()
        self.evacuated_zones: set[ZoneId] = set()
        self.former_orders: set[str] = set()
        self.leader: LeaderRecord | None = None
        self.leader_revision = Revision(0)
        self._changed_keys: list[str] = []

    def apply(self, items: Sequence[Item]) -> None:
        """Apply changes of the store; only the replica calls it, which orders them by revision."""
        with self.lock:
            for item in items:
                try:
                    self._apply_item(item)
                except msgspec.DecodeError as error:
                    logger.warning("event=record_unreadable key=%s error=%s", item.key, error)
                if item.key.startswith(TRACKED_PREFIXES) or self._is_operators(item.key):
                    self._changed_keys.append(item.key)
            self.lock.notify_all()

    def _is_operators(self, key: str) -> bool:
        return key == self._config_key or self._is_evacuation(key)

    def _is_evacuation(self, key: str) -> bool:
        prefix = self._evacuation_prefix
        return bool(prefix) and key.startswith(prefix) and key != prefix

    def _apply_item(self, item: Item) -> None:
        key, value = item.key, item.value
        if key == self._config_key:
            config = self._decode_config(value) if value is not None else None
            if config is not None:
                self.config.apply(config)
        elif self._is_evacuation(key):
            zone = ZoneId(key.removeprefix(self._evacuation_prefix))
            (self.evacuated_zones.discard if value is None else self.evacuated_zones.add)(zone)
            EVACUATED_ZONES.set(len(self.evacuated_zones))
            logger.info(
                "event=evacuation_learned zone=%s evacuated=%s revision=%d",
                zone,
                value is not None,
                item.revision,
            )
        elif key.startswith(JOBS_PREFIX):
            _store_record(self.jobs_by_id, JobId(key.removeprefix(JOBS_PREFIX)), value, Submission)
        elif key.startswith(STATES_PREFIX):
            job_id = JobId(key.removeprefix(STATES_PREFIX))
            _store_record(self.state_by_id, job_id, value, StateRecord)
        elif key.startswith(CANCELS_PREFIX):
            job_id = JobId(key.removeprefix(CANCELS_PREFIX))
            (self.cancelled.discard if value is None else self.cancelled.add)(job_id)
            if value is not None:
                logger.info(
                    "event=cancel_learned job=%s known=%s state=%s revision=%d",
                    job_id,
                    job_id in self.jobs_by_id,
                    self.state_by_id.get(job_id, NOT_STARTED).state.name.lower(),
                    item.revision,
                )
        elif key.startswith(FORMER_ORDERS_PREFIX):
            (self.former_orders.discard if value is None else self.former_orders.add)(key)
        elif key == LEADER_KEY:
            self.leader = None if value is None else decode(value, LeaderRecord)
            self.leader_revision = Revision(0) if value is None else item.revision

    @property
    def has_changed_keys(self) -> bool:
        """Whether :meth:`pop_changed_keys` would return any keys."""
        return bool(self._changed_keys)

    def pop_changed_keys(self) -> list[str]:
        """Return and clear the keys of changed records; the caller holds the lock."""
        changed_keys, self._changed_keys = self._changed_keys, []
        return changed_keys

    def state_of(self, job_id: JobId) -> BatchState | None:
        """Return the state of a job, or None if it is not known here."""
        with self.lock:
            if job_id not in self.jobs_by_id:
                return None
            record = self.state_by_id.get(job_id, NOT_STARTED)
            return visible_state(record.state, is_cancelled=job_id in self.cancelled)

    def state_reason(self, job_id: JobId) -> str:
        """Return why a job has failed or is not planned, or an empty string."""
        with self.lock:
            return self.state_by_id.get(job_id, NOT_STARTED).reason

    def count_pending(self, queue_id: QueueId) -> int:
        """Return the number of jobs of a queue that have not started."""
        with self.lock:
            return sum(
                1
                for job_id, job in self.jobs_by_id.items()
                if job.queue.queue_id == queue_id
                and job_id not in self.cancelled
                and self.state_by_id.get(job_id, NOT_STARTED).state is BatchState.QUEUED
            )


def _store_record(
    records: dict[JobId, Record], job_id: JobId, value: bytes | None, kind: type[Record]
) -> None:
    if value is None:
        records.pop(job_id, None)
    else:
        records[job_id] = decode(value, kind)
