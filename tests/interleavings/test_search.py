"""The search over orders of events: determinism, the present code, and planted faults."""

import pytest

from chicorycrank.batch.executor_clock import ExecutorClock
from chicorycrank.batch.presence import Presence
from chicorycrank_standin.interleavings.choices import (
    GivenChoices,
    Kind,
    format_choices,
    parse_choices,
)
from chicorycrank_standin.interleavings.search import (
    draw_schedule,
    format_steps,
    run_schedule,
    shrink,
    workload_seed_of,
)

SEED = 29
SCHEDULES = 150
MAX_SHRUNK_CHOICES = 6


# Workload seed and choices of schedules that have broken a rule, as the search prints them.
KEPT_SCHEDULES = {
    "refused-while-a-run-is-done": (
        2000124,
        [
            "entry-0#1/leader.1 27 CRASH 4 3.496",
            "w-0#1/RunningTime.keep.1 92 CRASH 4 3.34",
            "entry-0#1/leader.1 130 CRASH 5 0.809",
            "w-0#1/RunningTime.keep.1 143 REFUSE 7 6.188",
        ],
    ),
    "refused-after-a-crash-elsewhere": (
        32000885,
        [
            "entry-0#1/leader.1 54 RESTART 0 0.31",
            "w-1#1/RunningTime.keep.1 96 RESTART 0 0.1",
            "entry-0#3/replica-o.1 18 CRASH 0 0.362",
            "w-0#1/RunningTime.keep.1 162 REFUSE 5 5.523",
        ],
    ),
    "started-into-a-cut-after-a-crash-elsewhere": (
        3502010939,
        [
            "entry-0#1/call.1 2 DELAY 7 0.065",
            "entry-1#1/replica-o.1 73 CRASH 7 1.971",
            "w-0#1/ExecutorPoller.run.1 84 REBORN 6 8.274",
        ],
    ),
    "started-by-the-next-life": (
        3602013137,
        [
            "entry-1#1/replica-o.1 21 RENEWED 2 1.454",
            "w-0#1/order.2 7 REBORN 2 1.784",
            "w-0#1/Presence.keep.1 84 REBORN 0 7.392",
        ],
    ),
    "started-by-the-next-life-after-a-lapse": (
        3505011862,
        [
            "entry-0#1/replica-report.1 1 LAPSE 6 2.925",
            "w-0#1/BatchAgent._report_forever.1 32 REBORN 2 1.867",
            "w-1#1/RunningTime.keep.1 113 REBORN 7 2.502",
            "w-0#1/RunningTime.keep.1 144 LAPSE 7 2.46",
            "entry-0#1/leader.1 101 REBORN 4 1.003",
        ],
    ),
    "crashed-while-the-agent-was-frozen": (
        3505012371,
        [
            "entry-1#1/replica-o.1 22 REBORN 1 1.241",
            "entry-0#1/leader.1 70 RENEWED 3 12.202",
            "w-0#1/ExecutorPoller.run.1 21 REBORN 6 1.082",
            "w-0#1/ExecutorPoller.run.1 41 RENEWED 6 14.073",
            "entry-0#1/leader-lease.1 36 REBORN 6 5.536",
        ],
    ),
}


@pytest.mark.parametrize("number", range(5))
def test_a_seed_gives_the_same_run_each_time(number: int) -> None:
    """Guards against a failing schedule that can't be repeated."""
    first = draw_schedule(SEED, number, is_traced=True)
    assert first.trace
    assert draw_schedule(SEED, number, is_traced=True) == first


def test_the_drawn_choices_of_a_schedule_repeat_it() -> None:
    """Guards against a shrunk schedule that starts from another run."""
    drawn = draw_schedule(SEED, 1, is_traced=True)
    assert drawn.choices
    choices = parse_choices(format_choices(drawn.choices))
    given = run_schedule(workload_seed_of(SEED, 1), GivenChoices(choices), is_traced=True)
    assert given == drawn


@pytest.mark.parametrize("has_later_kinds", [False, True])
def test_no_schedule_breaks_a_rule(has_later_kinds: bool) -> None:
    """Guards against orders of events that break a promise."""
    broken = {
        n: draw_schedule(SEED, n, has_later_kinds=has_later_kinds).violations
        for n in range(SCHEDULES)
    }
    assert {n: violations for n, violations in broken.items() if violations} == {}


def test_a_planted_fault_is_found_and_shrunk(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a search that sees nothing: one failed call counts as the end of all runs."""
    monkeypatch.setattr(ExecutorClock, "record_failed_call", lambda *_, **__: True)
    results = ((n, draw_schedule(SEED, n)) for n in range(SCHEDULES))
    number, found = next((n, result) for n, result in results if result.violations)
    shrunk = shrink(workload_seed_of(SEED, number), found.choices, found.violations)
    assert shrunk.violations
    assert len(shrunk.choices) <= min(MAX_SHRUNK_CHOICES, len(found.choices))
    assert "STARTS" in format_steps(shrunk)


def keep_renewing(presence: Presence) -> None:
    """Renew the lease of a presence without a look at the answer."""
    sent_at = presence._clock.monotonic()
    if not presence._lease:
        presence._create_key()
    else:
        presence._store.renew(presence._lease)
    presence.confirmed_at = sent_at


def test_a_planted_fault_is_found_with_the_later_kinds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against later kinds that strike nothing: a lapsed presence is not created again."""
    monkeypatch.setattr(Presence, "renew", keep_renewing)
    results = (draw_schedule(SEED, n, has_later_kinds=True) for n in range(SCHEDULES))
    assert any(
        result.violations and Kind.LAPSE in {choice.kind for choice in result.choices.values()}
        for result in results
    )


@pytest.mark.parametrize("name", KEPT_SCHEDULES)
def test_a_kept_schedule_breaks_no_rule(name: str) -> None:
    """Guards against the return of a fault that the search has found."""
    workload_seed, lines = KEPT_SCHEDULES[name]
    assert run_schedule(workload_seed, GivenChoices(parse_choices(lines))).violations == ()
