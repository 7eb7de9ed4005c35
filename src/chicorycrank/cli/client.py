"""HTTP client of the command line."""

import json
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from chicorycrank.cli.progress import show_progress

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 60.0
EXIT_BY_OUTCOME = {"completed": 0, "failed": 1, "not_run": 3, "unknown": 4}
EXIT_FINDINGS = 2
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5
HTTP_CONFLICT = 409
HTTP_UNPROCESSABLE = 422
MIN_ERROR_STATUS = 400
KEY_HEADER = "Idempotency-Key"


class UnreachableError(Exception):
    """No entry answered, and no state was changed."""


class UnansweredError(Exception):
    """A call that changes state may have reached an entry, but its reply was lost.

    :param key: ``Idempotency-Key`` of the call
    """

    def __init__(self, message: str, key: str) -> None:
        super().__init__(message)
        self.key = key


@dataclass(frozen=True, kw_only=True)
class Reply:
    """HTTP reply of an entry.

    :param retry_after: ``Retry-After`` header in seconds; empty if the reply has none
    """

    status: int
    document: Any
    retry_after: str = ""

    @property
    def exit_code(self) -> int:
        """Exit code of the command that received this reply."""
        if self.status < MIN_ERROR_STATUS:
            return 0
        if self.status == HTTP_CONFLICT:
            return 1
        if self.status == HTTP_UNPROCESSABLE:
            return EXIT_FINDINGS
        return EXIT_BY_OUTCOME.get(self.document.get("outcome", ""), 1)


class Client:
    """HTTP client that calls the first reachable entry.

    :param urls: base URLs of entries, in the order in which they are tried
    :param on_wait: called with a progress line while a call takes longer than a second
    """

    def __init__(self, urls: Sequence[str], on_wait: Callable[[str], None]) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._on_wait = on_wait
        self._http = urllib3.PoolManager(retries=False)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        is_repeatable: bool,
        headers: dict[str, str] | None = None,
        is_mutating: bool | None = None,
        timeout_s: float = READ_TIMEOUT_S,
    ) -> Reply:
        """Call the entries in order and return the first reply.

        :param is_repeatable: whether the call may be sent to the next entry, under the same
            ``Idempotency-Key``, when its reply is lost
        :param is_mutating: whether the call changes state; by default all methods but GET do
        :param timeout_s: read timeout in seconds
        :raises UnreachableError: no entry answered
        :raises UnansweredError: the call may have changed state, but its reply was lost
        """
        request_headers = {KEY_HEADER: uuid.uuid4().hex} | (headers or {})
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        errors: list[str] = []
        may_have_run = False
        for url in self._urls:
            try:
                with show_progress(f"waiting for {url}", self._on_wait):
                    response = self._http.request(
                        method, url + path, body=body, headers=request_headers, timeout=timeout
                    )
            except HTTPError as error:
                errors.append(f"{url}: {_error_text(error)}")
                if isinstance(error, NewConnectionError | ConnectTimeoutError):
                    continue
                may_have_run = method != "GET" if is_mutating is None else is_mutating
                if is_repeatable:
                    continue
                break
            return Reply(
                status=response.status,
                document=_decode_document(response.data),
                retry_after=response.headers.get("Retry-After", ""),
            )
        if may_have_run:
            raise UnansweredError("; ".join(errors), request_headers[KEY_HEADER])
        raise UnreachableError("; ".join(errors))


def _error_text(error: HTTPError) -> str:
    # Messages of urllib3 may begin with the repr of the connection, which contains its object id.
    return str(error).rpartition(">: ")[2] or type(error).__name__


def _decode_document(body: bytes) -> Any:
    try:
        document = json.loads(body)
    except ValueError:
        document = None
    if isinstance(document, dict):
        return document
    return {"detail": body.decode(errors="replace")[:200]}
