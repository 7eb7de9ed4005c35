"""Stand-in of the platform's key-value store."""

import threading
import time
import uuid
from dataclasses import dataclass, field

import cbor2

from chicorycrank_standin.http import Call, Reply, Route, json_reply

MAX_VALUE_BYTES = 1_000_000
LEASE_SWEEP_S = 0.1


@dataclass(kw_only=True)
class Lease:
    """A lease and the keys that end with it."""

    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(kw_only=True)
class Faults:
    """Faults that a test can switch on.

    :param down: refuse every call with status 503
    :param delay_s: added to every call
    :param lose_replies: number of following writes that take effect but answer 504
    """

    down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0


class StoreStandIn:
    """Versioned keys in memory with leases and long-poll watches."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._value_by_key: dict[str, bytes] = {}
        self._version_by_key: dict[str, int] = {}
        self._revision_by_key: dict[str, int] = {}
        self._lease_by_id: dict[str, Lease] = {}
        self._revision = 0
        self.faults = Faults()
        self.calls_by_operation: dict[str, int] = {}

    def routes(self) -> dict[str, Route]:
        """Return the HTTP routes."""
        return {
            r"GET /v1/kv/(.+)": self._guard("get", self._get),
            r"PUT /v1/kv/(.+)": self._guard("put", self._put),
            r"DELETE /v1/kv/(.+)": self._guard("delete", self._delete),
            r"GET /v1/list": self._guard("list", self._list),
            r"GET /v1/watch": self._guard("watch", self._watch),
            r"POST /v1/leases": self._guard("lease_grant", self._grant),
            r"POST /v1/leases/([^/]+)/renew": self._guard("lease_renew", self._renew),
            r"DELETE /v1/leases/([^/]+)": self._guard("lease_revoke", self._revoke),
            r"POST /control": self._control,
            r"GET /record": lambda _: json_reply(self.calls_by_operation),
        }

    def sweep_forever(self) -> None:
        """End leases whose time is over."""
        while True:
            time.sleep(LEASE_SWEEP_S)
            with self._changed:
                now = time.monotonic()
                ended = [k for k, lease in self._lease_by_id.items() if lease.expires_at < now]
                for lease_id in ended:
                    self._end_lease(lease_id)

    def _guard(self, operation: str, route: Route) -> Route:
        def guarded(call: Call) -> Reply:
            count = self.calls_by_operation.get(operation, 0)
            self.calls_by_operation[operation] = count + 1
            if self.faults.delay_s:
                time.sleep(self.faults.delay_s)
            if self.faults.down:
                return json_reply({"error": "store is down"}, status=503)
            reply = route(call)
            if operation in ("put", "delete") and reply.status == 200 and self.faults.lose_replies:
                self.faults.lose_replies -= 1
                return json_reply({"error": "reply lost"}, status=504)
            return reply

        return guarded

    def _get(self, call: Call) -> Reply:
        key = call.arguments[0]
        with self._changed:
            if key not in self._value_by_key:
                return json_reply({"error": "no such key"}, status=404)
            return Reply(
                body=self._value_by_key[key],
                content_type="application/octet-stream",
                headers={"X-Version": str(self._version_by_key[key])},
            )

    def _put(self, call: Call) -> Reply:
        key = call.arguments[0]
        if len(call.body) > MAX_VALUE_BYTES:
            return json_reply({"error": "value too large"}, status=413)
        with self._changed:
            current = self._current_version(key)
            if current != int(call.query["if_version"]):
                return _conflict(current)
            lease = self._lease_by_id.get(call.query.get("lease", ""))
            if "lease" in call.query and lease is None:
                return _conflict(current)
            self._value_by_key[key] = call.body
            self._touch(key)
            if lease is not None:
                lease.keys.add(key)
            return _written(self._version_by_key[key])

    def _delete(self, call: Call) -> Reply:
        key = call.arguments[0]
        with self._changed:
            current = self._current_version(key)
            if current != int(call.query["if_version"]):
                return _conflict(current)
            self._drop(key)
            return _written(current)

    def _list(self, call: Call) -> Reply:
        with self._changed:
            return self._changes(call.query.get("prefix", ""), after=0)

    def _watch(self, call: Call) -> Reply:
        prefix = call.query.get("prefix", "")
        after = int(call.query["after"])
        deadline = time.monotonic() + float(call.query.get("timeout_s", "30"))
        with self._changed:
            while not self._changed_keys(prefix, after):
                remaining = deadline - time.monotonic()
                if remaining <= 0 or self.faults.down:
                    break
                self._changed.wait(min(remaining, 0.5))
            if self.faults.down:
                return json_reply({"error": "store is down"}, status=503)
            return self._changes(prefix, after)

    def _grant(self, call: Call) -> Reply:
        ttl_s = float(call.query["ttl_s"])
        lease_id = uuid.uuid4().hex
        with self._changed:
            self._lease_by_id[lease_id] = Lease(ttl_s=ttl_s, expires_at=time.monotonic() + ttl_s)
        return json_reply({"lease": lease_id})

    def _renew(self, call: Call) -> Reply:
        with self._changed:
            lease = self._lease_by_id.get(call.arguments[0])
            if lease is None:
                return json_reply({"error": "no such lease"}, status=404)
            lease.expires_at = time.monotonic() + lease.ttl_s
        return json_reply({})

    def _revoke(self, call: Call) -> Reply:
        with self._changed:
            self._end_lease(call.arguments[0])
        return json_reply({})

    def _control(self, call: Call) -> Reply:
        for name, value in call.json().items():
            setattr(self.faults, name, value)
        with self._changed:
            self._changed.notify_all()
        return json_reply(vars(self.faults))

    def _current_version(self, key: str) -> int:
        return self._version_by_key[key] if key in self._value_by_key else 0

    def _touch(self, key: str) -> None:
        self._revision += 1
        self._revision_by_key[key] = self._revision
        self._version_by_key[key] = self._revision
        self._changed.notify_all()

    def _drop(self, key: str) -> None:
        if self._value_by_key.pop(key, None) is not None:
            self._touch(key)

    def _end_lease(self, lease_id: str) -> None:
        lease = self._lease_by_id.pop(lease_id, None)
        for key in lease.keys if lease else ():
            self._drop(key)

    def _changed_keys(self, prefix: str, after: int) -> list[str]:
        return [
            key
            for key, revision in self._revision_by_key.items()
            if revision > after and key.startswith(prefix)
        ]

    def _changes(self, prefix: str, after: int) -> Reply:
        entries = [
            (key, self._current_version(key), self._value_by_key.get(key, b""))
            for key in self._changed_keys(prefix, after)
        ]
        body = cbor2.dumps({"entries": entries, "revision": self._revision})
        return Reply(body=body, content_type="application/cbor")


def _conflict(version: int) -> Reply:
    return Reply(status=409, headers={"X-Version": str(version)})


def _written(version: int) -> Reply:
    return Reply(headers={"X-Version": str(version)})
