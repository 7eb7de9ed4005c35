"""Settings of an agent."""

from msgspec import Struct

from chicorycrank.model.ids import RegionId, TargetId, ZoneId
from chicorycrank.model.targets import ExecutorInfo, TargetKind, WorkerInfo


class AgentSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of ``chicorycrank-agent``.

    :param balancer: ``host:port`` of the entries' peer ports behind the platform's balancer
    :param listen_host: address at which other agents reach this one
    :param target_url: base address of the target's HTTP interface
    :param heartbeat_s: longest silence towards an entry in seconds
    :param drain_limit_s: longest time for running requests at a planned stop in seconds
    """

    target: TargetId
    kind: TargetKind
    region: RegionId
    zone: ZoneId
    balancer: str
    listen_host: str
    listen_port: int
    target_url: str
    executor: ExecutorInfo | None = None
    worker: WorkerInfo | None = None
    heartbeat_s: float = 1.5
    log_level: str = "info"
    drain_limit_s: float = 60.0
