"""Aligned pieces of a worker's accelerators, kept as bit masks.

Accelerator ``n`` of a worker is bit ``n``. A piece of size ``s`` starts at a multiple of the
next power of two of ``s``, so that pieces split and merge like buddy blocks.
"""

from functools import lru_cache

PIECE_SIZES = (1, 2, 4, 8, 16)
CACHE_SIZE = 1 << 16


def mask_of(accelerators: tuple[int, ...]) -> int:
    """Return the mask of accelerator numbers."""
    mask = 0
    for number in accelerators:
        mask |= 1 << number
    return mask


@lru_cache(maxsize=CACHE_SIZE)
def numbers_of(mask: int) -> tuple[int, ...]:
    """Return the accelerator numbers of a mask in ascending order."""
    return tuple(number for number in range(mask.bit_length()) if mask >> number & 1)


@lru_cache(maxsize=CACHE_SIZE)
def piece_class(size: int) -> int:
    """Return the largest piece size that every block of this size contains."""
    return max(piece for piece in PIECE_SIZES if piece <= max(1, size))


@lru_cache(maxsize=CACHE_SIZE)
def blocks(mask: int, size: int) -> tuple[int, ...]:
    """Return the disjoint aligned blocks of a size inside a mask."""
    step = 1 << (size - 1).bit_length()
    block = (1 << size) - 1
    starts = range(0, mask.bit_length(), step)
    return tuple(block << start for start in starts if mask >> start & block == block)


@lru_cache(maxsize=CACHE_SIZE)
def piece_counts(mask: int) -> tuple[int, ...]:
    """Return how many disjoint pieces of each of ``PIECE_SIZES`` a mask holds."""
    return tuple(len(blocks(mask, size)) for size in PIECE_SIZES)


@lru_cache(maxsize=CACHE_SIZE)
def mask_value(mask: int) -> int:
    """Return the sum of squared sizes of the largest whole pieces of a mask.

    Squares make one whole piece worth more than the two halves it splits into.
    """
    value = 0
    for size in reversed(PIECE_SIZES):
        for block in blocks(mask, size):
            mask &= ~block
            value += size * size
    return value


@lru_cache(maxsize=CACHE_SIZE)
def take_blocks(mask: int, size: int, count: int) -> tuple[tuple[int, ...], int] | None:
    """Choose blocks that keep the largest pieces whole.

    :returns: the blocks and the value lost, or None if they do not fit
    """
    taken: list[int] = []
    rest = mask
    while len(taken) < count:
        candidates = blocks(rest, size)
        if not candidates:
            return None
        best = max(candidates, key=lambda block: (mask_value(rest & ~block), -block))
        taken.append(best)
        rest &= ~best
    return tuple(taken), mask_value(mask) - mask_value(rest)
