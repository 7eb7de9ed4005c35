"""The stand-in of a worker."""

import json
import time
from typing import Any

import pytest

from chicorycrank_standin.http import Call
from chicorycrank_standin.worker import WorkerStandIn

WORK_S = 0.05


def call(worker: WorkerStandIn, route: str, body: object, *arguments: str) -> Any:
    data = json.dumps(body).encode()
    request = Call(method="POST", path="", query={}, headers={}, body=data, arguments=arguments)
    return json.loads(worker.routes()[route](request).body)


@pytest.mark.parametrize(("share", "saves"), [(1.0, True), (0.0, False)])
def test_a_checkpoint_holds_the_work_up_to_its_call(share: float, saves: bool) -> None:
    """Guards against saved work that depends on when the stand-in's thread ran last."""
    worker = WorkerStandIn("w", accelerators=8, speed=1.0)
    task = {
        "task_id": "t",
        "accelerators": [0],
        "meta": {},
        "progress_s": 0.0,
        "work_s": 100.0,
        "lease_s": 60.0,
    }
    call(worker, "POST /tasks", task)
    call(worker, "POST /tasks/([^/]+)/throttle", {"share": share}, "t")
    time.sleep(WORK_S)
    saved = call(worker, "POST /tasks/([^/]+)/checkpoint", {}, "t")["checkpoint_s"]
    assert (saved > 0) is saves
