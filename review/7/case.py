"""Work stays on a lost executor for good once the agent beside it is restarted.

An executor is lost for good, and the process of the agent on its machine is killed a moment later,
before the lease of the executor has expired. The platform starts the agent again. No executor
reports to it any more, so it proves no end, but it renews the presence of its worker.
"""

import os
import signal
import time
from pathlib import Path

from small_deployment import BROKEN, HELD, NOT_RUN, Record, SmallDeployment, run_case

# TROUBLE=0 plays the same without the disruption, and must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
AGENTS = 7  # one of seven is a share of 0.14
JOB = "00000000000000e1"
KILL_AFTER_S = 1.0
RESTART_AFTER_S = 1.0
TRAFFIC_S = 34.0
FINISH_S = 14.0  # finish_s of the settings
IDLE_S = 3.0


def play(deployment: SmallDeployment, record: Record) -> int:
    if deployment.submit(JOB, seconds=90, gpus=2) != 200:
        return NOT_RUN
    if not deployment.wait_until(lambda: bool(deployment.running(JOB)), 10):
        return NOT_RUN
    time.sleep(2.0)
    run = deployment.running(JOB)[0]
    number = next(n for n, e in enumerate(deployment.executors) if e.name == run.executor)
    executor, agent = deployment.executors[number], deployment.agents[number]
    lost_at = time.monotonic()
    if HAS_TROUBLE:
        executor.crash(down_s=10_000.0)
        record.write(f"{executor.name} is lost for good")
        time.sleep(KILL_AFTER_S)
        agent.signal(signal.SIGKILL)
        agent.process.wait()
        time.sleep(RESTART_AFTER_S)
        agent.start()
        record.write(f"{agent.name} was killed and is started again")
    # What a day has: the rest of the traffic, finish_s, and 3 s in which nothing runs.
    limit_s = TRAFFIC_S + FINISH_S + IDLE_S

    def is_running_elsewhere() -> bool:
        return any(r.executor != executor.name for r in deployment.running(JOB))

    if HAS_TROUBLE:
        has_run = deployment.wait_until(is_running_elsewhere, limit_s)
    else:
        time.sleep(5.0)
        has_run = bool(deployment.running(JOB))
    after_s = time.monotonic() - lost_at
    for entry in deployment.entries:
        deployment.call(entry, "GET", f"/jobs/{JOB}")
    record.write(f"{JOB} runs: {has_run}, {after_s:.1f} s later; the other executors are empty")
    return HELD if has_run else BROKEN


run_case(Path(__file__).parent, play, has_trouble=HAS_TROUBLE, agents=AGENTS)
