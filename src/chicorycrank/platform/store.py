"""HTTP client of the platform's transactional key-value store."""

import binascii
from base64 import b64decode, b64encode
from collections.abc import Set
from typing import Any

from chicorycrank.batch.metrics import STORE_CALLS, STORE_SECONDS
from chicorycrank.platform.client import Answer, NoAnswerError, PlatformClient
from chicorycrank.ports.transactions import (
    CALL_TIMEOUT_S,
    Changes,
    Committed,
    Conflict,
    HistoryLostError,
    Item,
    Lease,
    LeaseEndedError,
    Revision,
    StoreUnavailableError,
    Write,
)

# Time for a slow response of the store after the wait of a watch has ended.
WATCH_TIMEOUT_MARGIN_S = 1.0
# Statuses with which the store refuses a call; the call had no effect.
REFUSED_STATUSES = frozenset({429, 503})


class PlatformStore:
    """Store over HTTP.

    It implements :class:`~chicorycrank.ports.transactions.TransactionalStore`.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def set_address(self, address: str) -> None:
        """Send all further calls to the store at this address."""
        if address != self._client.address:
            self._client = PlatformClient(address)

    def read(self, key: str, *, timeout_s: float = CALL_TIMEOUT_S) -> Item | None:
        """Return the item of a key, or None if the key does not exist."""
        answer = self._call(
            "read",
            "GET",
            "/-/kv-key",
            fields={"key": key},
            expected_statuses={404},
            timeout_s=timeout_s,
        )
        return None if answer.status == 404 else _decode_item(answer.body)

    def read_all(self, prefix: str) -> Changes:
        """Return all items under a prefix.

        The revision is that of the first page, so a watch from it also returns the changes that
        were made while the other pages were read.
        """
        items: list[Item] = []
        revision: int | None = None
        fields = {"prefix": prefix}
        while True:
            body = self._call("list", "GET", "/-/kv-range", fields=fields).body
            page = [_decode_item(row) for row in body["items"]]
            items += page
            revision = body["currentRev"] if revision is None else revision
            if not body.get("hasMore") or not page:
                return Changes(items=items, revision=Revision(revision or 0))
            fields = {"prefix": prefix, "after": page[-1].key}

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Changes:
        """Wait for changes under a prefix; the result is empty after ``wait_s`` without one."""
        answer = self._call(
            "watch",
            "GET",
            "/-/kv-watch",
            fields={"prefix": prefix, "after": str(after), "waitMs": str(round(wait_s * 1000))},
            expected_statuses={410},
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )
        if answer.status == 410:
            raise HistoryLostError(f"the store no longer keeps the changes after revision {after}")
        items = [_decode_item(row) for row in answer.body.get("events", ())]
        return Changes(items=items, revision=Revision(answer.body["currentRev"]))

    def commit(self, write: Write, *, timeout_s: float = CALL_TIMEOUT_S) -> Committed | Conflict:
        """Apply a write atomically."""
        rows = []
        for key, value in write.values.items():
            row: dict[str, Any] = {"key": key, "value": b64encode(value).decode()}
            if key in write.leases:
                row["lease"] = write.leases[key]
            rows.append(row)
        body = {
            "expected": [{"key": k, "revision": r} for k, r in write.expected.items()],
            "setKeys": rows,
            "remove": list(write.deletes),
        }
        answer = self._call(
            "commit", "POST", "/-/kv-txn", body, expected_statuses={404, 412}, timeout_s=timeout_s
        )
        if answer.status == 404:
            raise LeaseEndedError("a lease of the write has expired or was revoked")
        if answer.status == 412:
            found = [_decode_item(row) for row in answer.body.get("items", ())]
            return Conflict(items={item.key: item for item in found})
        return Committed(revision=Revision(answer.body["revision"]))

    def grant(self, ttl_s: float) -> Lease:
        """Create a lease."""
        body = {"ttlMs": round(ttl_s * 1000)}
        return Lease(self._call("grant", "POST", "/-/kv-lease", body).body["lease"])

    def renew(self, lease: Lease) -> bool:
        """Renew a lease; return false if it has expired or was revoked."""
        answer = self._call("renew", "POST", f"/-/kv-keep/{lease}", {}, expected_statuses={404})
        return answer.status != 404

    def revoke(self, lease: Lease) -> None:
        """Revoke a lease and delete its keys."""
        self._call("revoke", "DELETE", f"/-/kv-lease-end/{lease}", expected_statuses={404})

    def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        fields: dict[str, str] | None = None,
        expected_statuses: Set[int] = frozenset(),
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Answer:
        try:
            with STORE_SECONDS.labels(operation).time():
                answer = self._client.call(method, path, body, fields=fields, timeout_s=timeout_s)
        except NoAnswerError as error:
            STORE_CALLS.labels(operation, "no-answer").inc()
            raise StoreUnavailableError(str(error), has_no_effect=not error.sent) from error
        STORE_CALLS.labels(operation, str(answer.status)).inc()
        if answer.status != 200 and answer.status not in expected_statuses:
            text = f"{method} {path}: status {answer.status}"
            raise StoreUnavailableError(text, has_no_effect=answer.status in REFUSED_STATUSES)
        return answer


def _decode_item(row: dict[str, Any]) -> Item:
    """Decode an item or an event; a value that is not valid base64 is decoded as empty."""
    value: bytes | None = None
    if not row.get("deleted"):
        try:
            value = b64decode(row.get("value", ""), validate=True)
        except (binascii.Error, ValueError, TypeError):
            value = b""
    return Item(key=row["key"], value=value, revision=Revision(row.get("revision", 0)))
