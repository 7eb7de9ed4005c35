"""Randomized soak tests of the batch programs with injected faults and checked invariants."""
