"""Runs soaks: ``python -m chicorycrank_standin.soak --seed 1 --count 10``."""

import argparse
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from chicorycrank_standin.soak.session import Result, run_soak

LENGTH_S = 20.0


def main() -> int:
    """Run the seeds of the command line; 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="chicorycrank_standin.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=LENGTH_S, help="length of the faults")
    parser.add_argument("--jobs", type=int, default=1, help="soaks at the same time")
    parser.add_argument("--logs", type=Path, help="folder for settings and logs")
    arguments = parser.parse_args()
    folder = arguments.logs or Path(tempfile.mkdtemp(prefix="soak-"))
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    work = partial(_run, arguments.seconds, folder)
    broken = 0
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for result in pool.map(work, seeds):
            broken += bool(result.violations)
            _show(result)
    sys.stdout.write(f"{len(seeds)} seeds, {broken} with a broken promise; logs in {folder}\n")
    return 1 if broken else 0


def _run(length_s: float, folder: Path, seed: int) -> Result:
    return run_soak(seed, length_s, folder / str(seed))


def _show(result: Result) -> None:
    sys.stdout.write(
        f"seed {result.seed}: {result.jobs} jobs, {result.accepted} accepted,"
        f" {result.starts} starts, {result.faults} faults,"
        f" {len(result.violations)} broken\n"
    )
    for text in result.violations:
        sys.stdout.write(f"  {text}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
