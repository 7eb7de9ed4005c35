"""Settings of an agent."""

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta, Struct

from chicorycrank.model.ids import RegionId, TargetId, ZoneId
from chicorycrank.model.targets import ExecutorInfo, TargetKind, WorkerInfo
from chicorycrank.settings.common import (
    Address,
    LogLevel,
    NonEmptyStr,
    Port,
    Seconds,
    check_minimums,
    check_url,
)
from chicorycrank.settings.findings import Problem


class AgentSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of ``chicorycrank-agent``.

    :param balancer: ``host:port`` of the platform's load balancer in front of the entries' peer
        ports
    :param listen_host: address at which other agents reach this one
    :param target_url: base URL of the target's HTTP interface
    :param heartbeat_s: longest idle time in seconds before a heartbeat is sent to an entry
    :param drain_limit_s: longest time in seconds that a planned shutdown waits for running
        requests
    """

    target: TargetId
    kind: TargetKind
    region: RegionId
    zone: ZoneId
    balancer: Address
    listen_host: NonEmptyStr
    listen_port: Port
    target_url: str
    executor: ExecutorInfo | None = None
    worker: WorkerInfo | None = None
    heartbeat_s: Annotated[Seconds, Meta(gt=0, le=60)] = 1.5
    log_level: LogLevel = LogLevel.INFO
    drain_limit_s: Annotated[Seconds, Meta(ge=0, le=3600)] = 60.0


def check_agent(settings: AgentSettings) -> list[Problem]:
    """Return the conflicts between fields and the values that are out of range."""
    return list(_check(settings))


def _check(settings: AgentSettings) -> Iterator[Problem]:
    yield from check_url("target_url", settings.target_url)
    is_executor = settings.kind is TargetKind.EXECUTOR
    expected, other = ("executor", "worker") if is_executor else ("worker", "executor")
    if getattr(settings, expected) is None:
        yield Problem(
            path=("kind",),
            text=f"kind is {expected}, but {expected} is missing",
            remedy=f"add {expected} with the capacity of the target",
        )
    if getattr(settings, other) is not None:
        yield Problem(
            path=(other,),
            text=f"{other} is given, but kind is {expected}",
            remedy=f"remove it or set kind to {other}",
            is_at_key=True,
        )
    if settings.executor is not None:
        yield from check_minimums("executor", settings.executor, {"slots": 1, "connections": 1})
    if settings.worker is not None:
        minimum = {"accelerators": 1, "cores": 1, "memory_gb": 1}
        yield from check_minimums("worker", settings.worker, minimum)
