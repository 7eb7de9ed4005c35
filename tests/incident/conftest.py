"""Deployment of entries and agents as processes, which answers calls."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.incident.scenario import wait_until

from chicorycrank_standin.soak.callers import Callers
from chicorycrank_standin.soak.deployment import Deployment

READY_TIMEOUT_S = 30.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path, seed=1)
    try:
        deployment.start()
        callers = Callers(deployment, deployment.run_recorder)
        wait_until(lambda: callers.all_entries_answer("/plain/"), READY_TIMEOUT_S)
        yield deployment
    finally:
        deployment.close()
