"""Plans the faults of a soak from a seed and injects them."""

import random
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from functools import partial

from chicorycrank_standin.background import start_daemon_thread
from chicorycrank_standin.forwarder import Mode
from chicorycrank_standin.platform.kv_store import StoreMode
from chicorycrank_standin.soak.deployment import (
    ACCELERATORS_PER_EXECUTOR,
    STOP_GRACE_S,
    Deployment,
    Program,
)

MEAN_INTERVAL_S = 1.5
MIN_DURATION_S, MAX_DURATION_S = 0.5, 6.0
RESTART_DELAY_S = 0.3
FOLLOW_UP_SHARE = 0.3  # share of the faults that soon follow another on the same target
FOLLOW_UP_DELAY_S = 0.2


class FaultKind(Enum):
    """Kind of fault.

    Faults of a link are those of ``forwarder.Mode`` between one program and the store. Faults of
    the store affect every program; the first three are those of ``kv_store.StoreMode``.
    """

    LINK_SILENT = "link-silent"
    LINK_CUT = "link-cut"
    LINK_DELAY = "link-delay"
    KILL = "kill"  # SIGKILL, then a restart
    PAUSE = "pause"  # the process is suspended by SIGSTOP for some time
    TERMINATE = "terminate"  # SIGTERM, then a restart
    RELOAD = "reload"  # SIGHUP, with unchanged settings
    STORE_BUSY = "store-busy"
    STORE_LOSSY = "store-lossy"
    STORE_SLOW = "store-slow"
    STORE_LAPSE = "store-lapse"  # all leases expire
    STORE_FORGETS = "store-forgets"  # the history of changes is discarded
    EXECUTOR_LATE = "executor-late"  # start orders are applied late and get no complete response
    EXECUTOR_CRASH = "executor-crash"  # the executor ends all runs and restarts
    EXECUTOR_CAPACITY = "executor-capacity"  # the capacity shrinks and grows back


# Kinds that were added later have plans of their own, so that the faults of a seed stay.
LATER_KINDS = (FaultKind.EXECUTOR_CAPACITY,)
FIRST_KINDS = [kind for kind in FaultKind if kind not in LATER_KINDS]
LATER_MEAN_INTERVAL_S = 6.0

MODE_BY_LINK_FAULT = {
    FaultKind.LINK_SILENT: Mode.SILENT,
    FaultKind.LINK_CUT: Mode.CUT,
    FaultKind.LINK_DELAY: Mode.DELAY,
}
MODE_BY_STORE_FAULT = {
    FaultKind.STORE_BUSY: StoreMode.BUSY,
    FaultKind.STORE_LOSSY: StoreMode.LOSSY,
    FaultKind.STORE_SLOW: StoreMode.SLOW,
}


@dataclass(frozen=True, kw_only=True)
class Fault:
    """Planned fault.

    :param starts_at_s: seconds after the start of the traffic
    :param target_index: index of the program or executor, taken modulo their count
    :param duration_s: duration of kinds that end by themselves; ignored by the others
    """

    starts_at_s: float
    kind: FaultKind
    target_index: int
    duration_s: float


def plan_faults(seed: int, duration_s: float) -> list[Fault]:
    """Return the faults of a seed, ordered by their start.

    The same seed and duration give the same faults.
    """
    faults = _plan_kinds(random.Random(seed), duration_s, FIRST_KINDS, MEAN_INTERVAL_S)
    later_rng = random.Random(f"later kinds {seed}")
    faults += _plan_kinds(later_rng, duration_s, LATER_KINDS, LATER_MEAN_INTERVAL_S)
    return sorted(faults, key=lambda fault: fault.starts_at_s)


def _plan_kinds(
    rng: random.Random, duration_s: float, kinds: Sequence[FaultKind], mean_interval_s: float
) -> list[Fault]:
    faults: list[Fault] = []
    starts_at_s = 0.0
    while True:
        is_follow_up = bool(faults) and rng.random() < FOLLOW_UP_SHARE
        starts_at_s += FOLLOW_UP_DELAY_S if is_follow_up else rng.expovariate(1 / mean_interval_s)
        if starts_at_s >= duration_s:
            return faults
        # 60 is a multiple of the numbers of programs (5) and executors (3), so that all are hit
        # equally often.
        faults.append(
            Fault(
                starts_at_s=starts_at_s,
                kind=rng.choice(kinds),
                target_index=faults[-1].target_index if is_follow_up else rng.randrange(60),
                duration_s=rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
            )
        )


def inject_fault(fault: Fault, deployment: Deployment) -> None:
    """Inject a fault and return after it has ended."""
    programs = deployment.programs
    program = programs[fault.target_index % len(programs)]
    if fault.kind in MODE_BY_LINK_FAULT:
        program.last_fault_at = float("inf")
        program.store_proxy.set_mode(MODE_BY_LINK_FAULT[fault.kind])
        time.sleep(fault.duration_s)
        program.store_proxy.set_mode(Mode.PASS)
        program.last_fault_at = time.monotonic()
    elif fault.kind in MODE_BY_STORE_FAULT:
        deployment.record_fault()
        deployment.store.mode = MODE_BY_STORE_FAULT[fault.kind]
        time.sleep(fault.duration_s)
        deployment.store.mode = StoreMode.NORMAL
        deployment.record_fault()
    elif fault.kind in (FaultKind.KILL, FaultKind.PAUSE, FaultKind.TERMINATE, FaultKind.RELOAD):
        _inject_process_fault(fault, program, deployment)
    else:
        _inject_platform_fault(fault, deployment)


def _inject_process_fault(fault: Fault, program: Program, deployment: Deployment) -> None:
    match fault.kind:
        case FaultKind.KILL:
            program.last_fault_at = time.monotonic()
            program.signal(signal.SIGKILL)
            program.wait(STOP_GRACE_S)
            time.sleep(RESTART_DELAY_S)
            program.start()
        case FaultKind.PAUSE:
            program.last_fault_at = float("inf")
            program.signal(signal.SIGSTOP)
            time.sleep(fault.duration_s)
            program.signal(signal.SIGCONT)
            program.last_fault_at = time.monotonic()
        case FaultKind.TERMINATE:
            program.sigterm_at = time.monotonic()
            program.signal(signal.SIGTERM)
            if not program.wait(STOP_GRACE_S):
                if program.last_fault_at < program.sigterm_at:
                    deployment.run_recorder.report_violation(
                        f"{program.name} is still running after its grace time"
                    )
                program.signal(signal.SIGKILL)
                program.wait(STOP_GRACE_S)
            time.sleep(RESTART_DELAY_S)
            program.start()
        case FaultKind.RELOAD:
            program.configure()
            program.signal(signal.SIGHUP)


def _inject_platform_fault(fault: Fault, deployment: Deployment) -> None:
    executor = deployment.executors[fault.target_index % len(deployment.executors)]
    match fault.kind:
        case FaultKind.STORE_LAPSE:
            deployment.record_fault()
            deployment.store.expire_leases()
        case FaultKind.STORE_FORGETS:
            deployment.store.discard_history()
        case FaultKind.EXECUTOR_LATE:
            executor.is_delaying_starts = True
            time.sleep(fault.duration_s)
            executor.is_delaying_starts = False
        case FaultKind.EXECUTOR_CRASH:
            executor.crash()
        case FaultKind.EXECUTOR_CAPACITY:
            executor.set_capacity(fault.target_index % ACCELERATORS_PER_EXECUTOR)
            time.sleep(fault.duration_s)
            executor.set_capacity(None)


def inject_faults(faults: list[Fault], deployment: Deployment) -> None:
    """Inject planned faults, which may overlap, and return after the last has ended."""
    started_at = time.monotonic()
    threads = []
    for fault in faults:
        time.sleep(max(0.0, started_at + fault.starts_at_s - time.monotonic()))
        threads.append(
            start_daemon_thread(partial(inject_fault, fault, deployment), fault.kind.value)
        )
    for thread in threads:
        thread.join()


def end_faults(deployment: Deployment) -> None:
    """Undo the effects that overlapping faults may have left on the store and the programs."""
    deployment.store.mode = StoreMode.NORMAL
    for executor in deployment.executors:
        executor.set_capacity(None)
    for program in deployment.programs:
        program.signal(signal.SIGCONT)
        program.store_proxy.set_mode(Mode.PASS)
        program.start()
