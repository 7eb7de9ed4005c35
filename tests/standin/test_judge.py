"""The judge of the soak reports each kind of fault in a history of events, and no allowed case."""

from dataclasses import dataclass, field
from typing import Any

import pytest

from chicorycrank_standin.platform.disturbances import STORE, DisturbanceLog
from chicorycrank_standin.platform.run_recorder import RunRecord, RunRecorder

TASK = "job.0.0.0"
ENTRIES = ["entry-0"]


@dataclass
class Replay:
    """Recorder that is fed with events at the times of a manual clock."""

    now: float = 100.0
    recorder: RunRecorder = field(init=False)
    run_by_number: dict[int, RunRecord] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.recorder = RunRecorder(
            clock=lambda: self.now, disturbances=DisturbanceLog(clock=lambda: self.now)
        )

    def apply(self, event: tuple[Any, ...]) -> None:
        """Apply an event: its time, its kind and what belongs to the kind."""
        at, kind, *details = event
        self.now = 100.0 + at
        match kind, details:
            case "start", [run, executor, fields]:
                record = RunRecord(
                    task=TASK,
                    run=run,
                    executor=executor,
                    duration_s=1.0,
                    members=1,
                    accelerators=1,
                    started_at=self.now,
                    agent="agent-0",
                    **{"ordered_at": self.now, **fields},
                )
                self.run_by_number[run] = record
                self.recorder.record_start(record)
            case "end", [run, how]:
                self.recorder.record_end(self.run_by_number[run], how)
            case "crash", [run]:
                self.recorder.record_crash_by(self.run_by_number[run])
                self.recorder.record_end(self.run_by_number[run], "crashed")
            case "seen", [run]:
                self.recorder.record_acknowledged_end(self.run_by_number[run])
            case "cancel", []:
                self.recorder.record_cancellation("job")
            case "disturb", [name, until]:
                with self.recorder.disturbances.lasting(name):
                    self.now = 100.0 + until
            case "evacuate", [is_evacuated]:
                self.recorder.record_evacuation("a", is_evacuated=is_evacuated)
            case "check", []:
                self.recorder.check_runs_of_cancelled_jobs(ENTRIES)


LATE = {"is_late": True}


def crashes(count: int) -> list[tuple[Any, ...]]:
    """Return the starts of a task that crashes each executor at once, one in each second."""
    events: list[tuple[Any, ...]] = []
    for run in range(1, count + 1):
        events += [(run, "start", run, "a", {}), (run, "crash", run)]
    return events


DRAINING = {"draining_since": 100.0}


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        pytest.param(
            [(0, "start", 1, "a", {}), (1, "start", 2, "b", {})],
            "two runs at once",
            id="two-executors",
        ),
        pytest.param(
            [(0, "start", 1, "a", {}), (1, "start", 2, "a", {})],
            "two runs at once",
            id="same-executor",
        ),
        pytest.param(
            [(0, "start", 1, "a", {}), (1, "end", 1, "crashed"), (1, "start", 2, "a", {})],
            "",
            id="next-life-after-a-crash",
        ),
        pytest.param(
            [
                (0, "start", 1, "a", {}),
                (1, "end", 1, "crashed"),
                (2, "start", 2, "a", {}),
                (3, "start", 3, "a", {}),
            ],
            "two runs at once",
            id="two-runs-in-the-next-life",
        ),
        pytest.param(
            [
                (0, "start", 1, "a", {}),
                (1, "end", 1, "done"),
                (2, "seen", 1),
                (3, "start", 2, "b", {}),
            ],
            "started after its end",
            id="start-after-an-acknowledged-end",
        ),
        pytest.param(
            [
                (0, "start", 1, "a", {}),
                (1, "end", 1, "done"),
                (2, "start", 2, "b", {}),
                (3, "seen", 1),
            ],
            "started after its end",
            id="start-before-the-acknowledgement",
        ),
        pytest.param(
            [(0, "start", 1, "a", {}), (1, "end", 1, "done"), (2, "start", 2, "b", {})],
            "",
            id="end-never-acknowledged",
        ),
        pytest.param(
            [
                (0, "start", 1, "a", {}),
                (1, "end", 1, "failed"),
                (2, "seen", 1),
                (3, "start", 2, "b", {}),
            ],
            "",
            id="start-after-a-failure",
        ),
        pytest.param(
            [(0, "cancel"), (3.1, "start", 1, "a", {})],
            "cancelled job started",
            id="start-after-cancelling",
        ),
        pytest.param([(0, "cancel"), (2.9, "start", 1, "a", {})], "", id="start-in-time"),
        pytest.param([(0, "cancel"), (3.1, "start", 1, "a", LATE)], "", id="start-executed-late"),
        pytest.param(
            [(0, "cancel"), (4.0, "start", 1, "a", {"ordered_at": 102.5})],
            "",
            id="start-ordered-in-time",
        ),
        pytest.param(
            [(0, "disturb", "agent-0", 0.5), (0.6, "cancel"), (4.4, "start", 1, "a", {})],
            "",
            id="agent-disturbed-before-the-start",
        ),
        pytest.param(
            [(0, "disturb", STORE, 0.5), (0.6, "cancel"), (4.4, "start", 1, "a", {})],
            "",
            id="store-disturbed-before-the-start",
        ),
        pytest.param(
            [(0, "disturb", STORE, 0.5), (0.6, "cancel"), (4.6, "start", 1, "a", {})],
            "cancelled job started",
            id="start-after-a-disturbance",
        ),
        pytest.param(
            [(0, "disturb", "entry-0", 3.0), (0.6, "cancel"), (4.4, "start", 1, "a", {})],
            "cancelled job started",
            id="another-program-disturbed",
        ),
        pytest.param(
            [(0, "start", 1, "a", {}), (1, "cancel"), (4.5, "check")],
            "cancelled job runs on",
            id="cancelled-task-runs-on",
        ),
        pytest.param(
            [(0, "start", 1, "a", {}), (1, "cancel"), (4.3, "end", 1, "stopped"), (9, "check")],
            "",
            id="cancelled-task-stops-in-time",
        ),
        pytest.param(
            [(0, "start", 1, "a", {}), (1, "cancel"), (4.5, "end", 1, "done"), (9, "check")],
            "cancelled job runs on",
            id="cancelled-task-ends-too-late",
        ),
        pytest.param(
            [
                (0, "start", 1, "a", {}),
                (1, "cancel"),
                (2, "disturb", STORE, 3.0),
                (10.3, "check"),
            ],
            "",
            id="calm-stretch-too-short",
        ),
        pytest.param(
            [
                (0, "start", 1, "a", {}),
                (1, "cancel"),
                (2, "disturb", STORE, 3.0),
                (10.5, "check"),
            ],
            "cancelled job runs on",
            id="cancelled-task-runs-on-after-a-disturbance",
        ),
        pytest.param(
            [
                (0, "start", 1, "a", {}),
                (1, "cancel"),
                (5, "disturb", "entry-0", 6.0),
                (9, "check"),
            ],
            "cancelled job runs on",
            id="cancelled-task-runs-on-before-a-disturbance",
        ),
        pytest.param(
            [(0, "cancel"), (1, "start", 1, "a", LATE), (8.3, "check")],
            "",
            id="late-start-has-contact-time",
        ),
        pytest.param(
            [(0, "cancel"), (1, "start", 1, "a", LATE), (8.5, "check")],
            "cancelled job runs on",
            id="late-start-runs-on",
        ),
        pytest.param(
            [(2.6, "start", 1, "a", DRAINING)],
            "started on a draining executor",
            id="start-on-a-draining-executor",
        ),
        pytest.param([(2.4, "start", 1, "a", DRAINING)], "", id="start-soon-after-drain"),
        pytest.param(
            [(-1, "disturb", "agent-0", -0.5), (2.6, "start", 1, "a", DRAINING)],
            "",
            id="agent-disturbed-before-the-drain",
        ),
        pytest.param(
            [(0, "evacuate", True), (1, "evacuate", True), (2.6, "start", 1, "a", {})],
            "started in an evacuated zone",
            id="start-in-an-evacuated-zone",
        ),
        pytest.param(
            [(0, "evacuate", True), (2.4, "start", 1, "a", {})],
            "",
            id="start-soon-after-evacuation",
        ),
        pytest.param(
            [(0, "evacuate", True), (9, "start", 1, "b", {})], "", id="start-in-another-zone"
        ),
        pytest.param(
            [(0, "evacuate", True), (4, "evacuate", False), (9, "start", 1, "a", {})],
            "",
            id="start-in-a-zone-taken-back",
        ),
        pytest.param(
            [(0, "evacuate", True), (3, "disturb", "agent-0", 5.0), (6, "start", 1, "a", {})],
            "",
            id="start-in-an-evacuated-zone-while-disturbed",
        ),
        pytest.param(
            [(0, "evacuate", True), (6, "start", 1, "a", LATE)],
            "",
            id="late-start-in-an-evacuated-zone",
        ),
        pytest.param(crashes(6), "job.0.0.0 was started again after 3 crashes", id="harmful"),
        pytest.param(crashes(5), "", id="harmful-and-given-up"),
        pytest.param([(0, "disturb", STORE, 0.5), *crashes(6)], "", id="harmful-while-disturbed"),
        pytest.param(
            [(-4, "disturb", STORE, -3.5), *crashes(6)],
            "job.0.0.0 was started again after 3 crashes",
            id="harmful-after-a-disturbance",
        ),
        pytest.param([(2.6, "start", 1, "a", {**DRAINING, **LATE})], "", id="late-start-on-drain"),
    ],
)
def test_the_judge_reports_a_planted_fault_and_no_allowed_case(
    events: list[tuple[Any, ...]], expected: str
) -> None:
    """Guards against a soak that misses a broken rule, or reports what the rules allow."""
    replay = Replay()
    for event in events:
        replay.apply(event)
    texts = [text.partition(" s: ")[2] for text in replay.recorder.violations]
    assert [text.partition(":")[0] for text in texts] == ([expected] if expected else [])


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([(0, "start", 1, "a", {})], False),
        ([(0, "start", 1, "a", {}), (1, "end", 1, "crashed")], False),
        (
            [
                (0, "start", 1, "a", {}),
                (1, "end", 1, "lapsed"),
                (2, "start", 2, "b", {}),
                (3, "end", 2, "crashed"),
            ],
            False,
        ),
        (
            [
                (0, "start", 1, "a", {}),
                (1, "end", 1, "crashed"),
                (2, "start", 2, "b", {}),
                (3, "end", 2, "crashed"),
            ],
            True,
        ),
    ],
    ids=["none", "one-crash", "one-crash-and-a-lapse", "two-crashes"],
)
def test_a_job_may_be_given_up_after_two_crashes_under_one_task(
    events: list[tuple[Any, ...]], expected: bool
) -> None:
    """Guards against a judge that is stricter, or less strict, than the news of the pages."""
    replay = Replay()
    for event in events:
        replay.apply(event)
    assert replay.recorder.may_be_given_up("job") is expected
