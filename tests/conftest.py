"""Fixtures shared by all tests."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from chicorycrank_standin.fleet import Deployment, Fleet

SMALL_DEPLOYMENT = Deployment(
    name="small",
    regions=("north",),
    executors={"north": 1},
    workers={"north": 2},
    cores=64,
    memory_gb=250,
)


@pytest.fixture
def small_fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(deployment=SMALL_DEPLOYMENT, folder=tmp_path / "fleet", speed=10.0)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()
