"""Check a caller's request against the limits and the configuration in force."""

import re
import uuid
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec
from expression import Error, Ok, Result

from chicorycrank.model.config import Config, Service
from chicorycrank.model.ids import RequestKey, ServiceId, TeamId
from chicorycrank.model.requests import Request, RequestClass

MAX_DEADLINE_S = 300.0
MAX_KEY_LENGTH = 200
# A key is a segment of the path /v1/requests/<key>, so it must not contain a slash.
KEY_PATTERN = re.compile(r"[!-.0-~]+")
KNOWN_FIELDS = ("team", "service", "repeatable", "request_class", "deadline_s", "body")
CLASS_BY_NAME = {request_class.value: request_class for request_class in RequestClass}
DEFAULT_SERVICE = Service(request_class=RequestClass.PATIENT, repeatable=True)


@dataclass(frozen=True, kw_only=True)
class Finding:
    """Problem of one field or header of a request.

    :param pointer: JSON pointer of the field, or the name of the header
    """

    pointer: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class Rejection:
    """HTTP status and all findings of a refused request."""

    status: HTTPStatus
    findings: tuple[Finding, ...]


def check_request(data: bytes, key: str | None, config: Config) -> Result[Request, Rejection]:
    """Return the request of a body and its ``Idempotency-Key``, or a rejection."""
    limit = config.limits.max_body_bytes
    if len(data) > limit:
        detail = f"the body has {len(data)} bytes, the limit is {limit}"
        return Error(
            _reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Finding(pointer="", detail=detail))
        )
    try:
        fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(_reject(HTTPStatus.BAD_REQUEST, Finding(pointer="", detail=str(error))))
    findings: list[Finding] = []
    values = _decode_fields(fields, findings)
    _check_key(key, findings)
    service = _check_team_and_service(values, config, findings)
    _check_service(values, service, is_configured=bool(config.generation), findings=findings)
    deadline_s = _check_deadline(values, service, findings)
    if findings:
        return Error(_reject(HTTPStatus.UNPROCESSABLE_ENTITY, *findings))
    request_class = values.get("request_class")
    return Ok(
        Request(
            key=RequestKey(key or uuid.uuid4().hex),
            team=TeamId(values["team"]),
            service=ServiceId(values["service"]),
            request_class=CLASS_BY_NAME[request_class] if request_class else service.request_class,
            repeatable=values.get("repeatable", service.repeatable),
            deadline_s=deadline_s,
            body=bytes(fields.get("body", b"null")),
        )
    )


def _decode_fields(fields: dict[str, msgspec.Raw], findings: list[Finding]) -> dict[str, Any]:
    """Decode all fields except ``body``, which is passed on unchanged."""
    type_by_field: dict[str, Any] = {
        "team": str,
        "service": str,
        "repeatable": bool,
        "request_class": str,
        "deadline_s": float,
    }
    values = {}
    for name, raw in fields.items():
        if name not in KNOWN_FIELDS:
            findings.append(Finding(pointer=f"/{name}", detail="unknown field"))
        elif name != "body":
            try:
                values[name] = msgspec.json.decode(raw, type=type_by_field[name])
            except msgspec.DecodeError as error:
                findings.append(Finding(pointer=f"/{name}", detail=str(error)))
    for name in ("team", "service"):
        if name not in fields:
            findings.append(Finding(pointer=f"/{name}", detail="required field is missing"))
        elif values.get(name) == "":
            findings.append(Finding(pointer=f"/{name}", detail="is empty"))
    return values


def _check_key(key: str | None, findings: list[Finding]) -> None:
    if key is None:
        return
    if len(key) > MAX_KEY_LENGTH or not KEY_PATTERN.fullmatch(key):
        detail = f"must have 1 to {MAX_KEY_LENGTH} printable ASCII characters without '/'"
        findings.append(Finding(pointer="Idempotency-Key", detail=detail))


def _check_team_and_service(
    values: dict[str, Any], config: Config, findings: list[Finding]
) -> Service:
    """Check team and service and return the service; accept any without a configuration."""
    if not config.generation:
        return DEFAULT_SERVICE
    team, name = values.get("team"), values.get("service")
    if team and TeamId(team) not in config.teams:
        findings.append(Finding(pointer="/team", detail=f"unknown team {team!r}"))
    if name and ServiceId(name) not in config.services:
        findings.append(Finding(pointer="/service", detail=f"unknown service {name!r}"))
    return config.services.get(ServiceId(name or ""), DEFAULT_SERVICE)


def _check_service(
    values: dict[str, Any], service: Service, *, is_configured: bool, findings: list[Finding]
) -> None:
    """Check class and repeatability, which must match those of a configured service."""
    request_class = values.get("request_class")
    if request_class is not None and request_class not in CLASS_BY_NAME:
        names = ", ".join(CLASS_BY_NAME)
        findings.append(Finding(pointer="/request_class", detail=f"must be one of {names}"))
    if not is_configured or service is DEFAULT_SERVICE:
        return
    expected = {
        "request_class": service.request_class.value,
        "repeatable": service.repeatable,
    }
    for name, value in expected.items():
        if name in values and values[name] != value:
            detail = f"contradicts the service, for which it is {value}"
            findings.append(Finding(pointer=f"/{name}", detail=detail))


def _check_deadline(values: dict[str, Any], service: Service, findings: list[Finding]) -> float:
    deadline_s: float = values.get("deadline_s", service.deadline_s)
    if not 0 < deadline_s <= MAX_DEADLINE_S:
        detail = f"must be over 0 and at most {MAX_DEADLINE_S:g} seconds"
        findings.append(Finding(pointer="/deadline_s", detail=detail))
    return deadline_s


def _reject(status: HTTPStatus, *findings: Finding) -> Rejection:
    return Rejection(status=status, findings=findings)
