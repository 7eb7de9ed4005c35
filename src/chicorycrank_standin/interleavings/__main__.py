"""Command of the search."""

import argparse
import os
import sys
import time
from collections import Counter
from multiprocessing import get_context

from chicorycrank_standin.interleavings.choices import format_choices
from chicorycrank_standin.interleavings.search import (
    draw_schedule,
    format_steps,
    kind_of_violation,
    shrink,
    violations_of,
    workload_seed_of,
)

# The order of sets of texts depends on it, and a schedule must not.
HASH_SEED = "0"
CHUNK = 10  # schedules that a process takes at once


def _print_shrunk(seed: int, number: int, *, has_later_kinds: bool) -> None:
    result = draw_schedule(seed, number, has_later_kinds=has_later_kinds)
    workload_seed = workload_seed_of(seed, number)
    shrunk = shrink(workload_seed, result.choices, result.violations)
    print(f"schedule {number}: {len(result.choices)} choices, shrunk to {len(shrunk.choices)}")
    print(f"workload seed {workload_seed}")
    print("\n".join(format_choices(shrunk.choices)))
    print(format_steps(shrunk))
    print("\n".join(shrunk.violations), flush=True)


def main() -> int:
    """Run schedules; return 1 if one breaks a rule."""
    parser = argparse.ArgumentParser(prog="chicorycrank_standin.interleavings")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--schedules", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0, help="number of the first schedule")
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument("--later-kinds", action="store_true", help="play the later kinds, too")
    parser.add_argument("--stop-at-first", action="store_true")
    parser.add_argument("--shown", type=int, default=1, help="failing schedules shown as tables")
    options = parser.parse_args()
    jobs = [
        (options.seed, options.first + i, options.later_kinds) for i in range(options.schedules)
    ]
    started_at = time.monotonic()
    failed: list[int] = []
    rules: Counter[str] = Counter()
    done = 0
    with get_context("spawn").Pool(options.processes) as pool:
        for number, violations in pool.imap(violations_of, jobs, chunksize=CHUNK):
            done += 1
            if not violations:
                continue
            failed.append(number)
            rules[kind_of_violation(violations[0])] += 1
            print(f"schedule {number}: {violations[0]}", flush=True)
            if options.stop_at_first:
                break
    elapsed_s = time.monotonic() - started_at
    print(f"{done} schedules in {elapsed_s:.1f} s, {done / elapsed_s:.1f} a second")
    print(f"{len(failed)} break a rule: {dict(rules)}", flush=True)
    for number in failed[: options.shown]:
        _print_shrunk(options.seed, number, has_later_kinds=options.later_kinds)
    return 1 if failed else 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        module = "chicorycrank_standin.interleavings"
        os.execv(sys.executable, [sys.executable, "-m", module, *sys.argv[1:]])
    sys.exit(main())
