"""Choices of a schedule: what strikes at which point of which thread."""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

# Mean number of points between two choices, one of which applies to a schedule.
MEAN_GAPS = (150, 400, 900, 2000)
KINDS_PER_SCHEDULE = 6
# Share of the choices of a schedule that have the same target, so that faults meet.
FOCUSED_SHARE = 0.6
TARGETS = 8


class Kind(Enum):
    """Kind of a choice."""

    DELAY = "another thread runs first"
    PAUSE = "process pauses"
    RESTART = "process ends and restarts"
    LOSE = "call is lost"
    UNANSWERED = "call is applied, not answered"
    LATE = "call is applied late, not answered"
    SLOW = "answer comes late"
    CRASH = "executor crashes"
    DRAIN = "executor drains and exits"
    REFUSE = "executor refuses connections"
    SUSPEND = "executor and agent freeze"
    FREEZE = "executor freezes"
    EXIT_NOTICE = "exit notice of an earlier life"
    OLD_HEARTBEAT = "heartbeat of an earlier life"
    FOREIGN_HEARTBEAT = "heartbeat of another writer"
    OVERTAKEN = "heartbeat is overtaken"
    SILENCE = "watches fall silent, then history is gone"
    REBORN = "executor restarts behind a cut from its agent"
    RENEWED = "process pauses before the answer to its next renewal"
    LAPSE = "store is silent, and all leases lapse"


# Kinds that only some schedules play. Their draws are separate, so that the schedules of a seed
# without them stay the same.
LATER_KINDS = (Kind.REBORN, Kind.RENEWED, Kind.LAPSE)
FIRST_KINDS = tuple(kind for kind in Kind if kind not in LATER_KINDS)
LATER_KINDS_PER_SCHEDULE = 2

CALL_KINDS = (Kind.LOSE, Kind.UNANSWERED, Kind.LATE, Kind.SLOW)
# Range of the amount in seconds by kind.
AMOUNT_RANGES_S = {
    Kind.DELAY: (0.0, 0.2),
    Kind.PAUSE: (0.3, 25.0),
    Kind.RESTART: (0.1, 2.0),
    Kind.LATE: (0.2, 6.0),
    Kind.SLOW: (0.05, 0.5),
    Kind.CRASH: (0.2, 6.0),
    Kind.DRAIN: (0.5, 4.0),
    Kind.REFUSE: (0.3, 8.0),
    Kind.SUSPEND: (0.5, 25.0),
    Kind.FREEZE: (0.5, 12.0),
    Kind.OVERTAKEN: (0.1, 4.0),
    Kind.SILENCE: (1.0, 8.0),
    Kind.REBORN: (1.0, 10.0),
    Kind.RENEWED: (0.5, 25.0),
    Kind.LAPSE: (0.5, 6.0),
}


class Point(NamedTuple):
    """Point of a thread at which a choice may strike.

    :param number: number of the point within the thread, from 1
    """

    thread: str
    number: int


@dataclass(frozen=True, slots=True)
class Choice:
    """What strikes at a point.

    :param target: number that selects a process or an executor
    :param amount_s: time in seconds
    """

    kind: Kind
    target: int
    amount_s: float

    def __str__(self) -> str:
        return f"{self.kind.name} {self.target} {self.amount_s!r}"


Choices = Mapping[Point, Choice]


class _Draws:
    """Draws of the choices of some kinds; the order of the draws is part of a schedule."""

    def __init__(
        self, rng: random.Random, kinds: Sequence[Kind], count: int, focus: int | None = None
    ) -> None:
        self._rng = rng
        self._mean_gap = rng.choice(MEAN_GAPS)
        self._kinds = rng.sample(kinds, count)
        self.focus = rng.randrange(TARGETS) if focus is None else focus
        self._left = self._draw_gap()

    def _draw_gap(self) -> int:
        return 1 + int(self._rng.expovariate(1 / self._mean_gap))

    def find(self, *, is_call: bool) -> Choice | None:
        """Return what strikes at the next point, or None."""
        self._left -= 1
        if self._left > 0:
            return None
        kinds = [kind for kind in self._kinds if is_call or kind not in CALL_KINDS]
        if not kinds:
            return None
        self._left = self._draw_gap()
        rng = self._rng
        kind = rng.choice(kinds)
        least, most = AMOUNT_RANGES_S.get(kind, (0.0, 0.0))
        # Short times are as likely as long ones.
        amount_s = round(least + (most - least) * rng.random() ** 2, 3)
        target = self.focus if rng.random() < FOCUSED_SHARE else rng.randrange(TARGETS)
        return Choice(kind, target, amount_s)


class DrawnChoices:
    """Choices that generators draw during the run.

    :param later_rng: draws those of :data:`LATER_KINDS`; None to leave them out
    :ivar made: choices so far
    """

    def __init__(self, rng: random.Random, later_rng: random.Random | None = None) -> None:
        first = _Draws(rng, FIRST_KINDS, KINDS_PER_SCHEDULE)
        self._draws = [first]
        if later_rng is not None:
            later = _Draws(later_rng, LATER_KINDS, LATER_KINDS_PER_SCHEDULE, first.focus)
            self._draws.append(later)
        self.made: dict[Point, Choice] = {}

    def find(self, thread: str, number: int, *, is_call: bool) -> Choice | None:
        """Return what strikes at a point, or None."""
        for draws in self._draws:
            choice = draws.find(is_call=is_call)
            if choice is not None:
                self.made[Point(thread, number)] = choice
                return choice
        return None


class GivenChoices:
    """Choices that are known before the run."""

    def __init__(self, choices: Choices) -> None:
        self.made = dict(choices)

    def find(self, thread: str, number: int, *, is_call: bool) -> Choice | None:
        """Return what strikes at a point, or None; a call's choice needs a call."""
        choice = self.made.get(Point(thread, number))
        return choice if choice and (is_call or choice.kind not in CALL_KINDS) else None


def format_choices(choices: Choices) -> list[str]:
    """Return one line for each choice."""
    return [f"{point.thread} {point.number} {choice}" for point, choice in choices.items()]


def parse_choices(lines: Iterable[str]) -> dict[Point, Choice]:
    """Return the choices of lines that :func:`format_choices` has made."""
    choices = {}
    for line in lines:
        thread, number, kind, target, amount_s = line.split()
        choices[Point(thread, int(number))] = Choice(Kind[kind], int(target), float(amount_s))
    return choices
