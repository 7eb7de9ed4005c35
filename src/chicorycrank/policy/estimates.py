"""Correction of declared run times by the actual run times of a team's earlier jobs."""

from collections import deque
from statistics import median

from chicorycrank.model.ids import TeamId

MAX_CORRECTION_FACTOR = 10.0  # declared run times are wrong by a factor of up to ten
HISTORY_JOBS = 32
MIN_RUN_TIME_S = 1.0


class RunTimeEstimates:
    """Ratios of actual to declared run time by team."""

    def __init__(self) -> None:
        self._ratios_by_team: dict[TeamId, deque[float]] = {}
        self._factor_by_team: dict[TeamId, float] = {}

    def record(self, team: TeamId, declared_s: float, actual_s: float) -> None:
        """Record the declared and the actual run time of a completed job."""
        ratio = max(actual_s, MIN_RUN_TIME_S) / max(declared_s, MIN_RUN_TIME_S)
        ratio = min(max(ratio, 1 / MAX_CORRECTION_FACTOR), MAX_CORRECTION_FACTOR)
        ratios = self._ratios_by_team.setdefault(team, deque(maxlen=HISTORY_JOBS))
        ratios.append(ratio)
        self._factor_by_team[team] = median(ratios)

    def factor(self, team: TeamId) -> float:
        """Return the median ratio of a team's recent jobs, or 1 if there are none."""
        return self._factor_by_team.get(team, 1.0)

    def expected_run_time_s(self, team: TeamId, declared_s: float) -> float:
        """Return the expected run time of a job in seconds."""
        return max(declared_s, MIN_RUN_TIME_S) * self._factor_by_team.get(team, 1.0)
