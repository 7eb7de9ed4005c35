"""The platform's settings file of a process."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from chicorycrank.settings.reader import SettingsError

SETTINGS_VARIABLE = "CHICORYCRANK_NODE_FILE"
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Time limits of the platform's rules, in seconds."""

    key_revocation_s: float = 5.0
    drain_s: float = 2.5
    stop_grace_s: float = 6.0
    max_lease_s: float = 10.0
    stop_s: float = 0.4
    gang_s: float = 3.0
    checkpoint_s: float = 2.0
    status_s: float = 120.0
    interference_s: float = 4.0
    rack_slowdown: float = 3.0


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Settings of one process.

    :param front: address for callers, ``host:port``; empty if the process has none
    :param ready: address of the readiness check
    :param control: address for the reports of the executor
    :param executor: address of the executor on this machine
    :param advice: address of the service that says which workers may run a step
    :param machines: address of the interface to machines
    :param metrics_port: first port that is free for the system's own use
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
    bounds: Bounds = Bounds()


BOUNDS = {
    "key_revocation_s": ("revokeMs", 1000),
    "drain_s": ("drainMs", 1000),
    "stop_grace_s": ("graceS", 1),
    "max_lease_s": ("maxHoldMs", 1000),
    "stop_s": ("stopTimeoutMs", 1000),
    "gang_s": ("gangTimeoutMs", 1000),
    "checkpoint_s": ("checkpointIntervalS", 1),
    "status_s": ("status_s", 1),
    "interference_s": ("interferenceMs", 1000),
    "rack_slowdown": ("spreadFactor", 1),
}


def read_settings(path: Path) -> NodeSettings:
    """Read the settings file.

    :raises SettingsError: it cannot be read, or values that are needed are missing
    """
    try:
        document = yaml.load(path.read_text("utf-8"), Loader=LOADER)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return decode_settings(document)


def decode_settings(document: object) -> NodeSettings:
    """Decode the settings of a process; fields that are not known are ignored.

    :raises SettingsError: values that are needed are missing or of another type
    """
    if not isinstance(document, dict):
        raise SettingsError("the settings are not a table")
    findings: list[str] = []

    def text(place: str, *, needed: bool = False) -> str:
        value: Any = document
        for name in place.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if isinstance(value, str) and value:
            return value
        if needed or value is not None:
            findings.append(f"{place}: expected text, found {value!r}")
        return ""

    ports = document.get("internalPorts")
    settings = NodeSettings(
        name=text("node", needed=True),
        host=text("ip", needed=True),
        zone=text("zone"),
        region=text("region"),
        store=text("platform.address", needed=True),
        front=text("bindAddresses.front"),
        ready=text("bindAddresses.ready"),
        control=text("bindAddresses.control"),
        executor=text("app"),
        advice=text("recommendation"),
        machines=text("cloud.address"),
        heartbeat_s=_number(document, "heartbeatMs", 1500, findings) / 1000,
        metrics_port=ports[0] if isinstance(ports, list) and ports else 0,
        bounds=_decode_bounds(document.get("bounds"), findings),
    )
    if findings:
        raise SettingsError("\n".join(findings))
    return settings


def _decode_bounds(document: object, findings: list[str]) -> Bounds:
    if not isinstance(document, dict):
        return Bounds()
    values = {}
    for name, (field, units_per_second) in BOUNDS.items():
        if field in document:
            values[name] = _number(document, field, 0, findings) / units_per_second
    return Bounds(**values)


def _number(document: dict[str, Any], field: str, default: float, findings: list[str]) -> float:
    value = document.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        findings.append(f"{field}: expected a number, found {value!r}")
        return default
    return float(value)
