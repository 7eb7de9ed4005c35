"""Faults of a soak: a plan that follows from a seed, and how each is carried out."""

import random
import signal
import time
from dataclasses import dataclass
from enum import Enum
from functools import partial

from chicorycrank_standin.background import in_background
from chicorycrank_standin.forwarder import Mode
from chicorycrank_standin.platform.kv_store import StoreMode
from chicorycrank_standin.soak.deployment import GRACE_S, Deployment, Program

MEAN_GAP_S = 1.5
MIN_FOR_S, MAX_FOR_S = 0.5, 6.0
RESTART_S = 0.3
SERIES_SHARE = 0.3  # faults that follow another on the same process at once
SERIES_GAP_S = 0.2


class Kind(Enum):
    """A fault; those of the store concern every program."""

    LINK_SILENT = "link-silent"
    LINK_CUT = "link-cut"
    LINK_DELAY = "link-delay"
    KILL = "kill"
    PAUSE = "pause"
    TERMINATE = "terminate"
    RELOAD = "reload"
    STORE_BUSY = "store-busy"
    STORE_LOSSY = "store-lossy"
    STORE_SLOW = "store-slow"
    STORE_LAPSE = "store-lapse"
    STORE_FORGETS = "store-forgets"
    EXECUTOR_LATE = "executor-late"
    EXECUTOR_CRASH = "executor-crash"


MODE_BY_LINK_FAULT = {
    Kind.LINK_SILENT: Mode.SILENT,
    Kind.LINK_CUT: Mode.CUT,
    Kind.LINK_DELAY: Mode.DELAY,
}
MODE_BY_STORE_FAULT = {
    Kind.STORE_BUSY: StoreMode.BUSY,
    Kind.STORE_LOSSY: StoreMode.LOSSY,
    Kind.STORE_SLOW: StoreMode.SLOW,
}


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of the plan.

    :param at_s: seconds after the start of the traffic
    :param target: number of the program or executor, taken modulo their count
    """

    at_s: float
    kind: Kind
    target: int
    for_s: float


def plan(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a seed in order of time."""
    chance = random.Random(seed)
    faults: list[Fault] = []
    at_s = 0.0
    while True:
        is_series = bool(faults) and chance.random() < SERIES_SHARE
        at_s += SERIES_GAP_S if is_series else chance.expovariate(1 / MEAN_GAP_S)
        if at_s >= length_s:
            return faults
        faults.append(
            Fault(
                at_s=at_s,
                kind=chance.choice(list(Kind)),
                target=faults[-1].target if is_series else chance.randrange(60),
                for_s=chance.uniform(MIN_FOR_S, MAX_FOR_S),
            )
        )


def carry_out(fault: Fault, deployment: Deployment) -> None:
    """Carry a fault out from its start to its end."""
    programs = deployment.programs
    program = programs[fault.target % len(programs)]
    if fault.kind in MODE_BY_LINK_FAULT:
        program.harmed_at = float("inf")
        program.proxy.set_mode(MODE_BY_LINK_FAULT[fault.kind])
        time.sleep(fault.for_s)
        program.proxy.set_mode(Mode.PASS)
        program.harmed_at = time.monotonic()
    elif fault.kind in MODE_BY_STORE_FAULT:
        deployment.note_harm()
        deployment.store.mode = MODE_BY_STORE_FAULT[fault.kind]
        time.sleep(fault.for_s)
        deployment.store.mode = StoreMode.NORMAL
        deployment.note_harm()
    elif fault.kind in (Kind.KILL, Kind.PAUSE, Kind.TERMINATE, Kind.RELOAD):
        _signal(fault, program, deployment)
    else:
        _harm_platform(fault, deployment)


def _signal(fault: Fault, program: Program, deployment: Deployment) -> None:
    match fault.kind:
        case Kind.KILL:
            program.harmed_at = time.monotonic()
            program.signal(signal.SIGKILL)
            program.wait(GRACE_S)
            time.sleep(RESTART_S)
            program.start()
        case Kind.PAUSE:
            program.harmed_at = float("inf")
            program.signal(signal.SIGSTOP)
            time.sleep(fault.for_s)
            program.signal(signal.SIGCONT)
            program.harmed_at = time.monotonic()
        case Kind.TERMINATE:
            program.stopped_at = time.monotonic()
            program.signal(signal.SIGTERM)
            if not program.wait(GRACE_S):
                if program.harmed_at < program.stopped_at:
                    deployment.ledger.report(f"{program.name} outlived its grace time")
                program.signal(signal.SIGKILL)
                program.wait(GRACE_S)
            time.sleep(RESTART_S)
            program.start()
        case Kind.RELOAD:
            program.configure()
            program.signal(signal.SIGHUP)


def _harm_platform(fault: Fault, deployment: Deployment) -> None:
    executor = deployment.executors[fault.target % len(deployment.executors)]
    match fault.kind:
        case Kind.STORE_LAPSE:
            deployment.note_harm()
            deployment.store.lapse_leases()
        case Kind.STORE_FORGETS:
            deployment.store.forget_history()
        case Kind.EXECUTOR_LATE:
            executor.is_late = True
            time.sleep(fault.for_s)
            executor.is_late = False
        case Kind.EXECUTOR_CRASH:
            executor.crash()


def run(faults: list[Fault], deployment: Deployment) -> None:
    """Carry out a plan; faults overlap.  Returns when the last has ended."""
    began_at = time.monotonic()
    threads = []
    for fault in faults:
        time.sleep(max(0.0, began_at + fault.at_s - time.monotonic()))
        threads.append(in_background(partial(carry_out, fault, deployment), fault.kind.value))
    for thread in threads:
        thread.join()


def repair(deployment: Deployment) -> None:
    """End whatever overlapping faults have left behind."""
    deployment.store.mode = StoreMode.NORMAL
    for program in deployment.programs:
        program.signal(signal.SIGCONT)
        program.proxy.set_mode(Mode.PASS)
        program.start()
