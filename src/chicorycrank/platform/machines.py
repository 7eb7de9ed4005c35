"""HTTP client of the platform's list of machines."""

from typing import Any

from chicorycrank.platform.client import NoAnswerError, PlatformClient
from chicorycrank.platform.documents import DocumentError, Machine, decode_machines
from chicorycrank.ports.machines import MachinesUnavailableError

CALL_TIMEOUT_S = 1.0
STATE_UP = "up"


class PlatformMachines:
    """List of machines over HTTP; implements :class:`~chicorycrank.ports.machines.MachineList`."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def running_executors(self) -> frozenset[str]:
        """Return the ids of the executors whose machines are running."""
        executor_ids: set[str] = set()
        page_token = ""
        while True:
            fields = {"pageToken": page_token} if page_token else None
            try:
                answer = self._client.call(
                    "GET", "/-/machines", fields=fields, timeout_s=CALL_TIMEOUT_S
                )
            except NoAnswerError as error:
                raise MachinesUnavailableError(str(error)) from error
            if answer.status != 200:
                raise MachinesUnavailableError(
                    f"GET /-/machines: status {answer.status}, expected 200"
                )
            machines = _decode_page(answer.body)
            executor_ids.update(m.executor for m in machines if m.state == STATE_UP and m.executor)
            page_token = str(answer.body.get("nextPageToken") or "")
            if not page_token:
                return frozenset(executor_ids)


def _decode_page(body: dict[str, Any]) -> list[Machine]:
    """Decode a page; a part that is unreadable would look like executors that are gone.

    :raises MachinesUnavailableError: the page cannot be decoded
    """
    rows = body.get("machines")
    if not isinstance(rows, list):
        raise MachinesUnavailableError("GET /-/machines: the answer has no list of machines")
    try:
        return decode_machines(rows)
    except DocumentError as error:
        raise MachinesUnavailableError(str(error)) from error
