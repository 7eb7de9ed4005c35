"""A cancelled job starts later than ``cancel_ms`` after the acknowledgement of its cancelling.

An executor leaves its starts unanswered for some seconds. The agent has accepted a run and repeats
the call. The leader is killed, and so is the next one; the job is cancelled meanwhile. The agent
learns of it only from an order, which nobody writes, and starts the run once the executor answers.
"""

import os
import signal
import threading
import time
from base64 import b64decode
from pathlib import Path
from typing import Any

from chicorycrank_standin.http import HttpResponse
from small_deployment import (
    BROKEN,
    HELD,
    HOST,
    NOT_RUN,
    Program,
    Record,
    SmallDeployment,
    run_case,
)

# TROUBLE=0 plays the same without the disruption, and must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
AGENTS = 7  # one of seven is a share of 0.14
FILLERS = [f"{n:016x}" for n in range(0xA0, 0xA0 + AGENTS - 1)]
JOB = "00000000000000b7"
CANCEL_S = 3.0  # cancel_ms
HANG_AFTER_CANCEL_S = 3.2


def play(deployment: SmallDeployment, record: Record) -> int:
    for job_id in FILLERS:
        deployment.submit(job_id, seconds=90, gpus=4)
    if not deployment.wait_until(lambda: all(map(deployment.running, FILLERS)), 20):
        return NOT_RUN
    # The executor and its agent have been calm for longer than contactMs.
    time.sleep(5.0)
    busy = {deployment.running(job_id)[0].executor for job_id in FILLERS}
    number = next(n for n, e in enumerate(deployment.executors) if e.name not in busy)
    free, agent = deployment.executors[number], deployment.agents[number]
    execute, hangs_until = free._execute, [float("inf") if HAS_TROUBLE else 0.0]

    def leave_unanswered(handler: Any, call: Any, *, is_delaying: bool) -> HttpResponse:
        if handler.__name__ == "_start_run" and time.monotonic() < hangs_until[0]:
            time.sleep(1.0)  # longer than the caller waits; nothing is carried out
            return HttpResponse(status=503, body=b"{}", is_truncated=True)
        return execute(handler, call, is_delaying=is_delaying)

    free._execute = leave_unanswered
    accepted = threading.Event()
    killed: list[Program] = []

    def on_commit(body: dict[str, Any]) -> None:
        for row in body.get("setKeys", []):
            text = b64decode(row["value"]).decode()
            if row["key"] == f"report/state/{agent.name}@{HOST}" and f'"{JOB}.0.0.0":1' in text:
                if not accepted.is_set() and HAS_TROUBLE:
                    leader = deployment.leader()
                    if leader is not None:
                        killed.append(leader)
                        leader.signal(signal.SIGKILL)
                accepted.set()
            elif row["key"] == "own/leader" and len(killed) == 1:
                leader = next(e for e in deployment.entries if f'"{e.name}@' in text)
                if leader is not killed[0]:
                    killed.append(leader)
                    leader.signal(signal.SIGKILL)
                    record.write(f"{leader.name}, the next leader, killed")

    deployment.store.on_commit = on_commit
    if deployment.submit(JOB, seconds=90, gpus=1) != 200 or not accepted.wait(5):
        return NOT_RUN
    if HAS_TROUBLE:
        record.write(f"{agent.name} has accepted the run; {killed[0].name}, the leader, killed")
    entries = [e for e in deployment.entries if e not in killed]
    status, _ = deployment.call(entries[0], "DELETE", f"/jobs/{JOB}")
    cancelled_at = time.monotonic()
    if status != 200:
        return NOT_RUN
    hangs_until[0] = min(hangs_until[0], cancelled_at + HANG_AFTER_CANCEL_S)
    time.sleep(8.0)
    if HAS_TROUBLE and len(killed) != 2:
        return NOT_RUN
    runs = [run for run in deployment.runs.runs if run.job == JOB]
    late = [run for run in runs if run.started_at > cancelled_at + CANCEL_S]
    for run in late:
        record.write(f"{run}: started {run.started_at - cancelled_at:.2f} s after the cancelling")
    return BROKEN if late else HELD


run_case(Path(__file__).parent, play, has_trouble=HAS_TROUBLE, entries=3, agents=AGENTS)
