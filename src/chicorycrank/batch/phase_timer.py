"""Durations of the phases of a plan of the leader."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from chicorycrank.batch.metrics import PLAN_SECONDS
from chicorycrank.ports.clock import Clock

SLOW_PHASE_S = 1.0

logger = logging.getLogger("absl")


@contextmanager
def timed_phase(clock: Clock, name: str, active_jobs: int) -> Iterator[None]:
    """Measure a phase of a plan; log it if it takes long, also if it fails."""
    started_s = clock.monotonic()
    try:
        yield
    finally:
        duration_s = clock.monotonic() - started_s
        PLAN_SECONDS.labels(name).observe(duration_s)
        if duration_s > SLOW_PHASE_S:
            logger.warning(
                "event=plan_slow phase=%s duration_s=%.1f active_jobs=%d",
                name,
                duration_s,
                active_jobs,
            )
