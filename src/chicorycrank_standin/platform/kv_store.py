"""Stand-in of the platform's metadata store."""

import random
import threading
import time
from dataclasses import dataclass
from enum import Enum
from typing import Any

from chicorycrank_standin.background import in_background
from chicorycrank_standin.http import Call, Reply, Route, json_reply

SWEEP_S = 0.05
MAX_WAIT_S = 30.0


class StoreMode(Enum):
    """What the store does with calls."""

    NORMAL = "normal"
    BUSY = "busy"  # refuses every call
    LOSSY = "lossy"  # applies some writes and cuts their answers
    SLOW = "slow"


@dataclass(kw_only=True)
class _Lease:
    ttl_s: float
    ends_at: float


class KvStoreStandIn:
    """Keys, leases and history in memory; safe for several threads.

    :param random: decides which answers are lost
    """

    def __init__(self, random: random.Random) -> None:
        self.mode = StoreMode.NORMAL
        self.lost_share = 0.3
        self.delay_s = 0.25
        self._random = random
        self._lock = threading.Condition()
        self._rows: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._forgotten = 0
        self._leases: dict[int, _Lease] = {}
        self._last_lease = 0
        in_background(self._sweep_forever, "sweep")

    def routes(self) -> dict[str, Route]:
        """Return the calls of the store."""
        routes: dict[str, Route] = {
            "GET /-/kv-key": self._get,
            "GET /-/kv-range": self._range,
            "GET /-/kv-watch": self._watch,
            "POST /-/kv-txn": self._commit,
            "POST /-/kv-lease": self._grant,
            "POST /-/kv-keep/(.+)": self._keep,
            "DELETE /-/kv-lease-end/(.+)": self._end_lease,
        }
        return {path: self._guard(route) for path, route in routes.items()}

    def put(self, key: str, value: str) -> None:
        """Write a key as the operator does; ``value`` is base64 text."""
        with self._lock:
            self._set(key, value, 0)
            self._lock.notify_all()

    def forget_history(self) -> None:
        """Drop the history of all changes so far."""
        with self._lock:
            self._events.clear()
            self._forgotten = self._revision

    def lapse_leases(self) -> None:
        """End all leases as if none had been renewed."""
        with self._lock:
            for lease in self._leases.values():
                lease.ends_at = 0.0

    def _guard(self, route: Route) -> Route:
        def guarded(call: Call) -> Reply:
            mode = self.mode
            if mode is StoreMode.BUSY:
                return json_reply({}, status=503)
            if mode is StoreMode.SLOW:
                time.sleep(self.delay_s)
            reply = route(call)
            is_write = call.path.endswith("kv-txn")
            if mode is StoreMode.LOSSY and is_write and self._random.random() < self.lost_share:
                return Reply(status=reply.status, body=reply.body, cut=True)
            return reply

        return guarded

    def _get(self, call: Call) -> Reply:
        with self._lock:
            row = self._rows.get(call.query["key"])
            body = {**(row or {}), "currentRev": self._revision}
            return json_reply(body, status=200 if row else 404)

    def _range(self, call: Call) -> Reply:
        prefix = call.query["prefix"]
        with self._lock:
            items = [self._rows[key] for key in sorted(self._rows) if key.startswith(prefix)]
            return json_reply({"items": items, "hasMore": False, "currentRev": self._revision})

    def _watch(self, call: Call) -> Reply:
        prefix, after = call.query["prefix"], int(call.query["after"])
        wait_s = min(MAX_WAIT_S, int(call.query.get("waitMs", 0)) / 1000)
        with self._lock:
            if after < self._forgotten:
                return json_reply({}, status=410)
            self._lock.wait_for(lambda: bool(self._since(prefix, after)), wait_s)
            events = self._since(prefix, after)
            return json_reply({"events": events, "currentRev": self._revision})

    def _since(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [e for e in self._events if e["revision"] > after and e["key"].startswith(prefix)]

    def _commit(self, call: Call) -> Reply:
        body = call.json()
        with self._lock:
            expected = body.get("expected", [])
            found = [self._rows[row["key"]] for row in expected if row["key"] in self._rows]
            current = {row["key"]: row["revision"] for row in found}
            if any(current.get(row["key"], 0) != row["revision"] for row in expected):
                return json_reply({"items": found, "currentRev": self._revision}, status=412)
            rows = body.get("setKeys", [])
            if any(row.get("lease") and row["lease"] not in self._leases for row in rows):
                return json_reply({}, status=404)
            self._revision += 1
            for row in rows:
                self._set(row["key"], row["value"], row.get("lease", 0), is_own=True)
            for key in body.get("remove", []):
                self._delete(key)
            self._lock.notify_all()
            return json_reply({"revision": self._revision})

    def _grant(self, call: Call) -> Reply:
        ttl_s = call.json()["ttlMs"] / 1000
        with self._lock:
            self._last_lease += 1
            self._leases[self._last_lease] = _Lease(ttl_s=ttl_s, ends_at=time.monotonic() + ttl_s)
            return json_reply({"lease": self._last_lease, "ttlMs": round(ttl_s * 1000)})

    def _keep(self, call: Call) -> Reply:
        with self._lock:
            lease = self._leases.get(int(call.arguments[0]))
            if lease is None:
                return json_reply({}, status=404)
            lease.ends_at = time.monotonic() + lease.ttl_s
            return json_reply({"ttlMs": round(lease.ttl_s * 1000)})

    def _end_lease(self, call: Call) -> Reply:
        with self._lock:
            is_known = int(call.arguments[0]) in self._leases
            if is_known:
                self._drop_lease(int(call.arguments[0]))
            return json_reply({}, status=200 if is_known else 404)

    def _set(self, key: str, value: str, lease: int, *, is_own: bool = False) -> None:
        if not is_own:
            self._revision += 1
        created = self._rows.get(key, {}).get("created", self._revision)
        row = {"key": key, "value": value, "revision": self._revision}
        self._rows[key] = {**row, "created": created, "lease": lease}
        self._events.append(self._rows[key])

    def _delete(self, key: str) -> None:
        if self._rows.pop(key, None) is not None:
            self._events.append({"key": key, "revision": self._revision, "deleted": True})

    def _drop_lease(self, lease: int) -> None:
        del self._leases[lease]
        self._revision += 1
        for key in [key for key, row in self._rows.items() if row["lease"] == lease]:
            self._delete(key)
        self._lock.notify_all()

    def _sweep_forever(self) -> None:
        while True:
            time.sleep(SWEEP_S)
            with self._lock:
                now = time.monotonic()
                for number, lease in list(self._leases.items()):
                    if lease.ends_at <= now:
                        self._drop_lease(number)
