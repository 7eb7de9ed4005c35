"""HTTP client of the platform; request and response bodies are JSON."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import msgspec
import urllib3

MAX_IDLE_CONNECTIONS = 16
# A connection attempt to a machine that is cut off from the network gets no response.
CONNECT_TIMEOUT_S = 0.7


class NoAnswerError(Exception):
    """A call got no usable answer.

    :param sent: the call may have reached the platform
    :param refused: the connection was refused, so no process listens at the address
    :param timed_out: nothing came back in time
    """

    def __init__(
        self, text: str, *, sent: bool, refused: bool = False, timed_out: bool = False
    ) -> None:
        super().__init__(text)
        self.sent = sent
        self.refused = refused
        self.timed_out = timed_out


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and decoded body of an HTTP response; the body is empty unless it is a JSON object."""

    status: int
    body: dict[str, Any]


class PlatformClient:
    """HTTP client of one address of the platform; calls block their thread.

    :param address: ``host:port``
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=MAX_IDLE_CONNECTIONS, block=False, retries=False
        )

    def call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
        *,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        fields: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a call and return its response.

        :param fields: query parameters
        :param timeout_s: time limit of the read; it also limits the connect if it is shorter
        :raises NoAnswerError: no complete response arrived in time
        """
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)
        request_headers = dict(headers or {})
        encoded_body = None
        if body is not None:
            encoded_body = msgspec.json.encode(body)
            request_headers["Content-Type"] = "application/json"
        if fields:
            path = f"{path}?{urlencode(fields)}"
        try:
            response = self._pool.request(
                method, path, body=encoded_body, headers=request_headers, timeout=timeout
            )
            return Answer(response.status, _decode(response.data))
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            refused = isinstance(e.__cause__, ConnectionRefusedError)
            raise NoAnswerError(
                f"{method} {path}: {e}", sent=False, refused=refused, timed_out=not refused
            ) from e
        except urllib3.exceptions.HTTPError as error:
            timed_out = isinstance(error, urllib3.exceptions.TimeoutError)
            raise NoAnswerError(
                f"{method} {path}: {error}", sent=True, timed_out=timed_out
            ) from error

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()


def _decode(data: bytes) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError:
        return {}
    return document if isinstance(document, dict) else {}
