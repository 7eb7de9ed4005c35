"""An executor that comes back as another kind still gets the tasks of the kind that it was."""

import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standin import is_troubled, run_case  # noqa: E402

WORK_S = 2.0
DOWN_S = 3.0
SETTLING_S = 5.0


def play(deployment):
    """Let an executor crash and come back as another kind; then use all executors of the old."""
    record = deployment.record
    front = deployment.fronts[0]
    changing = deployment.executors[2]
    # Four tasks for each of the three executors of kind "a".
    _, first = deployment.submit(front, "plain", WORK_S, count=12, constraints="a")
    wait_for_end(deployment, front, first, 15)
    if is_troubled():
        changing.crash()
        time.sleep(DOWN_S)
        changing.start(kind="b")
        time.sleep(SETTLING_S)
    _, second = deployment.submit(front, "plain", WORK_S, count=12, constraints="a")
    wait_for_end(deployment, front, second, 20)
    return [
        f"ROUTE: {run['task']} run {run['run']} needs label a and has begun at"
        f" {run['started']:.2f} s on {run['executor']}, which is of kind {run['kind']}"
        for run in deployment.runs_of(second)
        if run["kind"] != "a"
    ]


def wait_for_end(deployment, front, job_id, limit_s):
    """Wait until a job is shown as completed."""
    limit = deployment.record.now() + limit_s
    while deployment.state(front, "plain", job_id) != "completed":
        if deployment.record.now() > limit:
            deployment.record.write(f"job {job_id} has not ended")
            return
        time.sleep(0.1)


run_case(CASE, play)
