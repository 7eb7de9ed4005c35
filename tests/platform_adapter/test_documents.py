"""Decoding of the platform's documents."""

import json
import re
from typing import Any

import pytest

from chicorycrank.model.batch import Advice, Step, WorkerState
from chicorycrank.model.ids import JobId, TeamId
from chicorycrank.platform.documents import (
    MAX_NUMBER,
    DocumentError,
    decode_config,
    decode_job,
)
from chicorycrank.platform.executor_reports import decode_report
from chicorycrank.platform.machines import decode_machines
from chicorycrank.platform.settings import decode_settings
from chicorycrank.settings.reader import SettingsError

ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "h.example",
    "prefix": "/p/",
    "service": "s",
    "priority": 0,
    "maxAttempts": 4,
    "targetLatencyMs": 500,
    "slackFactor": 1.5,
}
CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [ROUTE],
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "guaranteed": {"gpus": 16}}],
    "limits": {"maxBodyBytes": 1000},
    "unknownField": 1,  # ignored, as it may come from a later version of the platform
}
REPORT: dict[str, Any] = {
    "service": "s",
    "state": "ready",
    "seq": 4,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpus": 8},
    "labels": ["a", "r1-3"],
    "born": 12345,
    "clockMs": 99,
}
SETTINGS: dict[str, Any] = {
    "node": "edge-1",
    "ip": "10.1.0.19",
    "zone": "z",
    "region": "r",
    "bindAddresses": {"front": "10.1.0.19:1", "ready": "10.1.0.19:2"},
    "internalPorts": [7000, 7015],
    "platform": {"address": "10.2.0.1:3"},
    "bounds": {"revokeMs": 5000, "graceS": 6, "maxHoldMs": 10000, "unknown": True},
}


def encode(document: object) -> bytes:
    return json.dumps(document).encode()


def test_config_is_decoded_into_queues_and_teams() -> None:
    """Guards against a value that is decoded into the wrong field or unit."""
    route_with_advice = {
        **ROUTE,
        "recommendation": {"decisionMs": 50, "periodMs": 5, "validityMs": 3000},
    }
    config = decode_config(encode({**CONFIG, "routes": [route_with_advice]}))
    (queue,), (team,) = config.queues, config.teams
    assert (config.version, config.max_body_bytes) == (7, 1000)
    assert (queue.priority, queue.max_attempts, queue.target_latency_s) == (0, 4, 0.5)
    assert queue.advice == Advice(decision_s=0.05, per_worker_s=0.005, validity_s=3.0)
    assert (team.keys, team.quota) == (("k1", "k2"), 16)


def test_job_is_decoded_into_steps() -> None:
    """Guards against a requirement of a task that is lost in decoding."""
    step = {
        "count": 2,
        "cpu": 500,
        "memMb": 256,
        "gpus": 4,
        "estimatedMs": 900,
        "affinity": "r1-3",
        "constraints": "a",
        "antiAffinity": 1,
        "gang": True,
        "sameRack": True,
        "checkpointing": True,
        "targetMs": 40,
        "maxUnavailable": 1,
    }
    queue = decode_config(encode(CONFIG)).queues[0]
    body = {"spec": "x", "steps": [step], "repeatCount": 3, "startAtMs": 10, "intervalMs": 20}
    job = decode_job(encode(body), job_id=JobId("a" * 16), queue=queue, team=TeamId("t"), now_ms=5)
    assert job.steps == (
        Step(
            count=2,
            accelerators=4,
            cores=500,
            memory_mb=256,
            run_time_s=0.9,
            gang=True,
            same_rack=True,
            label="a",
            data_rack="r1-3",
            max_per_worker=1,
            checkpointing=True,
            target_latency_s=0.04,
            max_unavailable=1,
        ),
    )
    assert (job.repeat_count, job.first_at_ms, job.interval_ms) == (3, 10, 20)


LIMITS: dict[str, tuple[dict[str, Any], str]] = {
    **{
        f"{field} of {value}": (
            {"steps": [{"count": 1}, {"count": 1, field: value}]},
            f"`{field}` of step 1 is {value}, expected {low} to {MAX_NUMBER}",
        )
        for field, value, low in [
            ("cpu", -1, 0),
            ("memMb", -256, 0),
            ("gpus", -2, 0),
            ("gpus", 2**53, 0),
            ("estimatedMs", -0.5, 0),
            ("antiAffinity", -1, 0),
            ("targetMs", -1.0, 0),
            ("maxUnavailable", -1, 0),
            ("count", 0, 1),
            ("count", -3, 1),
            ("count", 2**70, 1),
        ]
    },
    "repeatCount": (
        {"steps": [{}], "repeatCount": -1},
        f"`repeatCount` is -1, expected 0 to {MAX_NUMBER}",
    ),
    "intervalMs": (
        {"steps": [{}], "repeatCount": 1, "intervalMs": -5},
        f"`intervalMs` is -5, expected 0 to {MAX_NUMBER}",
    ),
    "no steps": ({"steps": []}, "the number of steps is 0, expected 1 to 1000"),
    "steps": ({"steps": [{}] * 1001}, "the number of steps is 1001, expected 1 to 1000"),
    "spec": (
        {"steps": [{}], "spec": "é" * 2001},
        "`spec` in bytes is 4002, expected 0 to 4000",
    ),
    "own step": (
        {"steps": [{}, {"after": [1]}]},
        "an index in `after` of step 1 is 1, expected 0 to 0",
    ),
    "body": (
        {"steps": [{"image": "x" * 300_000}]},
        "the body in bytes is 300026, expected 0 to 262144",
    ),
}


@pytest.mark.parametrize(("body", "message"), LIMITS.values(), ids=LIMITS)
def test_a_job_beyond_a_limit_is_refused_with_the_value_and_the_limit(
    body: dict[str, Any], message: str
) -> None:
    """Guards against a job that is accepted, can never run and stays queued."""
    queue = decode_config(encode(CONFIG)).queues[0]
    with pytest.raises(DocumentError, match=re.escape(message)):
        decode_job(encode(body), job_id=JobId("a" * 16), queue=queue, team=TeamId("t"), now_ms=0)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        encode({"spec": "x"}),
        encode({"spec": "x" * 4001, "steps": [{"count": 1}]}),
        encode({"spec": 3, "steps": [{"count": 1}]}),
        encode({"spec": "x", "steps": [{"count": 0}]}),
        encode({"spec": "x", "steps": [{"count": 1, "after": [0]}]}),
        encode({"spec": "x", "steps": [{"count": "many"}]}),
    ],
)
def test_invalid_job_is_refused(body: bytes) -> None:
    """Guards against a job that is accepted but can never run."""
    queue = decode_config(encode(CONFIG)).queues[0]
    with pytest.raises(DocumentError):
        decode_job(body, job_id=JobId("a" * 16), queue=queue, team=TeamId("t"), now_ms=0)


def test_report_is_decoded_with_incarnation_and_rack() -> None:
    """Guards against treating two incarnations of an executor as one."""
    numbered_report = decode_report("i-7", encode(REPORT))
    assert (numbered_report.report.incarnation, numbered_report.report.rack) == (
        "i-7:12345",
        "r1-3",
    )
    assert (numbered_report.report.accelerators, numbered_report.report.cores) == (8, 16000)
    assert numbered_report.report.state is WorkerState.READY


@pytest.mark.parametrize(
    "change",
    [
        {"state": "unknown"},
        {"capacity": None},
        {"capacity": {"gpus": -1}},
        {"capacity": {"cpu": 2**53}},
        {"seq": "4"},
        {"labels": "a"},
        {"service": None},
    ],
)
def test_invalid_report_is_refused(change: dict[str, Any]) -> None:
    """Guards against registering a worker from a report that no executor of the platform sends."""
    with pytest.raises(DocumentError):
        decode_report("i-7", encode({**REPORT, **change}))
    with pytest.raises(DocumentError):
        decode_report("i-7", b"\xff\x00")


@pytest.mark.parametrize(
    "malformed", [{"machine": 3, "state": "up"}, {"machine": "m-2", "state": "odd"}, "text", None]
)
def test_a_list_of_machines_with_a_malformed_row_is_refused(malformed: object) -> None:
    """Guards against an executor that is taken for gone because its row cannot be read."""
    row = {"machine": "m-1", "state": "up", "id": "i-1"}
    assert [machine.machine for machine in decode_machines([row])] == ["m-1"]
    with pytest.raises(DocumentError):
        decode_machines([row, malformed])


def test_settings_are_decoded_with_bounds() -> None:
    """Guards against a bound that is decoded in the wrong unit."""
    settings = decode_settings(SETTINGS)
    assert (settings.name, settings.front, settings.store) == (
        "edge-1",
        "10.1.0.19:1",
        "10.2.0.1:3",
    )
    bounds = settings.bounds
    assert (bounds.key_revocation_s, bounds.stop_grace_s, bounds.max_lease_s) == (5.0, 6.0, 10.0)


@pytest.mark.parametrize(("change", "expected"), [({}, True), ({"admissionControl": False}, False)])
def test_admission_control_is_on_by_default(change: dict[str, Any], expected: bool) -> None:
    """Guards against a setting that is not read, or that is needed for the default."""
    assert decode_settings({**SETTINGS, **change}).admission_control is expected


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"node": None}, "node"),
        ({"platform": {}}, "platform.address"),
        ({"platform": "x"}, "platform.address"),
        ({"bounds": {"revokeMs": "soon"}}, "revokeMs"),
        ({"heartbeatMs": True}, "heartbeatMs"),
        ({"admissionControl": "no"}, "admissionControl"),
    ],
)
def test_findings_name_the_invalid_setting(change: dict[str, Any], field: str) -> None:
    """Guards against a process that starts with wrongly decoded settings."""
    with pytest.raises(SettingsError) as caught:
        decode_settings({**SETTINGS, **change})
    assert field in str(caught.value)


@pytest.mark.parametrize(
    ("change", "expected"), [({}, True), ({"avoidInterference": False}, False)]
)
def test_keeping_workloads_apart_can_be_switched_off(
    change: dict[str, object], expected: bool
) -> None:
    """Guards against a setting that is not read, or that older settings files lack."""
    assert decode_settings({**SETTINGS, **change}).avoids_interference is expected


def test_a_switch_has_to_be_a_truth_value() -> None:
    """Guards against the text "false", which would count as true."""
    with pytest.raises(SettingsError, match="avoidInterference"):
        decode_settings({**SETTINGS, "avoidInterference": "false"})
