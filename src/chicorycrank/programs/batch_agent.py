"""Agent on the users' platform, beside an executor."""

from chicorycrank.adapters.clock import SuspendAwareClock
from chicorycrank.batch.agent import BatchAgent
from chicorycrank.model.ids import TargetId
from chicorycrank.platform.client import PlatformClient
from chicorycrank.platform.control import Control
from chicorycrank.platform.executor import PlatformExecutor
from chicorycrank.platform.server import Server
from chicorycrank.platform.store import PlatformStore
from chicorycrank.programs.process import Process

THREADS = 3


def main() -> None:
    """Run until the platform stops the process."""
    process = Process("agent")
    settings = process.settings
    store = PlatformStore(PlatformClient(settings.store))
    agent = BatchAgent(
        # A machine that replaces another may have its name, but not its address.
        TargetId(f"{settings.name}@{settings.host}"),
        store,
        PlatformExecutor(PlatformClient(settings.executor)),
        SuspendAwareClock(),
        max_lease_s=settings.bounds.max_lease_s,
    )
    server = Server(settings.control, Control(agent).handle, threads=THREADS)
    agent.start()
    server.start()
    process.serve_metrics(agent.dump)
    process.wait(lambda new: store.move_to(new.store))
    # What runs goes on under its lease; the sooner the next agent starts, the better.
    agent.stop()
    process.exit()


if __name__ == "__main__":
    main()
