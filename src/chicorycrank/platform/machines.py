"""HTTP client of the platform's list of machines."""

from chicorycrank.platform.client import NoAnswerError, PlatformClient
from chicorycrank.platform.documents import decode_machines
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
            machines = decode_machines(answer.body.get("machines", ()))
            executor_ids.update(m.executor for m in machines if m.state == STATE_UP and m.executor)
            page_token = str(answer.body.get("nextPageToken") or "")
            if not page_token:
                return frozenset(executor_ids)
