"""Batch agent program: runs on the platform next to one executor."""

from chicorycrank.adapters.clock import SuspendAwareClock
from chicorycrank.batch.agent import BatchAgent
from chicorycrank.model.ids import TargetId, ZoneId
from chicorycrank.platform.client import PlatformClient
from chicorycrank.platform.evacuation import EVACUATION_PREFIX
from chicorycrank.platform.executor import PlatformExecutor
from chicorycrank.platform.report_handler import ExecutorReportHandler
from chicorycrank.platform.server import Server
from chicorycrank.platform.store import PlatformStore
from chicorycrank.programs.process import Process

SERVER_THREADS = 3
STOP_MARGIN_S = 1.0


def main() -> None:
    """Run until the platform stops the process."""
    process = Process("agent")
    settings = process.settings
    store = PlatformStore(PlatformClient(settings.store))
    agent = BatchAgent(
        # A replacement machine may have the name of the replaced one, but never its address.
        TargetId(f"{settings.name}@{settings.host}"),
        store,
        PlatformExecutor(PlatformClient(settings.executor)),
        SuspendAwareClock(),
        max_lease_s=settings.bounds.max_lease_s,
        zone=ZoneId(settings.zone),
        evacuation_prefix=EVACUATION_PREFIX,
        evacuate_s=settings.bounds.evacuate_s,
    )
    server = Server(settings.control, ExecutorReportHandler(agent).handle, threads=SERVER_THREADS)
    agent.start()
    server.start()
    process.serve_metrics(agent.dump)
    process.wait_for_stop(lambda new_settings: store.set_address(new_settings.store))
    # Running work continues under its lease. A quick exit lets the next agent start sooner.
    agent.stop(settings.bounds.stop_grace_s - STOP_MARGIN_S)
    process.exit()


if __name__ == "__main__":
    main()
