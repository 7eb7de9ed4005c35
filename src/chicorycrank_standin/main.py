"""Command ``chicorycrank-standin``, which runs a stand-in for one service."""

import argparse
import os
import signal
import threading
from collections.abc import Callable
from types import FrameType

from chicorycrank_standin.executor import ExecutorStandIn
from chicorycrank_standin.http import Handler, serve_routes
from chicorycrank_standin.store import StoreStandIn
from chicorycrank_standin.worker import WorkerStandIn


def main() -> None:
    """Parse the command line and serve until SIGTERM or SIGINT."""
    arguments = _parse_arguments()
    server = serve_routes(arguments.host, arguments.port, _create_routes(arguments))

    def stop(_signal: int, _frame: FrameType | None) -> None:
        os._exit(0)  # a graceful stop would wait for requests that hang by fault injection

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    server.start()


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="chicorycrank-standin", description=__doc__)
    parser.add_argument("kind", choices=["store", "executor", "worker"])
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", default="target")
    parser.add_argument("--service-time-s", type=float, default=0.05)
    parser.add_argument("--accelerators", type=int, default=8)
    parser.add_argument(
        "--speed",
        type=float,
        default=1.0,
        help="seconds of work that a task at full speed does per second",
    )
    return parser.parse_args()


def _create_routes(arguments: argparse.Namespace) -> dict[str, Handler]:
    if arguments.kind == "store":
        store = StoreStandIn()
        _start_daemon_thread(store.expire_leases_forever)
        return store.routes()
    if arguments.kind == "executor":
        return ExecutorStandIn(arguments.id, service_time_s=arguments.service_time_s).routes()
    worker = WorkerStandIn(arguments.id, accelerators=arguments.accelerators, speed=arguments.speed)
    _start_daemon_thread(worker.run_forever)
    return worker.routes()


def _start_daemon_thread(function: Callable[[], None]) -> None:
    threading.Thread(target=function, daemon=True).start()


if __name__ == "__main__":
    main()
