"""Stand-in for the key-value store that entries use (``chicorycrank.adapters.http_store``)."""

import threading
import time
import uuid
from dataclasses import dataclass, field

import cbor2

from chicorycrank_standin.http import Handler, HttpRequest, HttpResponse, json_response

MAX_VALUE_BYTES = 1_000_000
LEASE_CHECK_INTERVAL_S = 0.1


@dataclass(kw_only=True)
class Lease:
    """Lease and the keys that are removed when it ends.

    :param expires_at: monotonic time
    """

    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(kw_only=True)
class Faults:
    """Faults that a test injects with ``POST /control``.

    :param down: refuse every request with status 503
    :param delay_s: delay in seconds added to every request
    :param lose_replies: number of following writes that are applied but return status 504
    """

    down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0


class StoreStandIn:
    """In-memory store of versioned keys with leases and long-poll watches."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._value_by_key: dict[str, bytes] = {}
        self._version_by_key: dict[str, int] = {}
        self._revision_by_key: dict[str, int] = {}
        self._lease_by_id: dict[str, Lease] = {}
        self._revision = 0
        self.faults = Faults()
        self.calls_by_operation: dict[str, int] = {}

    def routes(self) -> dict[str, Handler]:
        """Return the HTTP handlers by route."""
        return {
            r"GET /v1/kv/(.+)": self._with_faults("get", self._get_value),
            r"PUT /v1/kv/(.+)": self._with_faults("put", self._put_value),
            r"DELETE /v1/kv/(.+)": self._with_faults("delete", self._delete_key),
            r"GET /v1/list": self._with_faults("list", self._list_keys),
            r"GET /v1/watch": self._with_faults("watch", self._watch_keys),
            r"POST /v1/leases": self._with_faults("lease_grant", self._grant_lease),
            r"POST /v1/leases/([^/]+)/renew": self._with_faults("lease_renew", self._renew_lease),
            r"DELETE /v1/leases/([^/]+)": self._with_faults("lease_revoke", self._revoke_lease),
            r"POST /control": self._set_faults,
            r"GET /record": lambda _: json_response(self.calls_by_operation),
        }

    def expire_leases_forever(self) -> None:
        """Remove expired leases and their keys until the process ends."""
        while True:
            time.sleep(LEASE_CHECK_INTERVAL_S)
            with self._condition:
                now = time.monotonic()
                expired_ids = [
                    lease_id
                    for lease_id, lease in self._lease_by_id.items()
                    if lease.expires_at < now
                ]
                for expired_id in expired_ids:
                    self._end_lease(expired_id)

    def _with_faults(self, operation: str, handler: Handler) -> Handler:
        def handle(request: HttpRequest) -> HttpResponse:
            count = self.calls_by_operation.get(operation, 0)
            self.calls_by_operation[operation] = count + 1
            if self.faults.delay_s:
                time.sleep(self.faults.delay_s)
            if self.faults.down:
                return json_response({"error": "store is down"}, status=503)
            response = handler(request)
            if (
                operation in ("put", "delete")
                and response.status == 200
                and self.faults.lose_replies
            ):
                self.faults.lose_replies -= 1
                return json_response({"error": "reply lost"}, status=504)
            return response

        return handle

    def _get_value(self, request: HttpRequest) -> HttpResponse:
        key = request.path_parameters[0]
        with self._condition:
            if key not in self._value_by_key:
                return json_response({"error": "no such key"}, status=404)
            return HttpResponse(
                body=self._value_by_key[key],
                content_type="application/octet-stream",
                headers={"X-Version": str(self._version_by_key[key])},
            )

    def _put_value(self, request: HttpRequest) -> HttpResponse:
        key = request.path_parameters[0]
        if len(request.body) > MAX_VALUE_BYTES:
            return json_response({"error": "value too large"}, status=413)
        with self._condition:
            current_version = self._current_version(key)
            if current_version != int(request.query["if_version"]):
                return _conflict_response(current_version)
            lease = self._lease_by_id.get(request.query.get("lease", ""))
            if "lease" in request.query and lease is None:
                return _conflict_response(current_version)
            self._value_by_key[key] = request.body
            self._record_change(key)
            if lease is not None:
                lease.keys.add(key)
            return _success_response(self._version_by_key[key])

    def _delete_key(self, request: HttpRequest) -> HttpResponse:
        key = request.path_parameters[0]
        with self._condition:
            current_version = self._current_version(key)
            if current_version != int(request.query["if_version"]):
                return _conflict_response(current_version)
            self._remove_key(key)
            return _success_response(current_version)

    def _list_keys(self, request: HttpRequest) -> HttpResponse:
        with self._condition:
            return self._changes_response(request.query.get("prefix", ""), after=0)

    def _watch_keys(self, request: HttpRequest) -> HttpResponse:
        prefix = request.query.get("prefix", "")
        after = int(request.query["after"])
        deadline = time.monotonic() + float(request.query.get("timeout_s", "30"))
        with self._condition:
            while not self._changed_keys(prefix, after):
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0 or self.faults.down:
                    break
                self._condition.wait(min(remaining_s, 0.5))
            if self.faults.down:
                return json_response({"error": "store is down"}, status=503)
            return self._changes_response(prefix, after)

    def _grant_lease(self, request: HttpRequest) -> HttpResponse:
        ttl_s = float(request.query["ttl_s"])
        lease_id = uuid.uuid4().hex
        with self._condition:
            self._lease_by_id[lease_id] = Lease(ttl_s=ttl_s, expires_at=time.monotonic() + ttl_s)
        return json_response({"lease": lease_id})

    def _renew_lease(self, request: HttpRequest) -> HttpResponse:
        with self._condition:
            lease = self._lease_by_id.get(request.path_parameters[0])
            if lease is None:
                return json_response({"error": "no such lease"}, status=404)
            lease.expires_at = time.monotonic() + lease.ttl_s
        return json_response({})

    def _revoke_lease(self, request: HttpRequest) -> HttpResponse:
        with self._condition:
            self._end_lease(request.path_parameters[0])
        return json_response({})

    def _set_faults(self, request: HttpRequest) -> HttpResponse:
        for name, value in request.json().items():
            setattr(self.faults, name, value)
        with self._condition:
            self._condition.notify_all()
        return json_response(vars(self.faults))

    def _current_version(self, key: str) -> int:
        return self._version_by_key[key] if key in self._value_by_key else 0

    def _record_change(self, key: str) -> None:
        self._revision += 1
        self._revision_by_key[key] = self._revision
        self._version_by_key[key] = self._revision
        self._condition.notify_all()

    def _remove_key(self, key: str) -> None:
        if self._value_by_key.pop(key, None) is not None:
            self._record_change(key)

    def _end_lease(self, lease_id: str) -> None:
        lease = self._lease_by_id.pop(lease_id, None)
        for key in lease.keys if lease else ():
            self._remove_key(key)

    def _changed_keys(self, prefix: str, after: int) -> list[str]:
        return [
            key
            for key, revision in self._revision_by_key.items()
            if revision > after and key.startswith(prefix)
        ]

    def _changes_response(self, prefix: str, after: int) -> HttpResponse:
        """Return the keys changed after a revision; a removed key has version 0 and no value."""
        entries = [
            (key, self._current_version(key), self._value_by_key.get(key, b""))
            for key in self._changed_keys(prefix, after)
        ]
        body = cbor2.dumps({"entries": entries, "revision": self._revision})
        return HttpResponse(body=body, content_type="application/cbor")


def _conflict_response(version: int) -> HttpResponse:
    return HttpResponse(status=409, headers={"X-Version": str(version)})


def _success_response(version: int) -> HttpResponse:
    return HttpResponse(headers={"X-Version": str(version)})
