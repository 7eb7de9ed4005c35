"""HTTP client of the key-value store."""

import asyncio
import contextlib
import json
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from functools import partial
from urllib.parse import quote

import cbor2
import urllib3

from chicorycrank.model.ids import Version
from chicorycrank.ports.store import (
    Entry,
    LeaseId,
    StoreError,
    VersionConflictError,
    WatchResult,
)

CALL_TIMEOUT_S = 2.0
# Time for a slow response of the store after the wait of a watch has ended.
WATCH_TIMEOUT_MARGIN_S = 2.0
POOL_SIZE = 8
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409

StoreReply = tuple[int, urllib3.HTTPHeaderDict, bytes]


class HttpStore:
    """Key-value store over HTTP; its blocking calls run in a separate thread pool.

    :param url: base address, such as ``http://127.0.0.1:7000``
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._http = urllib3.PoolManager(maxsize=POOL_SIZE, block=False, retries=False)
        self._thread_pool = ThreadPoolExecutor(POOL_SIZE, thread_name_prefix="store")
        self.calls_by_operation: dict[str, int] = {}
        self.errors = 0

    async def get(self, key: str) -> Entry:
        """Return the value of a key; version 0 if the key does not exist."""
        status, headers, body = await self._call("get", "GET", f"/v1/kv/{quote(key)}")
        if status == HTTP_NOT_FOUND:
            return Entry(key=key, value=b"", version=Version(0))
        return Entry(key=key, value=body, version=Version(int(headers["X-Version"])))

    async def list(self, prefix: str) -> WatchResult:
        """Return all keys under a prefix and the current revision."""
        _, _, body = await self._call("list", "GET", f"/v1/list?prefix={quote(prefix)}")
        return _decode_entries(body)

    async def put(
        self, key: str, value: bytes, *, if_version: Version, lease: LeaseId | None = None
    ) -> Version:
        """Write a key if its version matches."""
        path = f"/v1/kv/{quote(key)}?if_version={if_version}"
        if lease is not None:
            path += f"&lease={quote(lease)}"
        status, headers, _ = await self._call("put", "PUT", path, value)
        version = Version(int(headers["X-Version"]))
        if status == HTTP_CONFLICT:
            raise VersionConflictError(key, version)
        return version

    async def delete(self, key: str, *, if_version: Version) -> None:
        """Delete a key if its version matches."""
        path = f"/v1/kv/{quote(key)}?if_version={if_version}"
        status, headers, _ = await self._call("delete", "DELETE", path)
        if status == HTTP_CONFLICT:
            raise VersionConflictError(key, Version(int(headers["X-Version"])))

    async def watch(self, prefix: str, *, after: int, timeout: timedelta) -> WatchResult:
        """Wait until a key under ``prefix`` changes after revision ``after``."""
        seconds = timeout.total_seconds()
        path = f"/v1/watch?prefix={quote(prefix)}&after={after}&timeout_s={seconds}"
        call = partial(self._request, "watch", "GET", path, None, seconds + WATCH_TIMEOUT_MARGIN_S)
        _, _, body = await _run_in_daemon_thread(call)
        return _decode_entries(body)

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Create a lease."""
        path = f"/v1/leases?ttl_s={ttl.total_seconds()}"
        _, _, body = await self._call("lease_grant", "POST", path)
        return LeaseId(json.loads(body)["lease"])

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return false if it has expired."""
        status, _, _ = await self._call("lease_renew", "POST", f"/v1/leases/{quote(lease)}/renew")
        return status == HTTP_OK

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys."""
        await self._call("lease_revoke", "DELETE", f"/v1/leases/{quote(lease)}")

    def close(self) -> None:
        """Shut down the thread pool and close the idle connections."""
        self._thread_pool.shutdown(wait=False, cancel_futures=True)
        self._http.clear()

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> StoreReply:
        call = partial(self._request, operation, method, path, body, timeout_s)
        return await asyncio.get_running_loop().run_in_executor(self._thread_pool, call)

    def _request(
        self, operation: str, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> StoreReply:
        self.calls_by_operation[operation] = self.calls_by_operation.get(operation, 0) + 1
        try:
            response = self._http.request(method, self._url + path, body=body, timeout=timeout_s)
        except urllib3.exceptions.HTTPError as error:
            self.errors += 1
            raise StoreError(f"{method} {path}: {error}") from error
        if response.status not in (HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT):
            self.errors += 1
            raise StoreError(f"{method} {path}: status {response.status}")
        return response.status, response.headers, response.data


async def _run_in_daemon_thread(call: Callable[[], StoreReply]) -> StoreReply:
    """Run a long-polling call in a thread that does not delay the exit of the process."""
    loop = asyncio.get_running_loop()
    future: asyncio.Future[StoreReply] = loop.create_future()

    def resolve(reply: StoreReply | None, error: StoreError | None) -> None:
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        elif reply is not None:
            future.set_result(reply)

    def run() -> None:
        reply, store_error = None, None
        try:
            reply = call()
        except StoreError as error:
            store_error = error
        with contextlib.suppress(RuntimeError):  # The event loop may already be closed.
            loop.call_soon_threadsafe(resolve, reply, store_error)

    threading.Thread(target=run, daemon=True, name="store-watch").start()
    return await future


def _decode_entries(body: bytes) -> WatchResult:
    document = cbor2.loads(body)
    entries = tuple(
        Entry(key=key, value=value, version=Version(version))
        for key, version, value in document["entries"]
    )
    return WatchResult(entries=entries, revision=document["revision"])
