"""Job order by weighted dominant resource fairness between teams, with aging."""

import heapq
from collections.abc import Iterator, Sequence

from chicorycrank.model.ids import TeamId
from chicorycrank.policy.cell import Cell, QueuedJob

AGING_S = 4 * 3600.0  # a wait of this length outweighs a dominant share of 1, the whole cell


def dominant_share(cell: Cell, team: TeamId) -> float:
    """Return a team's largest share of accelerators, cores or memory, divided by its weight."""
    used = cell.usage_by_team.get(team)
    if used is None:
        return 0.0
    shares = (part / whole for part, whole in zip(used, cell.totals, strict=True) if whole > 0)
    config = cell.teams_by_id.get(team)
    return max(shares, default=0.0) / max(config.weight if config else 1.0, 1e-9)


def waited_s(job: QueuedJob, now_s: float) -> float:
    """Return the time that a job has waited in seconds."""
    return max(0.0, now_s - job.submitted_s)


def response_ratio(cell: Cell, job: QueuedJob, now_s: float) -> float:
    """Return the wait relative to the expected run time.

    Short jobs reach a high ratio quickly. The ratio of a long job grows without bound, so it does
    not starve.
    """
    expected_s = cell.estimates.expected_run_time_s(job.team, job.run_time_s)
    return (waited_s(job, now_s) + expected_s) / expected_s


def within_team_order(cell: Cell, jobs: Sequence[QueuedJob], now_s: float) -> list[QueuedJob]:
    """Return jobs by precedence and descending response ratio; shorter jobs win ties."""
    return sorted(
        jobs,
        key=lambda job: (
            job.precedence,
            -response_ratio(cell, job, now_s),
            job.run_time_s,
            job.submitted_s,
            job.job_id,
        ),
    )


def fair_order(cell: Cell, jobs: Sequence[QueuedJob], now_s: float) -> Iterator[QueuedJob]:
    """Yield jobs by dominant share and wait, in the given order within a team.

    The share of a team is computed again after each of its jobs, so that jobs which the caller
    starts during the iteration count.
    """
    jobs_by_team: dict[TeamId, list[QueuedJob]] = {}
    for job in reversed(jobs):
        jobs_by_team.setdefault(job.team, []).append(job)
    shares = {team: dominant_share(cell, team) for team in jobs_by_team}
    heap = [
        (shares[team] - waited_s(queue[-1], now_s) / AGING_S, team)
        for team, queue in jobs_by_team.items()
    ]
    heapq.heapify(heap)
    while heap:
        _, team = heap[0]
        queue = jobs_by_team[team]
        used = cell.usage_by_team.get(team, [0])[0]
        yield queue.pop()
        if not queue:
            heapq.heappop(heap)
            continue
        if cell.usage_by_team.get(team, [0])[0] != used:
            shares[team] = dominant_share(cell, team)
        wait_s = waited_s(queue[-1], now_s)
        heapq.heapreplace(heap, (shares[team] - wait_s / AGING_S, team))
