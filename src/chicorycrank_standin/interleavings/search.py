"""Runs schedules, shrinks a failing one and formats its steps."""

import logging
import random
import re
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import islice

from chicorycrank.batch.threads import provided_by
from chicorycrank_standin.interleavings.choices import Choices, DrawnChoices, GivenChoices
from chicorycrank_standin.interleavings.scheduler import START_S, EndlessScheduleError, Scheduler
from chicorycrank_standin.interleavings.world import END_LIMIT_S, World

MAX_SHRINK_RUNS = 300
PRODUCT_LOGGER = logging.getLogger("absl")


@dataclass(frozen=True, kw_only=True)
class Result:
    """What a schedule has shown.

    :param choices: choices that were made
    :param duration_s: virtual time of the schedule in seconds
    :param trace: all points passed; empty unless asked for
    :param steps: time, thread and text of each step; empty unless asked for
    """

    choices: Choices
    violations: tuple[str, ...]
    points: int
    duration_s: float
    trace: tuple[str, ...] = ()
    steps: tuple[tuple[float, str, str], ...] = ()


class _FailureHandler(logging.Handler):
    """Reports the failures that a thread of the product logs as violations."""

    def __init__(self, report: Callable[[str], None], scheduler: Scheduler) -> None:
        super().__init__(logging.ERROR)
        self._report = report
        self._scheduler = scheduler

    def emit(self, record: logging.LogRecord) -> None:
        """Report a failure."""
        error = record.exc_info[1] if record.exc_info else None
        self._report(f"thread failed: {record.getMessage()} {type(error).__name__}: {error}")


@contextmanager
def _failures_reported(report: Callable[[str], None], scheduler: Scheduler) -> Iterator[None]:
    handler = _FailureHandler(report, scheduler)
    level, propagates = PRODUCT_LOGGER.level, PRODUCT_LOGGER.propagate
    PRODUCT_LOGGER.setLevel(logging.ERROR)
    PRODUCT_LOGGER.propagate = False
    PRODUCT_LOGGER.addHandler(handler)
    try:
        yield
    finally:
        PRODUCT_LOGGER.removeHandler(handler)
        PRODUCT_LOGGER.setLevel(level)
        PRODUCT_LOGGER.propagate = propagates


def run_schedule(
    workload_seed: int,
    choices: DrawnChoices | GivenChoices,
    *,
    is_traced: bool = False,
) -> Result:
    """Run one schedule.

    :param is_traced: keep the trace and the steps
    """
    world = World(workload_seed, choices)
    scheduler = world.scheduler
    if is_traced:
        scheduler.trace, scheduler.steps = [], []
    report = world.recorder.report_violation
    with provided_by(world.threads), _failures_reported(report, scheduler):
        world.start()
        try:
            while scheduler.now_s < world.calm_from + END_LIMIT_S and not world.is_over():
                scheduler.run(world.calm_from + END_LIMIT_S, world.is_over)
            world.judge_end()
        except EndlessScheduleError:
            report("the schedule does not end")
        finally:
            for process in scheduler.processes:
                if not process.is_dead:
                    scheduler.kill(process)
    return Result(
        choices=dict(choices.made),
        violations=tuple(world.recorder.violations),
        points=scheduler.points,
        duration_s=scheduler.now_s - START_S,
        trace=tuple(scheduler.trace or ()),
        steps=tuple(scheduler.steps or ()),
    )


def workload_seed_of(seed: int, number: int) -> int:
    """Return the seed of the workload of a schedule."""
    return seed * 1_000_003 + number


def draw_schedule(
    seed: int, number: int, *, has_later_kinds: bool = False, is_traced: bool = False
) -> Result:
    """Run a schedule of a seed, whose choices are drawn during the run.

    :param has_later_kinds: the kinds that came later are played, too
    """
    later_rng = random.Random(f"later choices {seed} {number}") if has_later_kinds else None
    drawn = DrawnChoices(random.Random(f"choices {seed} {number}"), later_rng)
    return run_schedule(workload_seed_of(seed, number), drawn, is_traced=is_traced)


def violations_of(job: tuple[int, int, bool]) -> tuple[int, tuple[str, ...]]:
    """Return the number of a schedule and its violations.

    :param job: seed, number of the schedule, and whether the kinds that came later are played
    """
    seed, number, has_later_kinds = job
    return number, draw_schedule(seed, number, has_later_kinds=has_later_kinds).violations


def kind_of_violation(text: str) -> str:
    """Return the part of a violation that names the rule."""
    return re.sub(r"[0-9a-f]{16}\S*", "ID", re.sub(r"^[\d.]+ s: ", "", text)).partition(":")[0]


def shrink(workload_seed: int, choices: Choices, violations: Sequence[str]) -> Result:
    """Delete choices, in chunks of falling size, while a violation of the first rule remains."""
    rule = kind_of_violation(violations[0])

    def fails(result: Result) -> bool:
        return rule in map(kind_of_violation, result.violations)

    kept = list(choices.items())
    chunk = max(1, len(kept) // 2)
    runs = 0
    while kept and runs < MAX_SHRINK_RUNS:
        was_shorter = False
        start = 0
        while start < len(kept) and runs < MAX_SHRINK_RUNS:
            shorter = kept[:start] + kept[start + chunk :]
            runs += 1
            if fails(run_schedule(workload_seed, GivenChoices(dict(shorter)))):
                kept, was_shorter = shorter, True
            else:
                start += chunk
        if chunk > 1:
            chunk = (chunk + 1) // 2
        elif not was_shorter:
            break
    return run_schedule(workload_seed, GivenChoices(dict(kept)), is_traced=True)


def format_steps(result: Result, limit: int = 400) -> str:
    """Return the table of the steps of a schedule."""
    lines = [f"{'time':>8}  {'thread':<28}  step"]
    lines += [
        f"{time_s:8.3f}  {thread:<28}  {text}"
        for time_s, thread, text in islice(result.steps, limit)
    ]
    if len(result.steps) > limit:
        lines.append(f"... {len(result.steps) - limit} more steps")
    return "\n".join(lines)
