"""Leader election: one entry at a time plans and writes progress and orders."""

import logging

from chicorycrank.batch.interference_records import show_metrics
from chicorycrank.batch.metrics import IS_LEADER
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.role import LeaderRole, RoleLostError
from chicorycrank.batch.term import Term, TermDependencies
from chicorycrank.batch.threads import keep_running, make_event
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import Submission
from chicorycrank.model.ids import EntryId
from chicorycrank.policy.interference import FoundPair
from chicorycrank.policy.where import PlacementAnswer
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import MISSING, StoreUnavailableError, TransactionalStore

IDLE_WAIT_S = 0.5
ELECTION_RETRY_S = 0.2

logger = logging.getLogger("absl")


class LeaderElection:
    """Participant in the leader election, which serves a term while it holds the role.

    :param replica: keeps ``view`` up to date
    :ivar is_leading: whether this entry holds the leader role
    """

    def __init__(
        self,
        store: TransactionalStore,
        view: SharedView,
        replica: Replica,
        clock: Clock,
        entry: EntryId,
        dependencies: TermDependencies,
    ) -> None:
        self._store = store
        self._view = view
        self._replica = replica
        self._clock = clock
        self._entry = entry
        self._dependencies = dependencies
        self._stop = make_event()
        self.is_leading = False
        self._term: Term | None = None

    def start(self) -> None:
        """Run elections in a background thread."""
        keep_running(self._run_elections, "leader", self._stop)

    def stop(self) -> None:
        """Stop, and release the role if this entry holds it."""
        self._stop.set()
        with self._view.lock:
            self._view.lock.notify_all()

    def found_interference(self) -> tuple[FoundPair, ...]:
        """Return the pairs of workloads that this entry keeps apart while it leads."""
        term = self._term
        return () if term is None else term.found_interference()

    def explain_placement(self, job: Submission) -> tuple[PlacementAnswer, ...] | None:
        """Return where a job would go now; None if this entry does not lead.

        :raises NotAnsweredError: the planner gave no answer in time
        """
        term = self._term
        return None if term is None else term.where_calls.ask(job)

    def _run_elections(self) -> None:
        self._replica.is_loaded.wait()
        while not self._stop.is_set():
            with self._view.lock:
                leader = self._view.leader
                # A killed entry may restart before its lease expires; no other process uses its id.
                if leader is not None and leader.entry != self._entry:
                    self._view.lock.wait(IDLE_WAIT_S)
                    continue
                replaced_revision = MISSING if leader is None else self._view.leader_revision
            role = LeaderRole(self._store, self._entry)
            try:
                if role.acquire(replaced_revision):
                    self._serve_term(role)
                else:
                    self._stop.wait(ELECTION_RETRY_S)
            except StoreUnavailableError as error:
                logger.warning("event=election_failed error=%s", error)
                self._stop.wait(ELECTION_RETRY_S)

    def _serve_term(self, role: LeaderRole) -> None:
        logger.info("event=leader_elected entry=%s", self._entry)
        self.is_leading = True
        IS_LEADER.set(1)
        term = Term(
            self._store,
            self._view,
            self._replica,
            self._clock,
            role,
            self._dependencies,
            self._stop,
        )
        self._term = term
        try:
            term.serve()
        except RoleLostError as error:
            logger.warning("event=leader_role_lost reason=%s", error)
        finally:
            self.is_leading = False
            IS_LEADER.set(0)
            self._term = None
            show_metrics(())
        if self._stop.is_set():
            self._release_role(role)

    def _release_role(self, role: LeaderRole) -> None:
        try:
            role.release()
            logger.info("event=leader_released")
        except StoreUnavailableError as error:
            logger.warning("event=leader_release_failed error=%s", error)
