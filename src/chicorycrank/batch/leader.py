"""The leader role: one entry at a time plans and writes progress and orders."""

import logging
import secrets
import threading
from collections.abc import Callable, Sequence

import msgspec

from chicorycrank.batch.absences import Absences
from chicorycrank.batch.advice import AdviceBook
from chicorycrank.batch.keys import (
    CANCELS,
    JOBS,
    LEADER,
    PRESENCE,
    REPORTS,
    REPORTS_PREFIX,
    LeaderRecord,
    cancel_key,
    decode,
    encode,
    job_key,
    order_key,
    progress_key,
)
from chicorycrank.batch.metrics import IS_LEADER
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.shapes import UnitShapes
from chicorycrank.batch.threads import keep_running
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import FINAL_BATCH_STATES, Progress, WorkerReport
from chicorycrank.model.ids import EntryId, JobId, TargetId
from chicorycrank.ports.advice import AdviceService
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import (
    ABSENT,
    Committed,
    Conflict,
    Item,
    Lease,
    LeaseEndedError,
    Revision,
    StoreUnavailableError,
    TransactionalStore,
    Write,
)

# A leader that stops is replaced after this time; below the store's answer time times ten under
# a slow store, the role would move without need.
LEASE_S = 2.0
RENEWALS_PER_LEASE = 4
# Changes that arrive within this time are planned together.
GATHER_S = 0.02
IDLE_WAIT_S = 0.5
ELECTION_RETRY_S = 0.2
COMMIT_RETRY_S = 0.1
COMMIT_TIMEOUT_S = 0.8
# The store takes 32 entries in a write; one is the leader's record and one its condition.
KEYS_PER_WRITE = 29
REPORT_WATCH_S = 5.0
# Callers may ask for the state of a job this much longer than they were promised.
FORGET_MARGIN_S = 30.0

logger = logging.getLogger("absl")


class DeposedError(Exception):
    """Another entry has the role, or it is free."""


class Role:
    """The leader's record in the store, which makes every write of the leader conditional.

    Each write replaces the record, so writes of a term take effect in their order and at most
    once, also those that the store carries out late.
    """

    def __init__(self, store: TransactionalStore, entry: EntryId) -> None:
        self._store = store
        self._lease = Lease(0)
        self._record = LeaderRecord(entry=entry, term="")
        self._revision = ABSENT

    @property
    def entry(self) -> EntryId:
        """The entry that competes for the role."""
        return self._record.entry

    def take(self) -> bool:
        """Take the role if it is free.

        :raises StoreUnavailableError: the store did not answer
        """
        self._lease = self._store.grant(LEASE_S)
        entry = self._record.entry
        self._record = LeaderRecord(entry=entry, term=secrets.token_hex(4))
        self._revision = ABSENT
        return self._write({}, ()) is not None

    def renew(self) -> bool:
        """Renew the lease of the role; false if it has ended."""
        return self._store.renew(self._lease)

    def release(self) -> None:
        """Give the role up at once."""
        self._store.revoke(self._lease)

    def write(self, values: dict[str, bytes], deletes: Sequence[str]) -> None:
        """Apply a write of the leader.

        :raises DeposedError: another entry has the role, or it is free
        :raises StoreUnavailableError: the store did not answer; call again with the same values
        """
        if self._write(values, deletes) is None:
            raise DeposedError("the leader's record has changed")

    def _write(self, values: dict[str, bytes], deletes: Sequence[str]) -> Revision | None:
        record = msgspec.structs.replace(self._record, writes=self._record.writes + 1)
        write = Write(
            expected={LEADER: self._revision},
            values={LEADER: encode(record), **values},
            leases={LEADER: self._lease},
            deletes=deletes,
        )
        try:
            answer = self._store.commit(write, timeout_s=COMMIT_TIMEOUT_S)
        except LeaseEndedError:
            return None
        revision = _revision_of(answer, record)
        if revision is not None:
            self._record, self._revision = record, revision
        return revision


def _revision_of(answer: Committed | Conflict, record: LeaderRecord) -> Revision | None:
    """Return the revision of a write that was applied now or by an earlier attempt."""
    if isinstance(answer, Committed):
        return answer.revision
    item = answer.items.get(LEADER)
    if item is None or not item.value:
        return None
    try:
        found = decode(item.value, LeaderRecord)
    except msgspec.DecodeError:
        return None
    return item.revision if found == record else None


class Leader:
    """Takes the role when it is free, and plans while it has it.

    :param absences: makes what finds the absent workers of a term
    :param status_s: how long the state of an ended job is kept
    """

    def __init__(
        self,
        store: TransactionalStore,
        view: SharedView,
        replica: Replica,
        clock: Clock,
        entry: EntryId,
        *,
        shapes: Callable[[], UnitShapes],
        advice: AdviceService,
        absences: Callable[[], Absences],
        status_s: float,
    ) -> None:
        self._store = store
        self._view = view
        self._replica = replica
        self._clock = clock
        self._role = Role(store, entry)
        self._shapes = shapes
        self._advice = advice
        self._make_absences = absences
        self._absences = absences()
        self._status_s = status_s
        self._stop = threading.Event()
        self._deposed = False
        self._report_news: list[Item] = []
        self.planner: Planner | None = None

    def start(self) -> None:
        """Compete for the role in a thread."""
        keep_running(self._run, "leader", self._stop)

    def stop(self) -> None:
        """Give the role up if this entry has it."""
        self._stop.set()
        self._wake()

    def _run(self) -> None:
        self._replica.is_loaded.wait()
        while not self._stop.is_set():
            with self._view.lock:
                if self._view.leader is not None:
                    self._view.lock.wait(IDLE_WAIT_S)
                    continue
            try:
                if self._role.take():
                    self._serve_term()
                else:
                    self._stop.wait(ELECTION_RETRY_S)
            except StoreUnavailableError as error:
                logger.warning("event=election_failed error=%s", error)
                self._stop.wait(ELECTION_RETRY_S)

    def _serve_term(self) -> None:
        logger.info("event=leader_elected entry=%s", self._role.entry)
        IS_LEADER.set(1)
        self._deposed = False
        reports = Replica(
            self._store, REPORTS_PREFIX, self._put_reports, self._clock, wait_s=REPORT_WATCH_S
        )
        self._report_news = []
        reports.start()
        threading.Thread(target=self._renew_forever, name="leader-lease", daemon=True).start()
        book = AdviceBook(self._advice, self._clock, self._wake)
        try:
            while not reports.is_loaded.wait(IDLE_WAIT_S):
                if self._deposed or self._stop.is_set():
                    return
            self._absences = self._make_absences()
            self.planner = self._make_planner()
            while not self._stop.is_set():
                self._step(self.planner, book)
                self._wait(self.planner)
        except DeposedError as error:
            logger.warning("event=leader_deposed reason=%s", error)
        finally:
            self._deposed = True
            IS_LEADER.set(0)
            self.planner = None
            reports.stop()
            book.stop()
        if self._stop.is_set():
            self._release()

    def _release(self) -> None:
        try:
            self._role.release()
            logger.info("event=leader_released")
        except StoreUnavailableError as error:
            logger.warning("event=leader_release_failed error=%s", error)

    def _renew_forever(self) -> None:
        while not self._stop.wait(LEASE_S / RENEWALS_PER_LEASE) and not self._deposed:
            try:
                if not self._role.renew():
                    self._deposed = True
                    self._wake()
            except StoreUnavailableError as error:
                logger.warning("event=leader_renewal_failed error=%s", error)

    def _put_reports(self, items: Sequence[Item]) -> None:
        with self._view.lock:
            self._report_news += items
            self._view.lock.notify_all()

    def _wake(self) -> None:
        with self._view.lock:
            self._view.lock.notify_all()

    # A term.

    def _make_planner(self) -> Planner:
        """Build the state of the leader from the store's records alone."""
        planner = Planner(self._shapes(), self._clock.monotonic())
        self._set_time(planner)
        with self._view.lock:
            self._view.take_news()
            self._put_config(planner)
            for job_id, job in self._view.jobs_by_id.items():
                progress = self._view.progress_by_id.get(job_id)
                planner.put_job(job, _copy(progress) if progress is not None else None)
            for job_id in self._view.cancelled:
                planner.cancel(job_id)
        # Orders that a former leader had not written yet are written now.
        planner.changes.workers.update(planner.runs_by_worker)
        return planner

    def _step(self, planner: Planner, book: AdviceBook) -> None:
        """Take over the news, plan, and write what has changed."""
        self._set_time(planner)
        with self._view.lock:
            news = self._view.take_news()
            reports, self._report_news = self._report_news, []
            self._put_news(planner, news)
        for item in reports:
            self._put_report(planner, item)
        self._lose_absent(planner)
        book.update(planner)
        planner.plan()
        self._commit(planner)

    def _put_news(self, planner: Planner, keys: list[str]) -> None:
        self._put_config(planner)
        for key in keys:
            if key.startswith(JOBS):
                job_id = JobId(key.removeprefix(JOBS))
                job = self._view.jobs_by_id.get(job_id)
                if job is not None and job_id not in planner.jobs_by_id:
                    planner.put_job(job, None)
            elif key.startswith(CANCELS):
                job_id = JobId(key.removeprefix(CANCELS))
                if job_id in self._view.cancelled:
                    planner.cancel(job_id)
        for job_id in self._view.cancelled - planner.cancelled:
            planner.cancel(job_id)

    def _put_config(self, planner: Planner) -> None:
        config = self._view.config.config
        if config is not None and planner.queues_by_id is not self._view.config.queues_by_id:
            planner.set_config(self._view.config.queues_by_id, config.teams)

    def _put_report(self, planner: Planner, item: Item) -> None:
        if item.key.startswith(PRESENCE):
            worker = TargetId(item.key.removeprefix(PRESENCE))
            planner.workers.set_present(worker, item.value is not None)
        elif item.key.startswith(REPORTS):
            worker = TargetId(item.key.removeprefix(REPORTS))
            if item.value is None:
                planner.workers.forget_report(worker)
                return
            try:
                planner.put_report(worker, decode(item.value, WorkerReport))
            except msgspec.DecodeError as error:
                logger.warning("event=report_unreadable target=%s error=%s", worker, error)

    def _lose_absent(self, planner: Planner) -> None:
        busy = {worker for worker, runs in planner.runs_by_worker.items() if runs}
        for worker in self._absences.find_lost(planner.workers, busy):
            planner.lose_worker(worker)

    def _commit(self, planner: Planner) -> None:
        changes = planner.changes
        deletes = self._forget_old(planner)
        if not changes and not deletes:
            return
        values = {
            progress_key(job_id): encode(planner.progress_by_id[job_id])
            for job_id in changes.jobs
            if job_id in planner.progress_by_id
        }
        for worker in changes.workers:
            values[order_key(worker)] = encode(planner.order_for(worker))
        keys = list(values)
        while keys or deletes:
            part, keys = keys[:KEYS_PER_WRITE], keys[KEYS_PER_WRITE:]
            room = KEYS_PER_WRITE - len(part)
            gone, deletes = deletes[:room], deletes[room:]
            self._write_until_known({key: values[key] for key in part}, gone)
        with self._view.lock:
            for job_id in changes.jobs & planner.progress_by_id.keys():
                self._view.progress_by_id[job_id] = _copy(planner.progress_by_id[job_id])
        changes.jobs.clear()
        changes.workers.clear()

    def _write_until_known(self, values: dict[str, bytes], deletes: list[str]) -> None:
        while True:
            if self._deposed:
                raise DeposedError("the lease of the role has ended")
            try:
                self._role.write(values, deletes)
                return
            except StoreUnavailableError as error:
                logger.warning("event=leader_write_failed error=%s", error)
                if self._stop.wait(COMMIT_RETRY_S):
                    raise DeposedError("the entry stops") from error

    def _forget_old(self, planner: Planner) -> list[str]:
        """Forget jobs whose state is not promised any more, and return their keys."""
        limit_ms = planner.now_ms - round((self._status_s + FORGET_MARGIN_S) * 1000)
        deletes: list[str] = []
        for job_id, progress in list(planner.progress_by_id.items()):
            is_over = progress.state in FINAL_BATCH_STATES and progress.ended_at_ms < limit_ms
            if is_over and not any(unit.places for unit in progress.units.values()):
                planner.forget_job(job_id)
                deletes += [job_key(job_id), progress_key(job_id), cancel_key(job_id)]
        return deletes

    def _wait(self, planner: Planner) -> None:
        """Wait for news, the next occurrence of a job or the next look at absent workers."""
        due_ms = planner.next_due_ms()
        wait_s = IDLE_WAIT_S
        if due_ms is not None:
            wait_s = min(wait_s, max(0.0, due_ms / 1000 - self._clock.now().timestamp()))
        with self._view.lock:
            if not self._view.has_news and not self._report_news and not self._deposed:
                self._view.lock.wait(wait_s)
        if self._deposed:
            raise DeposedError("the lease of the role has ended")
        self._stop.wait(GATHER_S)

    def _set_time(self, planner: Planner) -> None:
        now_ms = int(self._clock.now().timestamp() * 1000)
        planner.set_time(self._clock.monotonic(), now_ms)


def _copy(progress: Progress) -> Progress:
    """Return a copy that later plans do not change."""
    return decode(encode(progress), Progress)
