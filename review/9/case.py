"""One job that can never be done ends each leader by its memory, and no other job starts.

The job is urgent and asks for more accelerators than any executor has. The script keeps the limit
of the memory as the platform does: it kills a process that exceeds ``memoryMb``, and starts it
again after a short delay.
"""

import os
import threading
import time
from pathlib import Path

from small_deployment import BROKEN, HELD, NOT_RUN, Record, SmallDeployment, run_case

# TROUBLE=0 plays the same without the disruption, and must pass.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300
RESTART_DELAY_S = 1.0
FINISH_S = 14.0  # finish_s of the settings
IDLE_S = 3.0
HOPELESS_JOB, OTHER_JOB = "00000000000000c1", "00000000000000c2"
GPUS = 2**31


def resident_mb(pid: int) -> float:
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


def play(deployment: SmallDeployment, record: Record) -> int:
    deployment.config["routes"][0]["priority"] = 0
    deployment.config["version"] = 2
    deployment.put_config()
    time.sleep(2.0)
    kills = dict.fromkeys((p.name for p in deployment.programs), 0)
    peaks = dict.fromkeys(kills, 0.0)
    stop = threading.Event()

    def enforce_memory() -> None:
        restart_at: dict[str, float] = {}
        while not stop.wait(0.01):
            for program in deployment.programs:
                if program.name in restart_at:
                    if time.monotonic() >= restart_at[program.name]:
                        del restart_at[program.name]
                        program.start()
                    continue
                used_mb = resident_mb(program.process.pid)
                peaks[program.name] = max(peaks[program.name], used_mb)
                if used_mb > MEMORY_MB or program.process.poll() is not None:
                    kills[program.name] += 1
                    record.write(f"{program.name} uses {used_mb:.0f} MB and is ended")
                    program.process.kill()
                    program.process.wait()
                    restart_at[program.name] = time.monotonic() + RESTART_DELAY_S

    keeper = threading.Thread(target=enforce_memory, daemon=True)
    keeper.start()
    gpus = GPUS if HAS_TROUBLE else 8
    if deployment.submit(HOPELESS_JOB, seconds=5, gpus=gpus) != 200:
        return NOT_RUN
    time.sleep(3.0)
    if deployment.submit(OTHER_JOB, seconds=60, gpus=1) != 200:
        return NOT_RUN
    # The traffic ends here. Both executors are empty and have four accelerators each.
    has_run = deployment.wait_until(lambda: bool(deployment.running(OTHER_JOB)), FINISH_S + IDLE_S)
    stop.set()
    keeper.join()
    for entry in deployment.entries:
        if entry.process.poll() is None:
            deployment.call(entry, "GET", f"/jobs/{OTHER_JOB}")
    record.write(f"{OTHER_JOB} has begun: {has_run}")
    record.write(f"ends by memory: {kills}; peaks in MB: {peaks}")
    return HELD if has_run else BROKEN



run_case(Path(__file__).parent, play, has_trouble=HAS_TROUBLE)
