"""Operator's keys for the evacuation of availability zones, and the limits of cold executors.

The key of a zone exists while the zone is evacuated; its value has no meaning.
"""

from chicorycrank.batch.cold_workers import ColdBounds
from chicorycrank.platform.settings import Bounds

EVACUATION_PREFIX = "op/evacuate/"


def cold_bounds(bounds: Bounds) -> ColdBounds | None:
    """Return the limits of cold executors; None if the settings have none."""
    if bounds.cold_overage is None and bounds.cold_slack is None:
        return None
    return ColdBounds(overage=bounds.cold_overage or 0.0, slack=bounds.cold_slack or 0.0)
