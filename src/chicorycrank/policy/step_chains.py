"""Chains of dependent steps of a batch job."""

from collections.abc import Sequence

from chicorycrank.model.batch import Step


def longest_chain_s(steps: Sequence[Step], first: int | None = None) -> float:
    """Return the declared run time of the longest chain of steps, in seconds.

    :param first: step at which the chain begins; any step if None
    """
    chain_s = [step.run_time_s for step in steps]
    # A step names only earlier steps, so the chains after it are complete when it is reached.
    for number in reversed(range(len(steps))):
        for earlier in steps[number].after:
            chain_s[earlier] = max(chain_s[earlier], steps[earlier].run_time_s + chain_s[number])
    return max(chain_s, default=0.0) if first is None else chain_s[first]
