"""The search over orders of events: determinism, the present code, and planted faults."""

import pytest

from chicorycrank_standin.interleavings.choices import (
    GivenChoices,
    format_choices,
    parse_choices,
)
from chicorycrank_standin.interleavings.search import (
    draw_schedule,
    run_schedule,
    workload_seed_of,
)

SEED = 29
SCHEDULES = 150


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


def test_no_schedule_breaks_a_rule() -> None:
    """Guards against orders of events that break a promise."""
    broken = {n: draw_schedule(SEED, n).violations for n in range(SCHEDULES)}
    assert {n: violations for n, violations in broken.items() if violations} == {}
