"""When the work of an absent worker is given to others."""

import pytest
from tests.batch.fakes import make_report

from chicorycrank.batch.absences import SUSPENSION_LIMIT_S, LostWorkerDetector
from chicorycrank.batch.workers import WorkerRegistry
from chicorycrank.model.ids import TargetId
from chicorycrank.policy.cell import Cell
from chicorycrank.ports.machines import MachinesUnavailableError

LOST_AFTER_S = 20.0
WORKER = TargetId("w")


class FakeMachineList:
    """A list of machines, or none."""

    def __init__(self, running: frozenset[str] | None) -> None:
        self.running = running

    def running_executors(self) -> frozenset[str]:
        """Return the list."""
        if self.running is None:
            raise MachinesUnavailableError
        return self.running


@pytest.mark.parametrize(
    ("absent_s", "running", "lost"),
    [
        (LOST_AFTER_S - 1, frozenset(), False),
        (LOST_AFTER_S + 1, frozenset(), True),
        (LOST_AFTER_S + 1, frozenset({"i-1"}), False),
        (LOST_AFTER_S + 1, frozenset({"i-2"}), True),
        (LOST_AFTER_S + 1, None, True),
        (SUSPENSION_LIMIT_S + 1, frozenset({"i-1"}), True),
    ],
)
def test_work_is_not_given_away_beside_a_suspended_machine(
    absent_s: float, running: frozenset[str] | None, lost: bool
) -> None:
    """Guards against a second run of a task whose executor's clock stands still."""
    workers = WorkerRegistry(Cell(), 1000.0, lambda: None)
    workers.apply_report(WORKER, make_report("i-1:1"))
    workers.set_present(WORKER, True)
    workers.set_present(WORKER, False)
    workers.now_s += absent_s
    found = LostWorkerDetector(FakeMachineList(running), LOST_AFTER_S).find_lost(workers, {WORKER})
    assert found == ([WORKER] if lost else [])
    assert (
        LostWorkerDetector(FakeMachineList(running), LOST_AFTER_S).find_lost(workers, set()) == []
    )
