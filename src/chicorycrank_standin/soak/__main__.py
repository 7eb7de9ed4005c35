"""Runs soak tests, for example ``python -m chicorycrank_standin.soak --seed 1 --count 10``."""

import argparse
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from chicorycrank_standin.soak.deployment import AGENT_COUNT
from chicorycrank_standin.soak.session import SoakResult, run_soak

FAULTS_DURATION_S = 20.0


def main() -> int:
    """Run the soak tests of the command line; return 1 if an invariant was violated."""
    parser = argparse.ArgumentParser(prog="chicorycrank_standin.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds",
        type=float,
        default=FAULTS_DURATION_S,
        help="time during which faults are injected",
    )
    parser.add_argument("--jobs", type=int, default=1, help="number of concurrent soak tests")
    parser.add_argument(
        "--agents", type=int, default=AGENT_COUNT, help="number of agents in each soak test"
    )
    parser.add_argument("--logs", type=Path, help="folder for settings and logs")
    arguments = parser.parse_args()
    folder = arguments.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    run_seed = partial(_run_seed, arguments.seconds, folder, arguments.agents)
    failed_seeds = 0
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for result in pool.map(run_seed, seeds):
            failed_seeds += bool(result.violations)
            _print_result(result)
    sys.stdout.write(f"{len(seeds)} seeds, {failed_seeds} with violations; logs in {folder}\n")
    return 1 if failed_seeds else 0


def _run_seed(duration_s: float, folder: Path, agents: int, seed: int) -> SoakResult:
    return run_soak(seed, duration_s, folder / str(seed), agents=agents)


def _print_result(result: SoakResult) -> None:
    sys.stdout.write(
        f"seed {result.seed}: {result.jobs} jobs, {result.accepted} accepted,"
        f" {result.starts} starts, {result.faults} faults, {result.crashes} crashes by tasks,"
        f" {len(result.violations)} violations\n"
    )
    for text in result.violations:
        sys.stdout.write(f"  {text}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
