"""The advice service moves to another address, as the settings file and SIGHUP say."""

import json
import signal
import time
from pathlib import Path

from chicorycrank_standin.background import serve_in_background
from chicorycrank_standin.http import json_response
from small_platform import Platform, job_id, run_case, trouble

FINISH_S = 14.0  # finish_s
QUIET_S = 3.0
CONFIG_APPLY_S = 2.5  # configApplyMs


def play(record):
    def serve_advice(name):
        def advise(request):
            body = request.json()
            record.write(f"{name}: asked for {body['step']}")
            time.sleep(0.05)
            rows = [[worker, f"ticket-{worker}"] for worker in body["workers"]]
            return json_response({"allowed": rows, "validityMs": 3000})

        return serve_in_background({"POST /-/advise": advise})

    first, address = serve_advice("first advice address")
    advice = {"recommendation": {"decisionMs": 50, "periodMs": 1, "validityMs": 3000}}
    platform = Platform(record, executors=3, config={"plain": advice}, recommendation=address)
    for executor in platform.executors:
        executor.tickets_needed = True
    servers = [first]
    try:
        if not platform.start():
            record.write("the deployment did not come up")
            return 2
        body = {"spec": '{"seconds": 2}', "steps": [{"count": 2, "cpu": 1000, "memMb": 64,
                "estimatedMs": 2000}]}  # fmt: skip
        jobs = [job_id()]
        if platform.call(0, "POST", f"/plain/{jobs[0]}", body)[0] != 200:
            return 2
        time.sleep(5.0)
        if platform.call(1, "GET", f"/plain/{jobs[0]}")[1].get("state") != "completed":
            record.write("the first job was not done before the change")
            return 2
        if trouble():
            second, new_address = serve_advice("second advice address")
            servers.append(second)
            for program in [*platform.entries, *platform.agents]:
                program.write_settings(recommendation=new_address)
                program.signal(signal.SIGHUP)
            record.write("the settings name the second address; SIGHUP was sent")
            time.sleep(CONFIG_APPLY_S)
            first.stop()
            record.write("the first address is closed")
        for number in range(4):
            jobs.append(job_id())
            if platform.call(number % 2, "POST", f"/plain/{jobs[-1]}", body)[0] != 200:
                return 2
        last_at = time.monotonic()
        time.sleep(FINISH_S)
        states = {job: platform.call(1, "GET", f"/plain/{job}")[1].get("state") for job in jobs}
        begun = {task.split(".")[0] for e in platform.executors for _, task, _ in e.starts}
        record.write(f"{FINISH_S} s after the end of the traffic: {json.dumps(states)}")
        verdict = 0
        for job in jobs[1:]:
            starts = [at - last_at for e in platform.executors for at, task, _ in e.starts
                      if task.startswith(job)]  # fmt: skip
            if job not in begun or min(starts) > FINISH_S - QUIET_S:
                record.write(f"{job}: nothing has run though all executors are empty")
                verdict = 1
        return verdict
    finally:
        platform.close()
        for server in servers:
            server.stop()


run_case(Path(__file__).parent, play)
