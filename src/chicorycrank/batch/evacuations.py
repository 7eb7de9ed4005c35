"""Evacuated zones, as the leader takes them over from its view of the store.

Load that it answers: an operator evacuates a zone and takes it back while jobs are waiting.
"""

import logging
from collections.abc import Callable, Collection

from chicorycrank.batch.cold_workers import REOPENING_S, ColdBounds, run_limits
from chicorycrank.batch.evacuation_checks import ZONE_EVACUATED
from chicorycrank.batch.planner_state import PlannerState
from chicorycrank.batch.view import SharedView
from chicorycrank.model.ids import ZoneId
from chicorycrank.policy.run_limits import limit_runs
from chicorycrank.ports.transactions import MISSING, Revision, StoreUnavailableError

# All watched keys are read at most this often if agents know of evacuations that the view lacks.
REFRESH_INTERVAL_S = 1.0

logger = logging.getLogger("absl")


class Evacuations:
    """Evacuated zones of one term.

    :param bounds: limits of cold workers; None for no limit
    :param refresh: reads all watched keys into the view
    """

    def __init__(self, bounds: ColdBounds | None, refresh: Callable[[], None]) -> None:
        self._bounds = bounds
        self._refresh = refresh
        self._refreshed_at = float("-inf")
        # Rejections in reports up to this revision are known to the view, or are over.
        self._known_revision = MISSING
        self._reopened_at_by_zone: dict[ZoneId, float] = {}

    def apply(self, planner: PlannerState, zones: Collection[ZoneId]) -> None:
        """Close the workers of the evacuated zones, and open those of the others."""
        before, after = planner.workers.evacuated_zones, frozenset(zones)
        if before == after:
            return
        for zone in sorted(after - before):
            self._reopened_at_by_zone.pop(zone, None)
            _log_change("zone_evacuated", planner, zone)
        for zone in sorted(before - after):
            self._reopened_at_by_zone[zone] = planner.now_s
            _log_change("zone_taken_back", planner, zone)
        planner.workers.evacuated_zones = after

    def learn(self, planner: PlannerState, view: SharedView) -> None:
        """Read the watched keys if an agent has rejected runs for a zone that is not known here.

        The watch has not brought the operator's key then, and may have had no changes for a while.
        """
        rejections = _rejections(planner, self._known_revision)
        zones = rejections.keys() - planner.workers.evacuated_zones
        if not zones or planner.now_s - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = planner.now_s
        logger.warning("event=evacuation_not_heard zones=%s", ",".join(sorted(zones)))
        try:
            self._refresh()
        except StoreUnavailableError as error:
            logger.warning("event=records_read_failed error=%s", error)
            return
        self._known_revision = max(rejections.values())
        with view.lock:
            self.apply(planner, view.evacuated_zones)

    def limit_runs(self, planner: PlannerState) -> None:
        """Limit the runs on cold workers and on those of zones that were just taken back."""
        if self._bounds is None:
            return
        self._reopened_at_by_zone = {
            zone: reopened_at
            for zone, reopened_at in self._reopened_at_by_zone.items()
            if planner.now_s - reopened_at < REOPENING_S
        }
        limits = run_limits(planner, self._bounds, self._reopened_at_by_zone)
        limit_runs(planner.cell, limits)


def _rejections(planner: PlannerState, after: Revision) -> dict[ZoneId, Revision]:
    """Return the revision of the last report with a rejected run, by evacuated zone.

    :param after: revision of the last report that is left out
    """
    revision_by_zone: dict[ZoneId, Revision] = {}
    for state in planner.workers.by_id.values():
        if state.revision > after and any(e.detail == ZONE_EVACUATED for e in state.report.ends):
            zone = ZoneId(state.report.zone)
            revision_by_zone[zone] = max(state.revision, revision_by_zone.get(zone, MISSING))
    return revision_by_zone


def _log_change(event: str, planner: PlannerState, zone: ZoneId) -> None:
    workers = [
        worker for worker, state in planner.workers.by_id.items() if state.report.zone == zone
    ]
    logger.info(
        "event=%s zone=%s workers=%d runs=%d",
        event,
        zone,
        len(workers),
        sum(len(planner.members_by_worker.get(worker, ())) for worker in workers),
    )
