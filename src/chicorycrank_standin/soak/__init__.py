"""Randomized soak of the batch programs: real processes, faults from outside, checked promises."""
