"""Kinds of faults of a soak."""

from dataclasses import dataclass
from enum import Enum

from chicorycrank_standin.forwarder import Mode
from chicorycrank_standin.platform.executor import ExecutorMode
from chicorycrank_standin.platform.kv_store import StoreMode


class FaultKind(Enum):
    """Kind of fault.

    Faults of a link are those of ``forwarder.Mode``. ``link`` stands for that of one program to the
    store, ``calls`` for that of an agent to its executor and ``heartbeats`` for that of an executor
    to its agent. Faults of the store affect every program; the first three are those of
    ``kv_store.StoreMode``.
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
    LINK_RESET = "link-reset"
    LINK_DEAF = "link-deaf"
    LINK_REJECT = "link-reject"
    CALLS_SILENT = "calls-silent"
    CALLS_CUT = "calls-cut"
    CALLS_DELAY = "calls-delay"
    CALLS_RESET = "calls-reset"
    CALLS_DEAF = "calls-deaf"
    HEARTBEATS_CUT = "heartbeats-cut"
    HEARTBEATS_DELAY = "heartbeats-delay"
    HEARTBEATS_DEAF = "heartbeats-deaf"
    BOTH_CUT = "both-cut"
    STORE_COMPACTS = "store-compacts"  # watches are silent, then the history is discarded
    EXECUTOR_REORDERS = "executor-reorders"  # starts and stops are answered or executed late
    EXECUTOR_UNHEALTHY = "executor-unhealthy"  # starts are refused
    EXECUTOR_DOWN = "executor-down"  # the executor crashes and is back after some time
    EXECUTOR_DRAIN = "executor-drain"  # the executor drains, exits and is back after some time
    EXECUTOR_FREEZE = "executor-freeze"
    MACHINE_FREEZE = "machine-freeze"  # the executor and its agent are suspended
    EARLIER_LIFE = "earlier-life"  # messages of an earlier incarnation arrive late
    OTHER_WRITER = "other-writer"  # messages of another writer arrive at an agent
    ZONE_EVACUATION = "zone-evacuation"  # the zone of an executor is evacuated for some time


MODE_BY_LINK_FAULT = {
    FaultKind.LINK_SILENT: Mode.SILENT,
    FaultKind.LINK_CUT: Mode.CUT,
    FaultKind.LINK_DELAY: Mode.DELAY,
    FaultKind.LINK_RESET: Mode.RESET,
    FaultKind.LINK_DEAF: Mode.DEAF,
    FaultKind.LINK_REJECT: Mode.REJECT,
}
MODE_BY_CALL_FAULT = {
    FaultKind.CALLS_SILENT: Mode.SILENT,
    FaultKind.CALLS_CUT: Mode.CUT,
    FaultKind.CALLS_DELAY: Mode.DELAY,
    FaultKind.CALLS_RESET: Mode.RESET,
    FaultKind.CALLS_DEAF: Mode.DEAF,
    FaultKind.BOTH_CUT: Mode.CUT,
}
MODE_BY_HEARTBEAT_FAULT = {
    FaultKind.HEARTBEATS_CUT: Mode.CUT,
    FaultKind.HEARTBEATS_DELAY: Mode.DELAY,
    FaultKind.HEARTBEATS_DEAF: Mode.DEAF,
    FaultKind.BOTH_CUT: Mode.CUT,
}
EXECUTOR_MODE_BY_FAULT = {
    FaultKind.EXECUTOR_LATE: ExecutorMode.LATE_STARTS,
    FaultKind.EXECUTOR_REORDERS: ExecutorMode.LATE_CALLS,
    FaultKind.EXECUTOR_UNHEALTHY: ExecutorMode.UNHEALTHY,
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
