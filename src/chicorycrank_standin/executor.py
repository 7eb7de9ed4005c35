"""Stand-in of an executor that runs short requests."""

import json
import threading
import time
from dataclasses import dataclass

from chicorycrank_standin.http import Call, Reply, Route, json_reply


@dataclass(kw_only=True)
class Faults:
    """Faults that a test can switch on.

    :param delay_s: added to every run
    :param fail: answer every run with status 500
    :param cut: send only half of each answer
    :param hang: never answer
    """

    delay_s: float = 0.0
    fail: bool = False
    cut: bool = False
    hang: bool = False


class ExecutorStandIn:
    """Runs requests by sleeping and keeps its own record of every run."""

    def __init__(self, target_id: str, *, service_time_s: float) -> None:
        self._target_id = target_id
        self._service_time_s = service_time_s
        self._lock = threading.Lock()
        self.runs: list[dict[str, object]] = []
        self.faults = Faults()

    def routes(self) -> dict[str, Route]:
        """Return the HTTP routes."""
        return {
            r"POST /run": self._run,
            r"GET /health": lambda _: json_reply({"ok": True}),
            r"GET /record": lambda _: json_reply(self.runs),
            r"POST /control": self._control,
        }

    def _run(self, call: Call) -> Reply:
        key = call.headers.get("x-request-key", "")
        service = call.headers.get("x-service", "")
        with self._lock:
            self.runs.append({"key": key, "service": service, "at": time.time()})
        if self.faults.hang:
            time.sleep(3600)
        time.sleep(self._service_time_s + self.faults.delay_s)
        if self.faults.fail:
            return json_reply({"error": "executor failure"}, status=500)
        answer = {
            "key": key,
            "service": service,
            "executor": self._target_id,
            "echo": json.loads(call.body or b"null"),
        }
        return Reply(body=json.dumps(answer).encode(), cut=self.faults.cut)

    def _control(self, call: Call) -> Reply:
        for name, value in call.json().items():
            setattr(self.faults, name, value)
        return json_reply(vars(self.faults))
