"""An executor that drains, says that it ends and closes its port."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime

import pytest
from tests.batch.test_end_proofs import World

from chicorycrank.model.batch import EndKind, WorkerState

MAX_LEASE_S = 10.0  # the lease of 5 s that is granted does not expire during a test
SETTLED_S = 2.0


@dataclass(frozen=True, kw_only=True)
class Exit:
    """What an agent sees of an executor that leaves, or seems to.

    :param age_s: age of the executor in seconds
    :param fault: fault of the calls after the notice
    :param is_end: whether it proves that the executor has ended
    """

    name: str
    drains: bool = True
    sends_notice: bool = True
    age_s: float = 60.0
    fault: str = "refused"
    is_end: bool = False


EXITS = [
    Exit(name="announced", is_end=True),
    Exit(name="without-draining", drains=False),
    Exit(name="without-a-notice", sends_notice=False),
    Exit(name="notice-may-be-of-an-earlier-life", age_s=5.0),
    Exit(name="silent", fault="no_response"),
    Exit(name="answers", fault=""),
]


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    monkeypatch.setattr("tests.batch.test_end_proofs.MAX_LEASE_S", MAX_LEASE_S)
    world = World()
    yield world
    world.agent.stop()


@pytest.mark.parametrize("leaving", EXITS, ids=lambda leaving: leaving.name)
def test_only_an_announced_exit_ends_runs_before_the_lease(
    world: World, monkeypatch: pytest.MonkeyPatch, leaving: Exit
) -> None:
    """Guards against runs that wait for a lost VM although their executor has left as planned."""
    # The executor of the world was started at the beginning of the epoch.
    monkeypatch.setattr(world.clock, "now", lambda: datetime.fromtimestamp(leaving.age_s, UTC))
    if leaving.drains:
        world.beat(state=WorkerState.DRAINING)
    if leaving.sends_notice:
        world.agent.record_executor_exit("i-1")
    world.executor.fault = leaving.fault
    ends_at = time.monotonic() + SETTLED_S
    while time.monotonic() < ends_at and not world.reported_ends():
        time.sleep(0.05)
    assert world.reported_ends() == ([EndKind.LOST] if leaving.is_end else [])
