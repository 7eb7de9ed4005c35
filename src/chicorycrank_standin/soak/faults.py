"""Plans the faults of a soak from a seed and injects them."""

import random
import signal
import time
from collections.abc import Sequence
from functools import partial

from chicorycrank_standin.background import start_daemon_thread
from chicorycrank_standin.forwarder import Forwarder, Mode
from chicorycrank_standin.platform.disturbances import STORE
from chicorycrank_standin.platform.executor import ExecutorMode
from chicorycrank_standin.platform.kv_store import StoreMode
from chicorycrank_standin.soak.deployment import (
    RESTART_DELAY_S,
    STOP_GRACE_S,
    Deployment,
    Program,
    restart_killed,
)
from chicorycrank_standin.soak.executor_faults import inject_executor_fault
from chicorycrank_standin.soak.fault_kinds import (
    MODE_BY_LINK_FAULT,
    MODE_BY_STORE_FAULT,
    Fault,
    FaultKind,
)

MEAN_INTERVAL_S = 1.5
MIN_DURATION_S, MAX_DURATION_S = 0.5, 6.0
SILENCE_S = 1.0  # time in which watches hear nothing before the history is discarded
SILENCE_INTERVAL_S = 0.5
FOLLOW_UP_SHARE = 0.3  # share of the faults that soon follow another on the same target
FOLLOW_UP_DELAY_S = 0.2


# Kinds that were added later have plans of their own, so that the faults of a seed stay.
FIRST_KINDS = list(FaultKind)[: list(FaultKind).index(FaultKind.EXECUTOR_CAPACITY)]
CAPACITY_KINDS = [FaultKind.EXECUTOR_CAPACITY]
CAPACITY_MEAN_INTERVAL_S = 6.0
EVACUATION_KINDS = [FaultKind.ZONE_EVACUATION]
EVACUATION_MEAN_INTERVAL_S = 8.0
PROOF_KINDS = [
    kind for kind in FaultKind if kind not in (*FIRST_KINDS, *CAPACITY_KINDS, *EVACUATION_KINDS)
]
PROOF_MEAN_INTERVAL_S = 1.5


def plan_faults(seed: int, duration_s: float) -> list[Fault]:
    """Return the faults of a seed, ordered by their start.

    The same seed and duration give the same faults.
    """
    faults = _plan_kinds(random.Random(seed), duration_s, FIRST_KINDS, MEAN_INTERVAL_S)
    later_rng = random.Random(f"later kinds {seed}")
    faults += _plan_kinds(later_rng, duration_s, CAPACITY_KINDS, CAPACITY_MEAN_INTERVAL_S)
    proof_rng = random.Random(f"proof kinds {seed}")
    faults += _plan_kinds(proof_rng, duration_s, PROOF_KINDS, PROOF_MEAN_INTERVAL_S)
    evacuation_rng = random.Random(f"evacuation kinds {seed}")
    faults += _plan_kinds(evacuation_rng, duration_s, EVACUATION_KINDS, EVACUATION_MEAN_INTERVAL_S)
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
    disturbances = deployment.run_recorder.disturbances
    if fault.kind in MODE_BY_LINK_FAULT:
        with disturbances.lasting(program.name):
            _disturb_link(program.store_proxy, MODE_BY_LINK_FAULT[fault.kind], fault.duration_s)
    elif fault.kind in MODE_BY_STORE_FAULT:
        with disturbances.lasting(STORE):
            deployment.store.mode = MODE_BY_STORE_FAULT[fault.kind]
            time.sleep(fault.duration_s)
            deployment.store.mode = StoreMode.NORMAL
    elif fault.kind in (FaultKind.KILL, FaultKind.PAUSE, FaultKind.TERMINATE, FaultKind.RELOAD):
        _inject_process_fault(fault, program, deployment)
    elif fault.kind is FaultKind.STORE_FORGETS:
        deployment.store.discard_history()
    elif fault.kind is FaultKind.STORE_LAPSE:
        with disturbances.lasting(STORE):
            deployment.store.expire_leases()
    elif fault.kind is FaultKind.STORE_COMPACTS:
        with disturbances.lasting(STORE):
            ends_at = time.monotonic() + fault.duration_s
            while time.monotonic() < ends_at:
                with deployment.store.compacting():
                    time.sleep(SILENCE_S)
                time.sleep(SILENCE_INTERVAL_S)
    else:
        inject_executor_fault(fault, deployment)


def _disturb_link(link: Forwarder, mode: Mode, duration_s: float) -> None:
    link.set_mode(mode)
    time.sleep(duration_s)
    link.set_mode(Mode.PASS)


def _inject_process_fault(fault: Fault, program: Program, deployment: Deployment) -> None:
    disturbances = deployment.run_recorder.disturbances
    match fault.kind:
        case FaultKind.KILL:
            with disturbances.lasting(program.name):
                restart_killed(program)
        case FaultKind.PAUSE:
            with disturbances.lasting(program.name):
                program.pause()
                time.sleep(fault.duration_s)
                program.resume()
        case FaultKind.TERMINATE:
            with disturbances.lasting(program.name, is_planned=True):
                _restart_terminated(program, deployment)
        case FaultKind.RELOAD:
            program.configure()
            program.signal(signal.SIGHUP)


def _restart_terminated(program: Program, deployment: Deployment) -> None:
    run_recorder = deployment.run_recorder
    program.sigterm_at = time.monotonic()
    program.signal(signal.SIGTERM)
    if not program.wait(STOP_GRACE_S):
        is_undisturbed = run_recorder.disturbances.is_calm(
            program.name,
            STORE,
            since=program.sigterm_at,
            until=time.monotonic(),
            ignores_planned=True,
        )
        if is_undisturbed:
            run_recorder.report_violation(f"{program.name} is still running after its grace time")
        program.signal(signal.SIGKILL)
        program.wait(STOP_GRACE_S)
    time.sleep(RESTART_DELAY_S)
    program.start()


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
    for link in deployment.links:
        link.set_mode(Mode.PASS)
    for executor in deployment.executors:
        executor.set_capacity(None)
        executor.mode = ExecutorMode.NORMAL
    for program in deployment.programs:
        program.resume()
        program.store_proxy.set_mode(Mode.PASS)
        program.start()
