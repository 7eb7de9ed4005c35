"""The count of pending jobs while an executor hangs on which no task of them has begun."""

import time
from pathlib import Path

from small_platform import Platform, job_id, run_case, trouble

EXECUTORS = 11  # one of them hangs: a share of 0.091; the largest in the site file is 0.105
HANG_S = 6.8  # the longest in the site file is 6.87 s
VISIBLE_S = 3.0 + 2.0  # visible_ms + 2 s
JOBS = 6


def play(record):
    labels = lambda number: ["b" if number == 0 else "a", f"r{number // 3}"]  # noqa: E731
    platform = Platform(record, executors=EXECUTORS, labels=labels)
    try:
        if not platform.start():
            record.write("the deployment did not come up")
            return 2
        executor = platform.executors[0]
        hang_ends = time.monotonic() + HANG_S
        if trouble():
            record.write(f"{executor.name} hangs for {HANG_S} s")
            executor.hangs_until = hang_ends
        body = {"spec": '{"seconds": 2}', "steps": [{"count": 1, "cpu": 1000, "memMb": 64,
                "estimatedMs": 2000, "constraints": "b"}]}  # fmt: skip
        accepted = {}
        for _ in range(JOBS):
            job = job_id()
            status, _ = platform.call(0, "POST", f"/plain/{job}", body)
            if status == 200:
                accepted[job] = time.monotonic()
        if len(accepted) < JOBS:
            return 2
        verdict = 0
        time.sleep(max(0.0, max(accepted.values()) + VISIBLE_S + 0.1 - time.monotonic()))
        while time.monotonic() < hang_ends - 0.1:
            for number in range(2):
                begun_before = {task.split(".")[0] for _, task, _ in executor.starts}
                status, document = platform.call(number, "GET", "/plain/")
                begun = {task.split(".")[0] for _, task, _ in executor.starts}
                waiting = len(accepted.keys() - begun)
                record.write(f"{waiting} of {JOBS} jobs have not begun ({begun_before == begun=})")
                if status == 200 and document["pending"] < waiting / 2:
                    verdict = 1
            time.sleep(0.3)
        time.sleep(6.0)
        for job in accepted:
            platform.call(1, "GET", f"/plain/{job}")
        return verdict
    finally:
        platform.close()


run_case(Path(__file__).parent, play)
