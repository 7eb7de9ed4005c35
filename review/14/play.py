"""A worker that has failed tasks for some seconds, and whose next task is one that lasts."""

import time
from pathlib import Path

from small_platform import Platform, job_id, run_case, trouble

EXECUTORS = 11  # one of them fails its tasks: a share of 0.091; the largest in the site file is 0.105
FAILS_S = 6.0  # the longest in the site file is 6.87 s
CALM_S = 8.0  # longer than contactMs, and than the pause before a worker is tried again
FINISH_S = 14.0  # finish_s
QUIET_S = 3.0


def play(record):
    # Executor 0 is the only one with the label that the jobs need.
    labels = lambda number: ["b" if number == 0 else "a", f"r{number // 3}"]  # noqa: E731
    platform = Platform(record, executors=EXECUTORS, labels=labels)
    executor = platform.executors[0]
    try:
        if not platform.start():
            record.write("the deployment did not come up")
            return 2
        if trouble():
            record.write(f"{executor.name} fails all that it starts for {FAILS_S} s")
            executor.fails_until = time.monotonic() + FAILS_S
        lasting = job_id()
        step = {"count": 1, "cpu": 1000, "memMb": 64, "estimatedMs": 2000, "constraints": "b"}
        body = {"spec": '{"seconds": 3600, "lasts": true}', "steps": [{**step, "longRunning": True}]}
        if platform.call(0, "POST", f"/plain/{lasting}", body)[0] != 200:
            return 2
        time.sleep(FAILS_S + CALM_S)
        runs, ends = len(executor.starts), len(executor.ends)
        record.write(f"the lasting task has started {runs} times and ended {ends} times")
        if runs != ends + 1:
            record.write("the lasting task does not run")
            return 2
        jobs = [job_id() for _ in range(4)]
        body = {"spec": '{"seconds": 2}', "steps": [step]}
        for number, job in enumerate(jobs):
            if platform.call(number % 2, "POST", f"/plain/{job}", body)[0] != 200:
                return 2
        last_at = time.monotonic()
        time.sleep(FINISH_S + QUIET_S)
        verdict = 0
        for job in jobs:
            platform.call(1, "GET", f"/plain/{job}")
            starts = [at - last_at for at, task, _ in executor.starts if task.startswith(job)]
            if not starts or min(starts) > FINISH_S:
                record.write(f"{job}: nothing runs, with 127 of 128 cores of {executor.name} free")
                verdict = 1
        return verdict
    finally:
        platform.close()


run_case(Path(__file__).parent, play)
