"""A task that has ended as done starts again after the leader is killed by a conditional write.

One connection of an agent to the store, that of its watch of the order, goes silent. The leader
withdraws the run that the agent could not hear of. Another run of this agent has ended as done just
before; the order that the withdrawal writes does not name it any more, but the leader has not
written the progress of its job. The leader is killed with the answer to this write.
"""

import os
import signal
import threading
import time
from base64 import b64decode
from pathlib import Path
from typing import Any

from small_deployment import BROKEN, HELD, NOT_RUN, Record, SmallDeployment, run_case

# TROUBLE=0 plays the same without the disruption, and must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FILLER, DONE_JOB, LATE_JOB, WAKING_JOB = (f"{n:016x}" for n in (0xF1, 0xD0, 0xA2, 0xB3))
# The leader withdraws a run that was not accepted for 1.5 s. Its passes are at most 0.5 s apart, so
# an event shortly before that time and the end of the other run after it meet in one pass.
WAKE_AFTER_S = 1.20
END_AFTER_S = 1.53
RESTART_AFTER_S = 3.0


def play(deployment: SmallDeployment, record: Record) -> int:
    deployment.submit(FILLER, seconds=90, gpus=4)
    if not deployment.wait_until(lambda: bool(deployment.running(FILLER)), 10):
        return NOT_RUN
    deployment.submit(DONE_JOB, seconds=90, gpus=2)
    if not deployment.wait_until(lambda: bool(deployment.running(DONE_JOB)), 10):
        return NOT_RUN
    run = deployment.running(DONE_JOB)[0]
    number = next(n for n, e in enumerate(deployment.executors) if e.name == run.executor)
    agent = deployment.agents[number]
    worker = f"{agent.name}@{agent.settings['ip']}"
    leader = deployment.leader()
    if leader is None or deployment.running(FILLER)[0].executor == run.executor:
        return NOT_RUN
    record.write(f"{leader.name} leads; {DONE_JOB} runs beside {agent.name}")
    time.sleep(1.5)

    ordered, killed = threading.Event(), threading.Event()

    def on_commit(body: dict[str, Any]) -> None:
        expected = {row["key"] for row in body.get("expected", [])}
        for row in body.get("setKeys", []):
            if row["key"] != f"work-order/{worker}":
                continue
            if LATE_JOB in b64decode(row["value"]).decode():
                ordered.set()
            elif f"report/state/{worker}" in expected and ordered.is_set():
                if DONE_JOB in b64decode(row["value"]).decode():
                    record.write("the withdrawal came before the end of the other run")
                elif HAS_TROUBLE and not killed.is_set():
                    killed.set()
                    leader.signal(signal.SIGKILL)
                    record.write(f"withdrawal written; {leader.name} killed")

    deployment.store.on_commit = on_commit
    if HAS_TROUBLE:
        if not agent.relay.silence_next(b"kv-watch?prefix=work-order", 10):
            return NOT_RUN
        record.write(f"the connection of the watch of {agent.name} is silent")
        time.sleep(0.8)
    deployment.submit(LATE_JOB, seconds=90, gpus=2)
    if not ordered.wait(5):
        return NOT_RUN
    ordered_at = time.monotonic()
    time.sleep(WAKE_AFTER_S)
    deployment.submit(WAKING_JOB, seconds=1, gpus=4)
    time.sleep(max(0.0, ordered_at + END_AFTER_S - time.monotonic()))
    run.ends_at = time.monotonic()
    if HAS_TROUBLE:
        if not killed.wait(3):
            record.write("the leader did not withdraw the run")
            return NOT_RUN
        time.sleep(RESTART_AFTER_S)
        leader.process.wait()
        leader.start()
        record.write(f"{leader.name} started again")
    time.sleep(12)
    for entry in deployment.entries:
        deployment.call(entry, "GET", f"/jobs/{DONE_JOB}")
    again = [r for r in deployment.runs.runs if r.job == DONE_JOB and r is not run]
    started_again = [r for r in again if r.started_at > run.ended_at and run.is_end_seen]
    for violation in deployment.runs.violations:
        record.write(f"violation: {violation}")
    return BROKEN if run.end_kind == "done" and started_again else HELD


run_case(Path(__file__).parent, play, has_trouble=HAS_TROUBLE)
