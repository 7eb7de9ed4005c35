"""HTTP client of the command line."""

import json
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from chicorycrank.cli.progress import progress

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 60.0
EXIT_BY_OUTCOME = {"completed": 0, "failed": 1, "not_run": 3, "unknown": 4}
EXIT_FINDINGS = 2
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5
HTTP_CONFLICT = 409
HTTP_UNPROCESSABLE = 422
HTTP_ERROR = 400
KEY_HEADER = "Idempotency-Key"


class UnreachableError(Exception):
    """No entry answered, and nothing was changed."""


class UnansweredError(Exception):
    """A call that changes something may have reached an entry, but its answer was lost.

    :param key: ``Idempotency-Key`` of the call
    """

    def __init__(self, problem: str, key: str) -> None:
        super().__init__(problem)
        self.key = key


@dataclass(frozen=True, kw_only=True)
class Reply:
    """Answer of an entry.

    :param retry_after: the entry's retry hint in seconds; empty without one
    """

    status: int
    document: Any
    retry_after: str = ""

    @property
    def exit_code(self) -> int:
        """Exit code of the command that got this answer."""
        if self.status < HTTP_ERROR:
            return 0
        if self.status == HTTP_CONFLICT:
            return 1
        if self.status == HTTP_UNPROCESSABLE:
            return EXIT_FINDINGS
        return EXIT_BY_OUTCOME.get(self.document.get("outcome", ""), 1)


class Client:
    """Calls the first entry that can be reached.

    :param urls: base addresses of entries, in the order in which they are tried
    :param on_wait: takes a line of progress of a call that takes over a second
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
        changes: bool | None = None,
        timeout_s: float = READ_TIMEOUT_S,
    ) -> Reply:
        """Return an entry's answer.

        :param is_repeatable: whether the call may be sent to the next entry, under the same
            ``Idempotency-Key``, when its answer is lost
        :param changes: whether the call changes anything; by default all but GET do
        :param timeout_s: longest wait for an answer in seconds
        :raises UnreachableError: no entry answered
        :raises UnansweredError: the call may have taken effect
        """
        sent = {KEY_HEADER: uuid.uuid4().hex} | (headers or {})
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        problems: list[str] = []
        may_have_run = False
        for url in self._urls:
            try:
                with progress(f"waiting for {url}", self._on_wait):
                    response = self._http.request(
                        method, url + path, body=body, headers=sent, timeout=timeout
                    )
            except HTTPError as error:
                problems.append(f"{url}: {_describe(error)}")
                if isinstance(error, NewConnectionError | ConnectTimeoutError):
                    continue
                may_have_run = method != "GET" if changes is None else changes
                if is_repeatable:
                    continue
                break
            return Reply(
                status=response.status,
                document=_decode(response.data),
                retry_after=response.headers.get("Retry-After", ""),
            )
        if may_have_run:
            raise UnansweredError("; ".join(problems), sent[KEY_HEADER])
        raise UnreachableError("; ".join(problems))


def _describe(error: HTTPError) -> str:
    # The text of urllib3's errors begins with the object's representation, which holds its id.
    return str(error).rpartition(">: ")[2] or type(error).__name__


def _decode(body: bytes) -> Any:
    try:
        document = json.loads(body)
    except ValueError:
        document = None
    if isinstance(document, dict):
        return document
    return {"detail": body.decode(errors="replace")[:200]}
