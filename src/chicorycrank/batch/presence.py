"""Presence key of an agent in the store, under a lease that the agent renews."""

import logging
from collections.abc import Callable

from chicorycrank.batch.keys import presence_key, resumption_key
from chicorycrank.batch.leases import (
    PRESENCE_LEASE_S,
    PRESENCE_RENEWAL_INTERVAL_S,
    PRESENCE_RESUME_DELAY_S,
)
from chicorycrank.batch.threads import Event
from chicorycrank.model.ids import TargetId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import (
    MISSING,
    Conflict,
    Lease,
    LeaseEndedError,
    StoreUnavailableError,
    TransactionalStore,
    Write,
)

# A presence that expired during a store outage is restored within a second after the outage.
RETRY_DELAY_S = 0.15
COMMIT_TIMEOUT_S = 0.8

logger = logging.getLogger("absl")


class Presence:
    """Key that exists while this process can reach the store.

    A second key, without a lease, changes with each new presence key. It shows whether the presence
    has been missing ever since it was seen to expire.

    :param worker: worker of the agent
    :param on_renewed: called after each renewal, and when :attr:`resumed_at` is reached
    :ivar confirmed_at: monotonic time at which the last successful renewal was sent
    :ivar resumed_at: monotonic time from which the leader knows that the presence was restored
    """

    def __init__(
        self,
        store: TransactionalStore,
        worker: TargetId,
        clock: Clock,
        stop: Event,
        on_renewed: Callable[[], None],
    ) -> None:
        self._store = store
        self._key = presence_key(worker)
        self._resumption_key = resumption_key(worker)
        self._clock = clock
        self._stop = stop
        self._on_renewed = on_renewed
        self._lease = Lease(0)
        # The key was missing, and no creation was confirmed since; an unanswered one may exist.
        self._was_missing = False
        self.confirmed_at = float("-inf")
        self.resumed_at = float("-inf")

    def keep(self) -> None:
        """Renew the lease until the process stops."""
        delay_s = 0.0
        while not self._stop.wait(delay_s):
            try:
                self.renew()
                self._on_renewed()
                delay_s = PRESENCE_RENEWAL_INTERVAL_S
                resumes_in_s = self.resumed_at - self._clock.monotonic()
                if resumes_in_s > 0:
                    delay_s = min(delay_s, resumes_in_s)
            except (StoreUnavailableError, LeaseEndedError) as error:
                logger.warning("event=presence_failed key=%s error=%s", self._key, error)
                delay_s = RETRY_DELAY_S

    def renew(self) -> None:
        """Renew the lease, or create the key under a new lease.

        :raises LeaseEndedError: the new lease expired before the key was written
        :raises StoreUnavailableError: the store did not respond
        """
        sent_at = self._clock.monotonic()
        if (self._lease and self._store.renew(self._lease)) or self._create_key():
            self.confirmed_at = sent_at

    def _create_key(self) -> bool:
        """Create the key under a new lease; return false if another write came first.

        A write that the store applies late would move the key to a lease that is not renewed, so
        each write is conditional on the revision of the key.
        """
        self._lease = Lease(0)
        lease = self._store.grant(PRESENCE_LEASE_S)
        current = self._store.read(self._key)
        self._was_missing = self._was_missing or current is None
        write = Write(
            expected={self._key: MISSING if current is None else current.revision},
            values={self._key: b"1", self._resumption_key: b"1"},
            leases={self._key: lease},
        )
        if isinstance(self._store.commit(write, timeout_s=COMMIT_TIMEOUT_S), Conflict):
            logger.warning("event=presence_conflict key=%s", self._key)
            return False
        self._lease = lease
        if self._was_missing:
            self._was_missing = False
            self.resumed_at = self._clock.monotonic() + PRESENCE_RESUME_DELAY_S
        logger.info("event=presence_created key=%s lease=%d", self._key, lease)
        return True
