"""Faults of executors, and of what executors and agents send each other."""

import random
import time

from chicorycrank_standin.forwarder import Mode
from chicorycrank_standin.platform.executor import BatchExecutorStandIn, ExecutorMode
from chicorycrank_standin.platform.heartbeats import messages_of_other_writers
from chicorycrank_standin.platform.incarnation import zone_of
from chicorycrank_standin.soak.deployment import (
    ACCELERATORS_PER_EXECUTOR,
    Deployment,
    Program,
    restart_killed,
)
from chicorycrank_standin.soak.fault_kinds import (
    EXECUTOR_MODE_BY_FAULT,
    MODE_BY_CALL_FAULT,
    MODE_BY_HEARTBEAT_FAULT,
    Fault,
    FaultKind,
)

DRAIN_S = 2.5  # a draining executor serves at least this long
RESTART_AFTER_DRAIN_S = 0.5  # until an agent is killed beside its draining executor
MAX_DOWN_S = 3.0
MACHINE_FREEZE_FACTOR = 4  # machines are suspended for longer than other faults last
EVACUATION_FACTOR = 2  # zones are evacuated for longer than other faults last
MESSAGE_INTERVAL_S = 0.2
# Time in which a message is repeated until an agent that starts has acknowledged it.
RESTART_TIMEOUT_S = 5.0
RESTART_POLL_S = 0.02


def inject_executor_fault(fault: Fault, deployment: Deployment) -> None:
    """Inject a fault of an executor or its agent and return after it has ended."""
    index = fault.target_index % len(deployment.executors)
    executor, agent = deployment.executors[index], deployment.agents[index]
    disturbances = deployment.run_recorder.disturbances
    down_s = min(MAX_DOWN_S, fault.duration_s)
    if fault.kind in MODE_BY_CALL_FAULT or fault.kind in MODE_BY_HEARTBEAT_FAULT:
        with disturbances.lasting(agent.name, executor.name):
            _disturb_links(fault, deployment, index)
        return
    if fault.kind in EXECUTOR_MODE_BY_FAULT:
        with disturbances.lasting(executor.name):
            executor.mode = EXECUTOR_MODE_BY_FAULT[fault.kind]
            time.sleep(fault.duration_s)
            executor.mode = ExecutorMode.NORMAL
        return
    match fault.kind:
        case FaultKind.EXECUTOR_CRASH:
            with disturbances.lasting(executor.name):
                executor.crash()
        case FaultKind.EXECUTOR_DOWN:
            with disturbances.lasting(executor.name):
                executor.crash(down_s)
                time.sleep(down_s)
        case FaultKind.EXECUTOR_CAPACITY:
            executor.set_capacity(fault.target_index % ACCELERATORS_PER_EXECUTOR)
            time.sleep(fault.duration_s)
            executor.set_capacity(None)
        case FaultKind.EXECUTOR_DRAIN:
            executor.drain(DRAIN_S + fault.duration_s, down_s=down_s)
            if fault.target_index % 2:
                time.sleep(RESTART_AFTER_DRAIN_S)
                with disturbances.lasting(agent.name):
                    restart_killed(agent)
        case FaultKind.EXECUTOR_FREEZE:
            with disturbances.lasting(executor.name):
                executor.freeze(fault.duration_s, stops_clock=False)
        case FaultKind.MACHINE_FREEZE:
            with disturbances.lasting(agent.name, executor.name):
                _freeze_machine(fault, executor, agent)
        case FaultKind.EARLIER_LIFE:
            _send_messages_of_earlier_life(fault, executor, agent, deployment)
        case FaultKind.ZONE_EVACUATION:
            _evacuate_zone(fault, executor, deployment)
        case FaultKind.OTHER_WRITER:
            rng = random.Random(fault.target_index)
            for message in messages_of_other_writers(executor.heartbeat_fields(), rng):
                executor.heartbeats.send(message)
                time.sleep(MESSAGE_INTERVAL_S)


def _evacuate_zone(fault: Fault, executor: BatchExecutorStandIn, deployment: Deployment) -> None:
    key = f"op/evacuate/{zone_of(executor.name)}"
    deployment.store.put(key, "")
    deployment.run_recorder.record_evacuation(executor.name, is_evacuated=True)
    time.sleep(fault.duration_s * EVACUATION_FACTOR)
    deployment.run_recorder.record_evacuation(executor.name, is_evacuated=False)
    deployment.store.delete(key)


def _disturb_links(fault: Fault, deployment: Deployment, index: int) -> None:
    executor = deployment.executors[index]
    assert executor.link is not None
    modes = [
        (executor.link, MODE_BY_CALL_FAULT.get(fault.kind)),
        (deployment.control_links[index], MODE_BY_HEARTBEAT_FAULT.get(fault.kind)),
    ]
    disturbed = [(link, mode) for link, mode in modes if mode is not None]
    for link, mode in disturbed:
        link.set_mode(mode)
    time.sleep(fault.duration_s)
    for link, _ in disturbed:
        link.set_mode(Mode.PASS)


def _freeze_machine(fault: Fault, executor: BatchExecutorStandIn, agent: Program) -> None:
    agent.pause()
    executor.freeze(fault.duration_s * MACHINE_FREEZE_FACTOR, stops_clock=True)
    agent.resume()


def _send_messages_of_earlier_life(
    fault: Fault, executor: BatchExecutorStandIn, agent: Program, deployment: Deployment
) -> None:
    """Crash an executor and send its last messages when it is back, or before.

    PROTOCOL.md, "Service discovery": a heartbeat that a partition has delayed may arrive after its
    sender has crashed and a new incarnation has registered. Every other time the agent has just
    restarted and knows no incarnation.
    """
    disturbances = deployment.run_recorder.disturbances
    with disturbances.lasting(executor.name):
        executor.crash(min(MAX_DOWN_S, fault.duration_s) / 2)
        messages = executor.earlier_messages[-2:]
        time.sleep(fault.duration_s)
    if fault.target_index % 2:
        with disturbances.lasting(agent.name):
            restart_killed(agent)
    rng = random.Random(fault.target_index)
    rng.shuffle(messages)
    for message in messages:
        deadline = time.monotonic() + RESTART_TIMEOUT_S
        while not executor.heartbeats.send(message) and time.monotonic() < deadline:
            time.sleep(RESTART_POLL_S)
