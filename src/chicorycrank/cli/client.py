"""HTTP client of the command line."""

import json
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

TIMEOUT = urllib3.Timeout(connect=3.0, read=60.0)
EXIT_BY_OUTCOME = {"completed": 0, "failed": 1, "not_run": 3, "unknown": 4}
EXIT_FINDINGS = 2
EXIT_UNREACHABLE = 5
HTTP_UNPROCESSABLE = 422
HTTP_ERROR = 400


class UnreachableError(Exception):
    """No entry answered."""


@dataclass(frozen=True, kw_only=True)
class Reply:
    """Answer of an entry."""

    status: int
    document: Any

    @property
    def exit_code(self) -> int:
        """Exit code of the command that got this answer."""
        if self.status < HTTP_ERROR:
            return 0
        if self.document.get("result") == "conflict":
            return 1
        if self.status == HTTP_UNPROCESSABLE:
            return EXIT_FINDINGS
        return EXIT_BY_OUTCOME.get(self.document.get("outcome", ""), 1)


class Client:
    """Calls the first entry that can be reached.

    :param urls: base addresses of entries, in the order in which they are tried
    """

    def __init__(self, urls: Sequence[str]) -> None:
        self._urls = [url.rstrip("/") for url in urls]
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        is_repeatable: bool,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Return an entry's answer.

        :param is_repeatable: whether the call may be sent again when its answer is lost
        :raises UnreachableError: no entry answered
        """
        sent = {"Idempotency-Key": uuid.uuid4().hex} | (headers or {})
        problems: list[str] = []
        for url in self._urls:
            try:
                response = self._http.request(method, url + path, body=body, headers=sent)
            except HTTPError as error:
                problems.append(f"{url}: {error}")
                was_not_sent = isinstance(error, NewConnectionError | ConnectTimeoutError)
                if was_not_sent or is_repeatable:
                    continue
                raise UnreachableError(
                    f"{problems[-1]}; the call may have taken effect, "
                    f"its Idempotency-Key is {sent['Idempotency-Key']}"
                ) from error
            return Reply(status=response.status, document=_decode(response.data))
        raise UnreachableError("; ".join(problems))


def _decode(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return {"detail": body.decode(errors="replace")[:200]}
