"""Stand-in for an executor that runs requests."""

import json
import threading
import time
from dataclasses import dataclass

from chicorycrank_standin.http import Handler, HttpRequest, HttpResponse, json_response


@dataclass(kw_only=True)
class Faults:
    """Faults that a test injects with ``POST /control``.

    :param delay_s: delay in seconds added to every run
    :param fail: respond to every run with status 500
    :param cut: truncate the body of every response
    :param hang: do not respond to runs
    """

    delay_s: float = 0.0
    fail: bool = False
    cut: bool = False
    hang: bool = False


class ExecutorStandIn:
    """Executor that simulates each request with a sleep and records every run."""

    def __init__(self, target_id: str, *, service_time_s: float) -> None:
        self._target_id = target_id
        self._service_time_s = service_time_s
        self._lock = threading.Lock()
        self.runs: list[dict[str, object]] = []
        self.faults = Faults()

    def routes(self) -> dict[str, Handler]:
        """Return the HTTP handlers by route."""
        return {
            r"POST /run": self._run_request,
            r"GET /health": lambda _: json_response({"ok": True}),
            r"GET /record": lambda _: json_response(self.runs),
            r"POST /control": self._set_faults,
        }

    def _run_request(self, request: HttpRequest) -> HttpResponse:
        key = request.headers.get("x-request-key", "")
        service = request.headers.get("x-service", "")
        with self._lock:
            self.runs.append({"key": key, "service": service, "at": time.time()})
        if self.faults.hang:
            time.sleep(3600)
        time.sleep(self._service_time_s + self.faults.delay_s)
        if self.faults.fail:
            return json_response({"error": "executor failure"}, status=500)
        result = {
            "key": key,
            "service": service,
            "executor": self._target_id,
            "echo": json.loads(request.body or b"null"),
        }
        return HttpResponse(body=json.dumps(result).encode(), is_truncated=self.faults.cut)

    def _set_faults(self, request: HttpRequest) -> HttpResponse:
        for name, value in request.json().items():
            setattr(self.faults, name, value)
        return json_response(vars(self.faults))
