"""Batch entry program: serves calls, and plans jobs while it has the leader role."""

import logging
import time
from collections.abc import Sequence

from chicorycrank.adapters.clock import SuspendAwareClock
from chicorycrank.batch.admission_gate import AdmissionGate
from chicorycrank.batch.intake import JobIntake
from chicorycrank.batch.keys import WATCHED_PREFIX
from chicorycrank.batch.leader import LeaderElection
from chicorycrank.batch.leases import lost_after_s
from chicorycrank.batch.load_view import LoadView
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.term import TermDependencies
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import BatchConfig
from chicorycrank.model.ids import EntryId
from chicorycrank.platform.advice import PlatformAdvice
from chicorycrank.platform.client import PlatformClient
from chicorycrank.platform.client_handler import ClientRequestHandler
from chicorycrank.platform.documents import CONFIG_STORE_KEY, DocumentError, decode_config
from chicorycrank.platform.evacuation import EVACUATION_PREFIX, cold_bounds
from chicorycrank.platform.machines import PlatformMachines
from chicorycrank.platform.server import Server
from chicorycrank.platform.settings import NodeSettings
from chicorycrank.platform.store import PlatformStore
from chicorycrank.platform.where_handler import answer_where
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import Item
from chicorycrank.programs.process import Process

WATCH_TIMEOUT_S = 1.0
# A key may have been revoked since the replica was last confirmed. This part of the revocation
# limit is left for the time between the check of the key and the end of the call.
KEY_REVOCATION_MARGIN_S = 0.8
# An entry whose replica was confirmed longer ago is not ready for new connections.
READY_MAX_AGE_S = 3.0
SERVER_THREADS = 24
READY_SERVER_THREADS = 2
# The balancer removes an entry after two failed readiness checks, which take one second each.
BALANCER_REMOVAL_S = 2.6
STOP_MARGIN_S = 1.0
DRAIN_POLL_S = 0.05
RETRY_AFTER_S = 1

logger = logging.getLogger("absl")


def main() -> None:
    """Run until the platform stops the process."""
    process = Process("entry")
    settings = process.settings
    clock = SuspendAwareClock()
    store = PlatformStore(PlatformClient(settings.store))
    view = SharedView(CONFIG_STORE_KEY, _decode_config, EVACUATION_PREFIX)
    load_view = LoadView(clock)

    def apply(items: Sequence[Item]) -> None:
        view.apply(items)
        load_view.apply(items)

    replica = Replica(store, WATCHED_PREFIX, apply, clock, wait_s=WATCH_TIMEOUT_S)
    bounds = settings.bounds
    dependencies = TermDependencies(
        advice=PlatformAdvice(PlatformClient(settings.advice or settings.store)),
        machines=PlatformMachines(PlatformClient(settings.machines or settings.store)),
        checkpoint_s=bounds.checkpoint_interval_s,
        worker_lost_timeout_s=lost_after_s(bounds.max_lease_s),
        ended_job_retention_s=bounds.status_retention_s,
        avoids_interference=settings.avoids_interference,
        cold_bounds=cold_bounds(bounds),
        stop_s=bounds.stop_s,
        load_view=load_view if settings.admission_control else None,
    )
    # A replacement machine may have the name of the replaced one, but never its address.
    entry = EntryId(f"{settings.name}@{settings.host}")
    leader = LeaderElection(store, view, replica, clock, entry, dependencies)
    is_stopping = False

    def replica_age_s() -> float:
        return clock.monotonic() - replica.confirmed_at

    intake = JobIntake(store, view, replica, clock)
    admission = None
    if settings.admission_control:
        admission = AdmissionGate(intake, store, view, load_view, replica, clock)
    client_handler = ClientRequestHandler(
        view,
        intake,
        clock,
        is_current=lambda: replica_age_s() < bounds.key_revocation_s - KEY_REVOCATION_MARGIN_S,
        is_ready=lambda: not is_stopping and replica_age_s() < READY_MAX_AGE_S,
        retry_after_s=lambda: RETRY_AFTER_S,
        admission=admission,
    )
    servers = [Server(settings.front, client_handler.handle, threads=SERVER_THREADS)]
    if settings.ready and settings.ready != settings.front:
        servers.append(Server(settings.ready, client_handler.handle, threads=READY_SERVER_THREADS))
    replica.start()
    leader.start()
    for server in servers:
        server.start()
    process.serve_metrics(
        lambda: _dump(view, load_view, leader, replica_age_s()),
        lambda request: answer_where(request, view, leader.explain_placement),
    )
    process.wait_for_stop(lambda new_settings: _apply_store_address(store, new_settings))
    is_stopping = True
    leader.stop()
    _drain(servers, clock, bounds.stop_grace_s)
    process.exit()


def _dump(
    view: SharedView, load_view: LoadView, leader: LeaderElection, replica_age_s: float
) -> dict[str, object]:
    """Return this entry's view of the shared state, for operators."""
    received = load_view.current()
    with view.lock:
        config = view.config.config
        return {
            "config_version": config.version if config else None,
            "confirmed_s_ago": replica_age_s,
            "leader": view.leader.entry if view.leader else None,
            "is_leader": leader.is_leading,
            "interference": leader.found_interference(),
            "load": received.summary if received else None,
            "cancelled": sorted(view.cancelled),
            "evacuated_zones": sorted(view.evacuated_zones),
            "states": dict(view.state_by_id),
        }


def _decode_config(data: bytes) -> BatchConfig | None:
    try:
        return decode_config(data)
    except DocumentError as error:
        logger.warning("event=config_refused error=%s", error)
        return None


def _apply_store_address(store: PlatformStore, settings: NodeSettings) -> None:
    store.set_address(settings.store)


def _drain(servers: list[Server], clock: Clock, grace_s: float) -> None:
    """Serve until the balancer has removed this entry, then wait for the open calls.

    :param grace_s: time after which the platform kills this process
    """
    deadline = clock.monotonic() + grace_s - STOP_MARGIN_S
    for server in servers:
        server.is_closing = True
    time.sleep(min(BALANCER_REMOVAL_S, grace_s / 2))
    while clock.monotonic() < deadline and not all(server.is_idle for server in servers):
        time.sleep(DRAIN_POLL_S)
    logger.info("event=calls_finished idle=%s", all(server.is_idle for server in servers))


if __name__ == "__main__":
    main()
