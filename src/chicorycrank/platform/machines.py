"""The platform's list of machines."""

from chicorycrank.platform.client import NoAnswerError, PlatformClient
from chicorycrank.platform.documents import decode_machines
from chicorycrank.ports.machines import MachinesUnavailableError

CALL_TIMEOUT_S = 1.0
STATE_UP = "up"


class PlatformMachines:
    """The list over HTTP, as a :class:`~chicorycrank.ports.machines.MachineList`."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def running_executors(self) -> frozenset[str]:
        """Return the ids of the executors whose machines are up."""
        found: set[str] = set()
        page = ""
        while True:
            fields = {"pageToken": page} if page else None
            try:
                answer = self._client.call(
                    "GET", "/-/machines", fields=fields, timeout_s=CALL_TIMEOUT_S
                )
            except NoAnswerError as error:
                raise MachinesUnavailableError(str(error)) from error
            if answer.status != 200:
                raise MachinesUnavailableError(f"machines: status {answer.status}")
            machines = decode_machines(answer.body.get("machines", ()))
            found.update(m.executor for m in machines if m.state == STATE_UP and m.executor)
            page = str(answer.body.get("nextPageToken") or "")
            if not page:
                return frozenset(found)
