"""A gang that prefers one rack while a lasting task of another job runs in each rack."""

import time
from pathlib import Path

from small_platform import Platform, job_id, run_case, trouble

EXECUTORS, PER_RACK, GPUS = 11, 3, 8
FULL_RACKS = 3  # racks of three executors; the last one has two
FINISH_S = 14.0  # finish_s
QUIET_S = 3.0
GANG = {"count": 5, "gpus": 4, "cpu": 1000, "memMb": 64, "estimatedMs": 2000, "gang": True,
        "sameRack": True}  # fmt: skip


def play(record):
    labels = lambda number: ["a", f"r{number // PER_RACK}"]  # noqa: E731
    platform = Platform(record, executors=EXECUTORS, labels=labels)
    try:
        if not platform.start():
            record.write("the deployment did not come up")
            return 2
        if trouble():
            # Large jobs come at once: one task of 8 GPUs that lasts in each of three racks.
            for rack in range(FULL_RACKS):
                step = {"count": 1, "gpus": GPUS, "cpu": 1000, "memMb": 64, "estimatedMs": 2000,
                        "constraints": f"r{rack}", "longRunning": True}  # fmt: skip
                body = {"spec": '{"seconds": 3600, "lasts": true}', "steps": [step]}
                if platform.call(0, "POST", f"/plain/{job_id()}", body)[0] != 200:
                    return 2
        time.sleep(5.0)
        lasting = sum(len(executor.starts) for executor in platform.executors)
        if lasting != (FULL_RACKS if trouble() else 0):
            record.write("the lasting tasks do not run")
            return 2
        job = job_id()
        body = {"spec": '{"seconds": 2}', "steps": [GANG]}
        if platform.call(1, "POST", f"/plain/{job}", body)[0] != 200:
            return 2
        time.sleep(FINISH_S + QUIET_S)
        started = {start[1] for executor in platform.executors for start in executor.starts
                   if start[1].startswith(job)}  # fmt: skip
        platform.call(0, "GET", f"/plain/{job}")
        needed, free = GANG["count"] * GANG["gpus"], GPUS * (EXECUTORS - lasting)
        record.write(f"{len(started)} of {GANG['count']} tasks have begun; the gang needs {needed} "
                     f"GPUs, {free} of {GPUS * EXECUTORS} are free")
        return 1 if not started and free >= 2 * needed else 0
    finally:
        platform.close()


run_case(Path(__file__).parent, play)
