"""A job that is cancelled at the leader while its watch is silent is run all the same."""

import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standin import BOUNDS, is_troubled, run_case  # noqa: E402

CANCEL_S = BOUNDS["cancel_ms"] / 1000
STOP_S = BOUNDS["stopTimeoutMs"] / 1000
CONTACT_S = BOUNDS["contactMs"] / 1000
WORK_S = 25.0


def play(deployment):
    """Hand a job in at each entry and cancel it there, within a second of silence."""
    now = deployment.record.now
    if is_troubled():
        threading.Thread(target=deployment.store.compact, daemon=True).start()
    time.sleep(0.1)
    jobs = []
    for front in deployment.fronts:
        status, job_id = deployment.submit(front, "plain", WORK_S)
        if status == 200:
            jobs.append((front, job_id))
    time.sleep(0.15)
    cancelled = []
    for front, job_id in jobs:
        status = deployment.cancel(front, "plain", job_id)
        if status in (200, 410):
            cancelled.append((front, job_id, now()))
    time.sleep(1.2)
    calm_from = now() + CONTACT_S  # the store is undisturbed from here on
    checked_at = max(calm_from, cancelled[-1][2]) + CANCEL_S + STOP_S + 0.5
    while now() < checked_at:
        time.sleep(0.1)
    violations = []
    for front, job_id, acknowledged_at in cancelled:
        state = deployment.state(front, "plain", job_id, quiet=False)
        for run in deployment.runs_of(job_id):
            if run["ended"] is None:
                violations.append(
                    f"UNASKED: {run['task']} run {run['run']} still runs on {run['executor']}"
                    f" at {now():.2f} s; it began at {run['started']:.2f} s, and the cancelling of"
                    f" its job was acknowledged at {acknowledged_at:.2f} s; shown as {state}"
                )
    return violations


run_case(CASE, play)
