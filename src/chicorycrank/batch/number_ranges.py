"""Sorted ranges of whole numbers, each from its first number to the one after its last."""

from bisect import bisect_right
from math import inf

NumberRanges = list[tuple[int, int]]


def add_number(ranges: NumberRanges, number: int) -> None:
    """Add a number, which joins the ranges beside it."""
    index = bisect_right(ranges, (number, inf))
    start, end = number, number + 1
    first = index
    if index > 0 and ranges[index - 1][1] >= number:
        first -= 1
        start, end = ranges[first][0], max(ranges[first][1], end)
    if index < len(ranges) and ranges[index][0] == end:
        end = ranges[index][1]
        index += 1
    ranges[first:index] = [(start, end)]


def first_missing(ranges: NumberRanges, number: int) -> int:
    """Return the first number from a given one on that no range contains."""
    index = bisect_right(ranges, (number, inf))
    return max(number, ranges[index - 1][1]) if index > 0 else number
