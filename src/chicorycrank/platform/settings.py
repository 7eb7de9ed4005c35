"""Reader of the settings file that a process receives from the platform."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from chicorycrank.settings.reader import SettingsError

SETTINGS_VARIABLE = "CHICORYCRANK_NODE_FILE"
YAML_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits set by the platform, in seconds except for factors and numbers of runs.

    The fields without a description are decoded but not used.

    :param key_revocation_s: time within which a revoked key must be refused
    :param stop_grace_s: time within which a process must exit after it is requested to stop
    :param max_lease_s: longest lease that an executor grants
    :param checkpoint_interval_s: time between two checkpoints of a task
    :param status_retention_s: time for which the state of an ended job must be kept
    :param evacuate_s: time after which nothing starts in a zone that is evacuated
    :param cold_overage: largest number of runs on a cold executor, as a multiple of the mean number
        on the others; None for no limit
    :param cold_slack: number of runs that a cold executor may have in any case
    """

    key_revocation_s: float = 5.0
    drain_s: float = 2.5
    stop_grace_s: float = 6.0
    max_lease_s: float = 10.0
    stop_s: float = 0.4
    gang_s: float = 3.0
    checkpoint_interval_s: float = 2.0
    status_retention_s: float = 120.0
    interference_s: float = 4.0
    rack_slowdown: float = 3.0
    evacuate_s: float = 5.0
    cold_overage: float | None = None
    cold_slack: float | None = None


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Settings of one process.

    :param front: address for clients, ``host:port``; empty if the process serves none
    :param ready: address of the readiness check
    :param control: address for the reports of the executor
    :param executor: address of the executor on this machine
    :param advice: address of the advice service; if it is empty, that of the store is used
    :param machines: address of the list of machines; if it is empty, that of the store is used
    :param avoids_interference: whether workloads that slow each other down are kept apart
    :param metrics_port: port of the metrics, the first internal port; 0 if there is none
    :param admission_control: whether entries refuse jobs that cannot end in time
    """

    name: str
    host: str
    zone: str
    region: str
    store: str
    front: str = ""
    ready: str = ""
    control: str = ""
    executor: str = ""
    advice: str = ""
    machines: str = ""
    heartbeat_s: float = 1.5
    metrics_port: int = 0
    avoids_interference: bool = True
    admission_control: bool = True
    bounds: Bounds = Bounds()


FIELD_AND_UNIT_BY_BOUND = {
    "key_revocation_s": ("revokeMs", 1000),
    "drain_s": ("drainMs", 1000),
    "stop_grace_s": ("graceS", 1),
    "max_lease_s": ("maxHoldMs", 1000),
    "stop_s": ("stopTimeoutMs", 1000),
    "gang_s": ("gangTimeoutMs", 1000),
    "checkpoint_interval_s": ("checkpointIntervalS", 1),
    "status_retention_s": ("status_s", 1),
    "interference_s": ("interferenceMs", 1000),
    "rack_slowdown": ("spreadFactor", 1),
    "evacuate_s": ("evacuateMs", 1000),
    "cold_overage": ("coldOverage", 1),
    "cold_slack": ("coldSlack", 1),
}


def read_settings(path: Path) -> NodeSettings:
    """Read the settings file.

    :raises SettingsError: the file cannot be read, or required values are missing
    """
    try:
        document = yaml.load(path.read_text("utf-8"), Loader=YAML_LOADER)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return decode_settings(document)


def decode_settings(document: object) -> NodeSettings:
    """Decode the settings of a process; ignore unknown fields.

    :raises SettingsError: required values are missing, or values have the wrong type
    """
    if not isinstance(document, dict):
        raise SettingsError("settings: the document is not a table")
    findings: list[str] = []

    def read_string(path: str, *, is_required: bool = False) -> str:
        value: Any = document
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if isinstance(value, str) and value:
            return value
        if is_required or value is not None:
            findings.append(f"{path}: expected text, found {value!r}")
        return ""

    ports = document.get("internalPorts")
    settings = NodeSettings(
        name=read_string("node", is_required=True),
        host=read_string("ip", is_required=True),
        zone=read_string("zone"),
        region=read_string("region"),
        store=read_string("platform.address", is_required=True),
        front=read_string("bindAddresses.front"),
        ready=read_string("bindAddresses.ready"),
        control=read_string("bindAddresses.control"),
        executor=read_string("app"),
        advice=read_string("recommendation"),
        machines=read_string("cloud.address"),
        heartbeat_s=_read_number(document, "heartbeatMs", 1500, findings) / 1000,
        metrics_port=ports[0] if isinstance(ports, list) and ports else 0,
        avoids_interference=_read_flag(document, "avoidInterference", True, findings),
        admission_control=_read_flag(document, "admissionControl", True, findings),
        bounds=_decode_bounds(document.get("bounds"), findings),
    )
    if findings:
        raise SettingsError("\n".join(findings))
    return settings


def _decode_bounds(document: object, findings: list[str]) -> Bounds:
    if not isinstance(document, dict):
        return Bounds()
    values = {}
    for name, (field, units_per_second) in FIELD_AND_UNIT_BY_BOUND.items():
        if field in document:
            values[name] = _read_number(document, field, 0, findings) / units_per_second
    return Bounds(**values)


def _read_flag(document: dict[str, Any], field: str, default: bool, findings: list[str]) -> bool:
    value = document.get(field, default)
    if not isinstance(value, bool):
        findings.append(f"{field}: expected true or false, found {value!r}")
        return default
    return value


def _read_number(
    document: dict[str, Any], field: str, default: float, findings: list[str]
) -> float:
    value = document.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        findings.append(f"{field}: expected a number, found {value!r}")
        return default
    return float(value)
