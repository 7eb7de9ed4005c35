"""HTTP client of the platform's list of machines."""

from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from chicorycrank.platform.client import NoAnswerError, PlatformClient
from chicorycrank.platform.documents import DocumentError
from chicorycrank.ports.machines import MachinesUnavailableError

CALL_TIMEOUT_S = 1.0
STATE_UP = "up"
MACHINE_STATES = frozenset({STATE_UP, "moving", "upkeep", "down"})


class Machine(Struct, frozen=True, kw_only=True):
    """Machine in the platform's list.

    :param machine: id of the machine
    :param pool: pool of the machine; not used
    :param state: ``up`` if the machine is running
    :param executor: id of the executor on the machine; empty if there is none
    """

    machine: str
    pool: str
    state: str
    executor: str


def decode_machines(rows: Iterable[Any]) -> list[Machine]:
    """Decode a page of the list of machines.

    :raises DocumentError: a row is malformed or has an unknown state
    """
    return [_decode_machine(row) for row in rows]


def _decode_machine(row: Any) -> Machine:
    if (
        not isinstance(row, dict)
        or not isinstance(row.get("machine"), str)
        or row.get("state") not in MACHINE_STATES
    ):
        raise DocumentError(f"list of machines: malformed row {row!r:.100}")
    return Machine(
        machine=row["machine"],
        pool=str(row.get("pool", "")),
        state=row["state"],
        executor=str(row.get("id") or ""),
    )


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
