"""HTTP calls to the platform with JSON bodies."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import msgspec
import urllib3

CONNECTIONS = 16
# A machine that is cut off does not answer the opening of a connection.
CONNECT_TIMEOUT_S = 0.7


class NoAnswerError(Exception):
    """A call got no usable answer.

    :param sent: the call may have reached the platform
    :param refused: nothing listens at the address
    """

    def __init__(self, text: str, *, sent: bool, refused: bool = False) -> None:
        super().__init__(text)
        self.sent = sent
        self.refused = refused


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and decoded body of an answer; the body is empty if it is not a JSON object."""

    status: int
    body: dict[str, Any]


class PlatformClient:
    """Client of one address of the platform; calls block their thread.

    :param address: ``host:port``
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=CONNECTIONS, block=False, retries=False
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
        """Send a call and return its answer.

        :param fields: query parameters
        :raises NoAnswerError: no complete answer arrived in time
        """
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)
        sent = dict(headers or {})
        data = None
        if body is not None:
            data = msgspec.json.encode(body)
            sent["Content-Type"] = "application/json"
        if fields:
            path = f"{path}?{urlencode(fields)}"
        try:
            response = self._pool.request(method, path, body=data, headers=sent, timeout=timeout)
            return Answer(response.status, _decode(response.data))
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            refused = isinstance(e.__cause__, ConnectionRefusedError)
            raise NoAnswerError(f"{method} {path}: {e}", sent=False, refused=refused) from e
        except urllib3.exceptions.HTTPError as error:
            raise NoAnswerError(f"{method} {path}: {error}", sent=True) from error

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()


def _decode(data: bytes) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError:
        return {}
    return document if isinstance(document, dict) else {}
