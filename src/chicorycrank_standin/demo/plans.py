"""Releases, requests and jobs of the demonstration for each deployment."""

from dataclasses import dataclass
from typing import Any

from chicorycrank_standin.fleet import BUREAU, CLOCHAN, Deployment


@dataclass(frozen=True, kw_only=True)
class RequestPlan:
    """Requests to one service.

    :param count: number of keys
    :param copies: how often each key is sent, each time through another entry
    """

    team: str
    service: str
    prefix: str
    count: int
    repeatable: bool
    copies: int = 1


@dataclass(frozen=True, kw_only=True)
class JobPlan:
    """Gang job.

    :param run_time_s: declared run time; the workers of the demonstration run 10 times faster
    """

    team: str
    name: str
    members: int
    accelerators: int
    adjacency: str
    run_time_s: float
    region: str
    urgent: bool = False
    checkpointable: bool = True


@dataclass(frozen=True, kw_only=True)
class DemoPlan:
    """Deployment with its releases, requests and jobs.

    :param borrowing_jobs: jobs that fill the first region with borrowed work
    :param reclaiming_job: job within a guarantee whose shape must then be reclaimed
    """

    deployment: Deployment
    first_release: dict[str, Any]
    second_release: dict[str, Any]
    requests: tuple[RequestPlan, ...]
    jobs: tuple[JobPlan, ...]
    borrowing_jobs: tuple[JobPlan, ...]
    reclaiming_job: JobPlan


def _shape(members: int, accelerators: int, adjacency: str = "rack") -> dict[str, Any]:
    return {"members": members, "accelerators": accelerators, "adjacency": adjacency}


def _guarantee(team: str, region: str, shape: dict[str, Any], count: int = 1) -> dict[str, Any]:
    return {"team": team, "region": region, "shape": shape, "count": count}


def _service(request_class: str, *, repeatable: bool, deadline_s: float) -> dict[str, Any]:
    return {"request_class": request_class, "repeatable": repeatable, "deadline_s": deadline_s}


BUREAU_PLAN = DemoPlan(
    deployment=BUREAU,
    first_release={
        "release": "claims-desk-1",
        "author": "desk operator",
        "written_against": 0,
        "added": {
            "teams": {
                "scanning": {"weight": 2.0},
                "matching": {"weight": 2.0},
                "dispatch": {"weight": 1.0},
                "archive": {"weight": 1.0},
            },
            "guarantees": {
                "scanning-north": _guarantee("scanning", "north", _shape(2, 8)),
                "matching-central": _guarantee("matching", "central", _shape(1, 8), 2),
                "dispatch-south": _guarantee("dispatch", "south", _shape(1, 4)),
            },
            "services": {
                "scan": _service("patient", repeatable=True, deadline_s=20.0),
                "identify": _service("urgent", repeatable=True, deadline_s=10.0),
                "dispatch-order": _service("urgent", repeatable=False, deadline_s=10.0),
            },
        },
    },
    second_release={
        "release": "claims-desk-2",
        "author": "desk operator",
        "written_against": 1,
        "changed": {"teams": {"archive": {"weight": 0.5}}},
        "added": {
            "guarantees": {"archive-south": _guarantee("archive", "south", _shape(1, 2))},
        },
    },
    requests=(
        RequestPlan(team="scanning", service="scan", prefix="scan", count=24, repeatable=True),
        RequestPlan(team="matching", service="identify", prefix="set", count=12, repeatable=True),
        RequestPlan(
            team="dispatch",
            service="dispatch-order",
            prefix="order",
            count=16,
            repeatable=False,
            copies=2,
        ),
    ),
    jobs=(
        JobPlan(
            team="scanning",
            name="scan-train",
            members=2,
            accelerators=8,
            adjacency="rack",
            run_time_s=50,
            region="north",
        ),
        JobPlan(
            team="matching",
            name="match-train",
            members=4,
            accelerators=4,
            adjacency="rack",
            run_time_s=60,
            region="central",
        ),
        JobPlan(
            team="dispatch",
            name="route-plan",
            members=1,
            accelerators=4,
            adjacency="worker",
            run_time_s=30,
            region="south",
        ),
        JobPlan(
            team="archive",
            name="re-index",
            members=1,
            accelerators=2,
            adjacency="worker",
            run_time_s=30,
            region="south",
        ),
    ),
    borrowing_jobs=tuple(
        JobPlan(
            team="archive",
            name=f"borrow-{index}",
            members=1,
            accelerators=8,
            adjacency="worker",
            run_time_s=50,
            region="north",
        )
        for index in range(4)
    ),
    reclaiming_job=JobPlan(
        team="scanning",
        name="scan-urgent",
        members=2,
        accelerators=8,
        adjacency="rack",
        run_time_s=30,
        region="north",
        urgent=True,
    ),
)

CLOCHAN_PLAN = DemoPlan(
    deployment=CLOCHAN,
    first_release={
        "release": "crossings-1",
        "author": "platform operator",
        "written_against": 0,
        "added": {
            "teams": {
                "shannon-firm": {"weight": 1.0},
                "barrow-firm": {"weight": 1.0},
                "corrib-firm": {"weight": 1.0},
                "inspection": {"weight": 1.0},
            },
            "guarantees": {
                "shannon-survey": _guarantee("shannon-firm", "shannon", _shape(2, 8)),
                "barrow-survey": _guarantee("barrow-firm", "barrow", _shape(1, 8)),
                "corrib-survey": _guarantee("corrib-firm", "corrib", _shape(1, 8)),
            },
            "services": {
                "survey": _service("patient", repeatable=True, deadline_s=20.0),
                "mix-check": _service("urgent", repeatable=True, deadline_s=10.0),
                "mix-plan": _service("urgent", repeatable=False, deadline_s=10.0),
            },
        },
    },
    second_release={
        "release": "crossings-2",
        "author": "platform operator",
        "written_against": 1,
        "changed": {"teams": {"inspection": {"weight": 2.0}}},
        "added": {
            "guarantees": {"ford-batch": _guarantee("inspection", "corrib", _shape(1, 4))},
        },
    },
    requests=(
        RequestPlan(
            team="shannon-firm", service="survey", prefix="survey", count=24, repeatable=True
        ),
        RequestPlan(
            team="barrow-firm", service="mix-check", prefix="check", count=12, repeatable=True
        ),
        RequestPlan(
            team="corrib-firm",
            service="mix-plan",
            prefix="plan",
            count=16,
            repeatable=False,
            copies=2,
        ),
    ),
    jobs=(
        JobPlan(
            team="shannon-firm",
            name="survey-render",
            members=2,
            accelerators=8,
            adjacency="rack",
            run_time_s=50,
            region="shannon",
        ),
        JobPlan(
            team="barrow-firm",
            name="survey-render",
            members=4,
            accelerators=4,
            adjacency="rack",
            run_time_s=60,
            region="barrow",
        ),
        JobPlan(
            team="corrib-firm",
            name="mix-model",
            members=1,
            accelerators=4,
            adjacency="worker",
            run_time_s=30,
            region="corrib",
        ),
        JobPlan(
            team="inspection",
            name="ford-batch",
            members=1,
            accelerators=2,
            adjacency="worker",
            run_time_s=30,
            region="corrib",
        ),
    ),
    borrowing_jobs=tuple(
        JobPlan(
            team="inspection",
            name=f"overnight-{index}",
            members=1,
            accelerators=8,
            adjacency="worker",
            run_time_s=50,
            region="shannon",
        )
        for index in range(4)
    ),
    reclaiming_job=JobPlan(
        team="shannon-firm",
        name="survey-urgent",
        members=2,
        accelerators=8,
        adjacency="rack",
        run_time_s=30,
        region="shannon",
        urgent=True,
    ),
)

PLANS_BY_DEPLOYMENT = {"bureau": BUREAU_PLAN, "clochan": CLOCHAN_PLAN}
