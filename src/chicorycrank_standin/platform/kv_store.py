"""Stand-in for the store that the batch programs use (``chicorycrank.platform.store``)."""

import random
import threading
import time
from base64 import b64decode
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import Any

from chicorycrank_standin.background import start_daemon_thread
from chicorycrank_standin.http import Handler, HttpRequest, HttpResponse, json_response

LEASE_CHECK_INTERVAL_S = 0.05
MAX_WATCH_S = 30.0
# PROTOCOL.md, "The platform's metadata store": limits of a value and of a transaction.
MAX_VALUE_BYTES = 1_048_576
MAX_ENTRIES = 32


class StoreMode(Enum):
    """Fault that the store injects into requests."""

    NORMAL = "normal"
    BUSY = "busy"  # refuse every request
    LOSSY = "lossy"  # apply every write but truncate the responses to some
    SLOW = "slow"  # delay every request


@dataclass(kw_only=True)
class _Lease:
    """Lease that expires at a monotonic time."""

    ttl_s: float
    expires_at: float


class KvStoreStandIn:
    """In-memory store of keys, leases and history, safe for use by several threads.

    :param rng: decides which responses to writes are truncated
    :ivar lost_response_share: share of the writes whose responses are truncated in mode ``lossy``
    :ivar delay_s: delay of each request in mode ``slow``
    :ivar list_machines: returns the rows of the list of machines
    """

    def __init__(self, rng: random.Random) -> None:
        self.mode = StoreMode.NORMAL
        self.lost_response_share = 0.3
        self.delay_s = 0.25
        self._rng = rng
        self.list_machines: Callable[[], list[dict[str, Any]]] = list
        self._condition = threading.Condition()
        self._item_by_key: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._discarded_revision = 0  # changes up to this revision are discarded
        self._silences = 0  # watches hear nothing while this is positive
        self._watch_cuts = 0
        self._lease_by_id: dict[int, _Lease] = {}
        self._last_lease_id = 0
        start_daemon_thread(self._expire_leases_forever, "sweep")

    def routes(self) -> dict[str, Handler]:
        """Return the HTTP handlers by route."""
        routes: dict[str, Handler] = {
            "GET /-/kv-key": self._get_key,
            "GET /-/kv-range": self._get_range,
            "GET /-/kv-watch": self._watch_range,
            "GET /-/machines": self._get_machines,
            "POST /-/kv-txn": self._commit_transaction,
            "POST /-/kv-lease": self._grant_lease,
            "POST /-/kv-keep/(.+)": self._renew_lease,
            "DELETE /-/kv-lease-end/(.+)": self._revoke_lease,
        }
        return {pattern: self._with_faults(handler) for pattern, handler in routes.items()}

    def put(self, key: str, value: str) -> None:
        """Write a key outside of the HTTP interface, as an operator does.

        :param value: base64 text
        """
        with self._condition:
            self._write_item(key, value, 0)
            self._condition.notify_all()

    def delete(self, key: str) -> None:
        """Delete a key outside of the HTTP interface, as an operator does."""
        with self._condition:
            self._revision += 1
            self._delete_item(key)
            self._condition.notify_all()

    def discard_history(self) -> None:
        """Discard the history of all changes so far, so that older watches get status 410."""
        with self._condition:
            self._events.clear()
            self._discarded_revision = self._revision

    @contextmanager
    def compacting(self) -> Iterator[None]:
        """Let watches wait in vain for the body of the ``with`` statement.

        Reads and writes work all the while. Then the history is discarded and watches are cut.
        PROTOCOL.md, "The platform's metadata store": a 410 response means that history is no longer
        available, and a watch that is waiting may be cut.
        """
        with self._condition:
            self._silences += 1
        yield
        with self._condition:
            self._silences -= 1
            self._watch_cuts += 1
            self.discard_history()
            self._condition.notify_all()

    def expire_leases(self) -> None:
        """Let all leases expire as if none had been renewed."""
        with self._condition:
            for lease in self._lease_by_id.values():
                lease.expires_at = 0.0

    def _with_faults(self, handler: Handler) -> Handler:
        def handle(request: HttpRequest) -> HttpResponse:
            mode = self.mode
            if mode is StoreMode.BUSY:
                return json_response({}, status=503)
            if mode is StoreMode.SLOW:
                time.sleep(self.delay_s)
            response = handler(request)
            is_write = request.path.endswith("kv-txn")
            if (
                mode is StoreMode.LOSSY
                and is_write
                and self._rng.random() < self.lost_response_share
            ):
                return HttpResponse(status=response.status, body=response.body, is_truncated=True)
            return response

        return handle

    def _get_machines(self, request: HttpRequest) -> HttpResponse:
        return json_response({"machines": self.list_machines(), "nextPageToken": ""})

    def _get_key(self, request: HttpRequest) -> HttpResponse:
        with self._condition:
            item = self._item_by_key.get(request.query["key"])
            body = {**(item or {}), "currentRev": self._revision}
            return json_response(body, status=200 if item else 404)

    def _get_range(self, request: HttpRequest) -> HttpResponse:
        prefix = request.query["prefix"]
        with self._condition:
            items = [
                self._item_by_key[key]
                for key in sorted(self._item_by_key)
                if key.startswith(prefix)
            ]
            return json_response({"items": items, "hasMore": False, "currentRev": self._revision})

    def _watch_range(self, request: HttpRequest) -> HttpResponse:
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait_s = min(MAX_WATCH_S, int(request.query.get("waitMs", 0)) / 1000)
        with self._condition:
            if after < self._discarded_revision:
                return json_response({}, status=410)
            cuts = self._watch_cuts
            self._condition.wait_for(
                lambda: bool(self._silences or self._events_after(prefix, after)), wait_s
            )
            # A silent watch stays open beyond its wait, until the history is gone.
            self._condition.wait_for(lambda: not self._silences)
            if self._watch_cuts != cuts:
                return HttpResponse(status=503, body=b"{}", is_truncated=True)
            events = self._events_after(prefix, after)
            return json_response({"events": events, "currentRev": self._revision})

    def _events_after(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def _commit_transaction(self, request: HttpRequest) -> HttpResponse:
        body = request.json()
        expected, writes = body.get("expected", []), body.get("setKeys", [])
        removed = body.get("remove", [])
        has_large_value = any(len(b64decode(item["value"])) > MAX_VALUE_BYTES for item in writes)
        if has_large_value or len(expected) + len(writes) + len(removed) > MAX_ENTRIES:
            return json_response({"error": "too many entries, or a value is too long"}, status=400)
        with self._condition:
            existing_items = [
                self._item_by_key[item["key"]]
                for item in expected
                if item["key"] in self._item_by_key
            ]
            revision_by_key = {item["key"]: item["revision"] for item in existing_items}
            if any(revision_by_key.get(item["key"], 0) != item["revision"] for item in expected):
                return json_response(
                    {"items": existing_items, "currentRev": self._revision}, status=412
                )
            if any(item.get("lease") and item["lease"] not in self._lease_by_id for item in writes):
                return json_response({}, status=404)
            self._revision += 1
            for item in writes:
                self._write_item(
                    item["key"], item["value"], item.get("lease", 0), is_in_transaction=True
                )
            for key in removed:
                self._delete_item(key)
            self._condition.notify_all()
            return json_response({"revision": self._revision})

    def _grant_lease(self, request: HttpRequest) -> HttpResponse:
        ttl_s = request.json()["ttlMs"] / 1000
        with self._condition:
            self._last_lease_id += 1
            self._lease_by_id[self._last_lease_id] = _Lease(
                ttl_s=ttl_s, expires_at=time.monotonic() + ttl_s
            )
            return json_response({"lease": self._last_lease_id, "ttlMs": round(ttl_s * 1000)})

    def _renew_lease(self, request: HttpRequest) -> HttpResponse:
        with self._condition:
            lease = self._lease_by_id.get(int(request.path_parameters[0]))
            if lease is None:
                return json_response({}, status=404)
            lease.expires_at = time.monotonic() + lease.ttl_s
            return json_response({"ttlMs": round(lease.ttl_s * 1000)})

    def _revoke_lease(self, request: HttpRequest) -> HttpResponse:
        with self._condition:
            is_granted = int(request.path_parameters[0]) in self._lease_by_id
            if is_granted:
                self._remove_lease(int(request.path_parameters[0]))
            return json_response({}, status=200 if is_granted else 404)

    def _write_item(
        self, key: str, value: str, lease_id: int, *, is_in_transaction: bool = False
    ) -> None:
        # A transaction has one revision for all its writes.
        if not is_in_transaction:
            self._revision += 1
        created = self._item_by_key.get(key, {}).get("created", self._revision)
        item = {"key": key, "value": value, "revision": self._revision}
        self._item_by_key[key] = {**item, "created": created, "lease": lease_id}
        self._events.append(self._item_by_key[key])

    def _delete_item(self, key: str) -> None:
        if self._item_by_key.pop(key, None) is not None:
            self._events.append({"key": key, "revision": self._revision, "deleted": True})

    def _remove_lease(self, lease_id: int) -> None:
        del self._lease_by_id[lease_id]
        self._revision += 1
        for key in [key for key, item in self._item_by_key.items() if item["lease"] == lease_id]:
            self._delete_item(key)
        self._condition.notify_all()

    def _expire_leases_forever(self) -> None:
        while True:
            time.sleep(LEASE_CHECK_INTERVAL_S)
            with self._condition:
                now = time.monotonic()
                for lease_id, lease in list(self._lease_by_id.items()):
                    if lease.expires_at <= now:
                        self._remove_lease(lease_id)
