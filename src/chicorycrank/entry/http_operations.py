"""HTTP resources of operators: state, releases, targets and teams."""

from chicorycrank.entry.http_common import LoopBridge, send_json
from chicorycrank.entry.process import Entry


class OperationsResource:
    """Serves operators."""

    def __init__(self, entry: Entry, bridge: LoopBridge) -> None:
        self._entry = entry
        self._bridge = bridge

    def get_state(self) -> bytes:
        """Return this process's state."""
        return send_json(self._bridge.call(self._dump()))

    async def _dump(self) -> dict[str, object]:
        return self._entry.dump()
