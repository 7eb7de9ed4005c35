"""Tests of the stand-in for a worker."""

import json
import time
from typing import Any

import pytest

from chicorycrank_standin.http import HttpRequest
from chicorycrank_standin.worker import WorkerStandIn

WORK_S = 0.05


def post(worker: WorkerStandIn, route: str, body: object, *path_parameters: str) -> Any:
    data = json.dumps(body).encode()
    request = HttpRequest(
        method="POST", path="", query={}, headers={}, body=data, path_parameters=path_parameters
    )
    return json.loads(worker.routes()[route](request).body)


@pytest.mark.parametrize(("share", "has_progress"), [(1.0, True), (0.0, False)])
def test_checkpoint_includes_the_work_since_the_last_update(
    share: float, has_progress: bool
) -> None:
    """Guards against a checkpoint that only covers the work up to the last periodic update.

    The update thread does not run here, so the checkpoint must compute the work itself.
    """
    worker = WorkerStandIn("w", accelerators=8, speed=1.0)
    task = {
        "task_id": "t",
        "accelerators": [0],
        "meta": {},
        "progress_s": 0.0,
        "work_s": 100.0,
        "lease_s": 60.0,
    }
    post(worker, "POST /tasks", task)
    post(worker, "POST /tasks/([^/]+)/throttle", {"share": share}, "t")
    time.sleep(WORK_S)
    saved = post(worker, "POST /tasks/([^/]+)/checkpoint", {}, "t")["checkpoint_s"]
    assert (saved > 0) is has_progress
