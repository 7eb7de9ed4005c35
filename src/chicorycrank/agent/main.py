"""Command line of the agent (``chicorycrank-agent``)."""

import asyncio
import signal
import sys
import uuid
from pathlib import Path

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.adapters.http_targets import HttpExecutor, HttpWorker
from chicorycrank.adapters.logs import set_up_logs
from chicorycrank.agent.executor import ExecutorManager
from chicorycrank.agent.process import Agent
from chicorycrank.agent.worker import WorkerManager
from chicorycrank.model.ids import Incarnation
from chicorycrank.settings.agent import AgentSettings, check_agent
from chicorycrank.settings.reader import SettingsError, read_settings

EXIT_USAGE = 2
USAGE = """usage: chicorycrank-agent --settings FILE

The agent beside an executor or a worker. FILE is JSON with comments."""


def main() -> None:
    """Parse the command line and run the agent until a signal arrives."""
    path = _parse_arguments(sys.argv[1:])
    try:
        settings = read_settings(path, AgentSettings, check_agent)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    set_up_logs(settings.log_level.value, settings.region)
    asyncio.run(_run(settings))


def _parse_arguments(arguments: list[str]) -> Path:
    # argparse would take 0.4 MB of the agent's memory limit of 32 MB.
    match arguments:
        case ["-h" | "--help"]:
            print(USAGE)
            sys.exit()
        case ["--settings", path]:
            return Path(path)
        case [argument] if argument.startswith("--settings="):
            return Path(argument.partition("=")[2])
    print(USAGE, file=sys.stderr)
    sys.exit(EXIT_USAGE)


async def _run(settings: AgentSettings) -> None:
    agent = build_agent(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, agent.stop)
    await agent.run()


def build_agent(settings: AgentSettings) -> Agent:
    """Build an agent that uses the system clock and the target's HTTP interface."""
    clock = SystemClock()
    incarnation = Incarnation(uuid.uuid4().hex)
    executor = None
    worker = None
    if settings.executor is not None:
        http_executor = HttpExecutor(settings.target_url, slots=settings.executor.slots)
        executor = ExecutorManager(settings.executor, http_executor, clock, incarnation)
    if settings.worker is not None:
        http_worker = HttpWorker(settings.target_url)
        worker = WorkerManager(settings.target, settings.worker, http_worker, clock)
    return Agent(settings, clock, incarnation, executor=executor, worker=worker)


if __name__ == "__main__":
    main()
