"""Verdict on a task under which executors have crashed.

A harmful task crashes each executor that starts it, so each of its crashes follows a confirmed
start, and nothing is heard of that executor later. Machines also fail under tasks that do no harm,
again and again in a series of failures. Such a job must not be lost, so few crashes are enough only
if each has all the evidence; crashes with less of it count up to a limit.
"""

from collections.abc import Callable, Collection

from chicorycrank.batch.crash_records import (
    crashes_by_member,
    has_followed_start,
    may_have_followed_start,
)
from chicorycrank.model.batch import Crash, Unit

# Crashes attributed to a task, each just after its start, after which it is given up.
MAX_ATTRIBUTED_CRASHES = 3
# Crashes under one task that its starts may have caused, whatever else explains them, or that are
# attributed to it, after which it is given up.
MAX_CRASHES = 5


def find_guilty_member(
    unit: Unit, is_attributed: Callable[[Crash], bool]
) -> tuple[int, Collection[Crash]] | None:
    """Return the index of a task that is to be given up and the crashes that speak against it.

    :param is_attributed: returns whether nothing but the job of the unit explains a crash
    """
    for member, crashes in crashes_by_member(unit).items():
        attributed = [crash for crash in crashes if is_attributed(crash)]
        certain = [crash for crash in attributed if has_followed_start(crash, member)]
        if len(certain) >= MAX_ATTRIBUTED_CRASHES:
            return member, certain
        possible = [
            crash for crash in crashes if crash in attributed or may_have_followed_start(crash)
        ]
        if len(possible) >= MAX_CRASHES:
            return member, possible
    return None


def describe_evidence(crash: Crash, *, is_attributed: bool, is_proven: bool) -> str:
    """Return the evidence that a crash gives against a task, as text for a log line."""
    return (
        f"{crash.worker}/{crash.age_ms}ms/lived={crash.survived_ms}ms"
        f"/started={'+'.join(map(str, crash.started))}/outage={crash.is_outage}"
        f"/explained={crash.is_explained}/proven={is_proven}/attributed={is_attributed}"
    )
