"""An agent's presence in the store, under a lease that it renews."""

import logging
import threading

from chicorycrank.batch.leases import (
    PRESENCE_LEASE_S,
    PRESENCE_RENEWAL_INTERVAL_S,
    PRESENCE_RESUME_DELAY_S,
)
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import (
    ABSENT,
    Conflict,
    Lease,
    LeaseEndedError,
    StoreUnavailableError,
    TransactionalStore,
    Write,
)

# A presence that lapsed while the store was away is back within a second of its return.
RETRY_DELAY_S = 0.15
COMMIT_TIMEOUT_S = 0.8

logger = logging.getLogger("absl")


class Presence:
    """Keeps a key for as long as this process reaches the store.

    :ivar confirmed_at: monotonic time at which the last successful renewal was sent
    :ivar resumed_at: monotonic time from which the leader knows that the presence is back
    """

    def __init__(
        self, store: TransactionalStore, key: str, clock: Clock, stop: threading.Event
    ) -> None:
        self._store = store
        self._key = key
        self._clock = clock
        self._stop = stop
        self._lease = Lease(0)
        self.confirmed_at = float("-inf")
        self.resumed_at = float("-inf")

    def keep(self) -> None:
        """Renew the lease until the process ends."""
        delay_s = 0.0
        while not self._stop.wait(delay_s):
            try:
                self.renew()
                delay_s = PRESENCE_RENEWAL_INTERVAL_S
            except (StoreUnavailableError, LeaseEndedError) as error:
                logger.warning("event=presence_failed key=%s error=%s", self._key, error)
                delay_s = RETRY_DELAY_S

    def renew(self) -> None:
        """Renew the lease, or create the key under a new one.

        :raises StoreUnavailableError: the store did not answer
        """
        sent_at = self._clock.monotonic()
        if (self._lease and self._store.renew(self._lease)) or self._create_key():
            self.confirmed_at = sent_at

    def _create_key(self) -> bool:
        """Put the key under a new lease; false if another write of it came first.

        A write that the store carries out late would move the key to a lease that nobody renews,
        so each is conditional.
        """
        self._lease = Lease(0)
        lease = self._store.grant(PRESENCE_LEASE_S)
        current = self._store.read(self._key)
        write = Write(
            expected={self._key: ABSENT if current is None else current.revision},
            values={self._key: b"1"},
            leases={self._key: lease},
        )
        if isinstance(self._store.commit(write, timeout_s=COMMIT_TIMEOUT_S), Conflict):
            logger.warning("event=presence_conflict key=%s", self._key)
            return False
        self._lease = lease
        if current is None:
            self.resumed_at = self._clock.monotonic() + PRESENCE_RESUME_DELAY_S
        logger.info("event=presence key=%s lease=%d", self._key, lease)
        return True
