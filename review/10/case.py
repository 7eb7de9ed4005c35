"""The count of pending jobs leaves out jobs of which no task has ever started.

All executors but one are full. The last one refuses all starts for some seconds, as an unhealthy
executor does, with a 503 that says that it has done nothing. Jobs that were offered to it stay
queued, but count as started from then on.
"""

import time
from pathlib import Path
from typing import Any

from chicorycrank_standin.http import HttpResponse, json_response
from small_deployment import BROKEN, HELD, NOT_RUN, Record, SmallDeployment, has_trouble, run_case

AGENTS = 7  # one of seven is a share of 0.14
SHED_S = 6.5
PENDING_AFTER_S = 5.0  # visible_ms + 2 s
FILLERS = [f"{n:016x}" for n in range(0xA0, 0xA0 + AGENTS - 1)]
JOBS = [f"{n:016x}" for n in range(0xB0, 0xB6)]


def play(deployment: SmallDeployment, record: Record) -> int:
    for job_id in FILLERS:
        deployment.submit(job_id, seconds=90, gpus=4)
    if not deployment.wait_until(lambda: all(map(deployment.running, FILLERS)), 20):
        return NOT_RUN
    time.sleep(1.0)
    busy = {deployment.running(job_id)[0].executor for job_id in FILLERS}
    free = next(e for e in deployment.executors if e.name not in busy)
    shed_until = time.monotonic() + SHED_S if has_trouble() else 0.0
    execute, refused = free._execute, []

    def refuse_start(handler: Any, call: Any, *, is_delaying: bool) -> HttpResponse:
        if handler.__name__ != "_start_run" or time.monotonic() >= shed_until:
            return execute(handler, call, is_delaying=is_delaying)
        refused.append(call.request.json()["task"])
        return json_response({}, status=503)

    free._execute = refuse_start
    if has_trouble():
        record.write(f"{free.name} refuses all starts for {SHED_S} s")
    accepted_at = {}
    for job_id in JOBS:
        if deployment.submit(job_id, seconds=90, gpus=1) != 200:
            return NOT_RUN
        accepted_at[job_id] = time.monotonic()
    result = HELD
    while time.monotonic() < max(accepted_at.values()) + PENDING_AFTER_S + 1.0:
        time.sleep(0.25)
        for entry in deployment.entries:
            with deployment.runs.lock:
                begun = {run.job for run in deployment.runs.runs}
            waiting = [
                job_id
                for job_id, at in accepted_at.items()
                if job_id not in begun and time.monotonic() - at > PENDING_AFTER_S
            ]
            if not waiting:
                continue
            status, answer = deployment.call(entry, "GET", "/jobs/")
            with deployment.runs.lock:
                begun = {run.job for run in deployment.runs.runs}
            not_begun = sum(job_id not in begun for job_id in waiting)
            if status == 200 and answer["pending"] < not_begun / 2:
                record.write(f"{not_begun} jobs have not begun, pending is {answer['pending']}")
                result = BROKEN
    for job_id in JOBS:
        deployment.call(deployment.entries[0], "GET", f"/jobs/{job_id}")
    record.write(f"starts refused, by task: { {task: refused.count(task) for task in refused} }")
    return result


run_case(Path(__file__).parent, play, agents=AGENTS)
