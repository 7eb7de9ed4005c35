"""A job that never ran is given up as one that crashes its executors."""

import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standin import is_troubled, run_case  # noqa: E402

WORK_S = 4.0
BETWEEN_CRASHES_S = 1.0
DOWN_S = 3.0


def play(deployment):
    """Let two executors crash one after the other, and hand a job in just after the first."""
    record = deployment.record
    front = deployment.fronts[0]
    first, second = deployment.executors[:2]
    if is_troubled():
        first.crash()
    crashed_at = record.now()
    time.sleep(0.2)
    # Only the first two executors have the label; the data is near the first one.
    _, job_id = deployment.submit(front, "plain", WORK_S, constraints="b", affinity=first.rack)
    time.sleep(max(0.0, crashed_at + BETWEEN_CRASHES_S - record.now()))
    if is_troubled():
        second.crash()
        time.sleep(max(0.0, crashed_at + DOWN_S - record.now()))
        first.start()
        time.sleep(BETWEEN_CRASHES_S)
        second.start()
    limit = record.now() + 25
    state = ""
    while state not in ("completed", "failed") and record.now() < limit:
        time.sleep(0.2)
        state = deployment.state(front, "plain", job_id)
    deployment.state(front, "plain", job_id, quiet=False)
    runs = deployment.runs_of(job_id)
    crashed = [run for run in runs if run["how"] == "crashed"]
    failed = [run for run in runs if run["how"] == "failed"]
    if state == "failed" and len(crashed) < 2 and not failed:
        return [
            f"LOST: job {job_id} is shown as failed; its task has begun {len(runs)} times,"
            f" {len(crashed)} executors have crashed under it and {len(failed)} runs have failed"
        ]
    return []


run_case(CASE, play, kinds=("b", "b", "a"))
