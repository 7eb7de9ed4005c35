"""Stand-in of an executor of the platform, with the reports that it sends to its agent."""

import json
import random
import threading
import time
from typing import Any

import urllib3

from chicorycrank_standin.background import in_background
from chicorycrank_standin.http import Call, Reply, Route, json_reply
from chicorycrank_standin.platform.ledger import Ledger, RunRow

STEP_S = 0.02
HEARTBEAT_S = 0.5
GANG_TIMEOUT_S = 3.0
MAX_LEASE_MS = 10_000
# An executor's clock may be this much slower than real time.
CLOCK_RATE = 0.98
LATE_S = (2.0, 6.0)


class BatchExecutorStandIn:
    """An executor that runs tasks for the seconds that their payload names.

    :param control: address of the agent, ``host:port``
    :ivar is_late: starts get no answer and are carried out seconds later
    """

    def __init__(
        self, name: str, control: str, ledger: Ledger, random: random.Random, *, accelerators: int
    ) -> None:
        self.name = name
        self.is_late = False
        self._control = control
        self._ledger = ledger
        self._random = random
        self._accelerators = accelerators
        self._lock = threading.Condition()
        self._pool = urllib3.PoolManager(retries=False)
        self._lives = 0
        self._reset()
        in_background(self._work_forever, f"work-{name}")
        in_background(self._beat_forever, f"beat-{name}")

    def routes(self) -> dict[str, Route]:
        """Return the calls of the executor."""
        return {
            "POST /-/run-start": self._start,
            "POST /-/run-stop": self._stop,
            "POST /-/hold": self._hold,
            "POST /-/pace": lambda call: json_reply({"clockMs": self._clock_ms()}),
        }

    def crash(self) -> None:
        """End everything and start again under another id."""
        with self._lock:
            for row in self._runs.values():
                self._ledger.end(row, "crashed")
            self._reset()
            self._lock.notify_all()

    def _reset(self) -> None:
        self._lives += 1
        self._id = f"{self.name}-{self._lives}"
        self._born_at = time.monotonic()
        self._born_ms = round(time.time() * 1000)
        self._fence = 0
        self._sequence = 0
        self._deadline_ms = 0
        self._runs: dict[str, RunRow] = {}
        self._closed: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._last_end = 0

    def _clock_ms(self) -> int:
        return round((time.monotonic() - self._born_at) * 1000 * CLOCK_RATE)

    def _refusal(self, call: Call, body: dict[str, Any]) -> Reply | None:
        if call.headers.get("expect-instance", self._id) != self._id:
            return json_reply({"clockMs": self._clock_ms()}, status=421)
        if body.get("fencingToken", 0) < self._fence:
            return self._conflict("fence")
        self._fence = body.get("fencingToken", 0)
        return None

    def _conflict(self, reason: str) -> Reply:
        return json_reply({"clockMs": self._clock_ms(), "reason": reason}, status=409)

    def _start(self, call: Call) -> Reply:
        if self.is_late and self._random.random() < 0.5:
            delay_s = self._random.uniform(*LATE_S)
            timer = threading.Timer(delay_s, self._carry_out, [call])
            timer.daemon = True
            timer.start()
            time.sleep(1.0)  # longer than any caller waits
            return Reply(status=503, body=b"{}", cut=True)
        return self._carry_out(call)

    def _carry_out(self, call: Call) -> Reply:
        body = call.json()
        task, run = body["task"], body["run"]
        with self._lock:
            refusal = self._refusal(call, body)
            if refusal is not None:
                return refusal
            known = self._runs.get(task)
            if known is not None and known.run == run:
                return json_reply({"clockMs": self._clock_ms()})
            if run <= self._closed.get(task, 0):
                return self._conflict("old")
            if body["deadlineMs"] <= self._clock_ms():
                return self._conflict("late")
            self._extend(body["deadlineMs"])
            work = json.loads(body["spec"])
            row = RunRow(
                task=task,
                run=run,
                executor=self.name,
                seconds=work["seconds"],
                members=work["members"],
                accelerators=work["accelerators"],
                begun_at=time.monotonic(),
            )
            self._runs[task] = row
            self._ledger.begin(row)
            used = sum(other.accelerators for other in self._runs.values())
            if used > self._accelerators:
                self._ledger.report(f"{self.name} runs {used} accelerators: {sorted(self._runs)}")
            return json_reply({"clockMs": self._clock_ms()})

    def _stop(self, call: Call) -> Reply:
        body = call.json()
        with self._lock:
            refusal = self._refusal(call, body)
            if refusal is not None:
                return refusal
            task, run = body["task"], body["run"]
            self._closed[task] = max(run, self._closed.get(task, 0))
            known = self._runs.get(task)
            if known is not None and known.run <= run:
                self._end(known, "stopped")
            return json_reply({"clockMs": self._clock_ms()})

    def _hold(self, call: Call) -> Reply:
        body = call.json()
        wait_s = body.get("waitMs", 0) / 1000
        with self._lock:
            refusal = self._refusal(call, body)
            if refusal is not None:
                return refusal
            self._extend(body.get("deadlineMs", 0))
            for end in self._ends:
                if end[0] <= body["lastSeen"] and end[3] == "done":
                    self._ledger.note_done(end[1])
            self._ends = [end for end in self._ends if end[0] > body["lastSeen"]]
            own_id = self._id
            self._lock.wait_for(lambda: bool(self._ends) or self._id != own_id, wait_s)
            if self._id != own_id:
                return json_reply({"clockMs": self._clock_ms()}, status=421)
            rows = [[row.task, row.run, "", 50] for row in self._runs.values()]
            return json_reply(
                {
                    "clockMs": self._clock_ms(),
                    "born": self._born_ms,
                    "running": rows,
                    "finished": self._ends,
                }
            )

    def _extend(self, deadline_ms: int) -> None:
        longest = self._clock_ms() + MAX_LEASE_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest))

    def _end(self, row: RunRow, how: str) -> None:
        self._runs.pop(row.task, None)
        self._ledger.end(row, how)
        self._closed[row.task] = max(row.run, self._closed.get(row.task, 0))
        self._last_end += 1
        self._ends.append([self._last_end, row.task, row.run, how, ""])
        self._lock.notify_all()

    def _work_forever(self) -> None:
        while True:
            time.sleep(STEP_S)
            now = time.monotonic()
            with self._lock:
                is_lapsed = bool(self._runs) and self._clock_ms() > self._deadline_ms
                for row in list(self._runs.values()):
                    if is_lapsed:
                        self._end(row, "lapsed")
                    elif row.ends_at is not None and now >= row.ends_at:
                        self._end(row, "done")
                    elif row.ends_at is None and now - row.begun_at > GANG_TIMEOUT_S:
                        self._end(row, "alone")

    def _beat_forever(self) -> None:
        while True:
            with self._lock:
                self._sequence += 1
                own_id = self._id
                body = {
                    "service": "service",
                    "address": "",
                    "zone": "zone-a",
                    "state": "ready",
                    "seq": self._sequence,
                    "born": self._born_ms,
                    "clockMs": self._clock_ms(),
                    "labels": ["a", "r1"],
                    "capacity": {"cpu": 64000, "memMb": 256000, "gpus": self._accelerators},
                }
            try:
                url = f"http://{self._control}/-/instances/{own_id}"
                self._pool.request("PUT", url, body=json.dumps(body), timeout=1.0)
            except urllib3.exceptions.HTTPError:
                pass  # an agent that is down hears of the next report
            time.sleep(HEARTBEAT_S)
