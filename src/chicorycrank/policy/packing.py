"""Allocation of aligned blocks of a worker's accelerators, represented as bit masks.

Accelerator ``n`` of a worker is bit ``n``. A block of size ``s`` starts at a multiple of ``s``
rounded up to a power of two, as in a buddy allocator. A piece is a block whose size is one of
``PIECE_SIZES``.
"""

from functools import lru_cache

PIECE_SIZES = (1, 2, 4, 8, 16)
# More accelerators of one worker are not used. The masks of a worker have as many bits.
MAX_ACCELERATORS_PER_WORKER = 1024
CACHE_SIZE = 1 << 16


def full_mask(accelerators: int) -> int:
    """Return the bit mask of all accelerators of a worker."""
    return (1 << accelerators) - 1


def mask_of(accelerators: tuple[int, ...]) -> int:
    """Return the bit mask of accelerator numbers."""
    mask = 0
    for number in accelerators:
        mask |= 1 << number
    return mask


@lru_cache(maxsize=CACHE_SIZE)
def numbers_of(mask: int) -> tuple[int, ...]:
    """Return the accelerator numbers of a bit mask in ascending order."""
    return tuple(number for number in range(mask.bit_length()) if mask >> number & 1)


@lru_cache(maxsize=CACHE_SIZE)
def piece_class(size: int) -> int:
    """Return the largest piece size that is not larger than a block size."""
    return max(piece for piece in PIECE_SIZES if piece <= max(1, size))


@lru_cache(maxsize=CACHE_SIZE)
def blocks(mask: int, size: int) -> tuple[int, ...]:
    """Return the disjoint aligned blocks of a size inside a bit mask.

    Any mask contains one block of size 0.
    """
    if size == 0:
        return (0,)
    if size > mask.bit_length():
        # A job may ask for any number, and a block has as many bits.
        return ()
    step = 1 << (size - 1).bit_length()
    block = full_mask(size)
    starts = range(0, mask.bit_length(), step)
    return tuple(block << start for start in starts if mask >> start & block == block)


def lowest_bits(mask: int, count: int) -> int:
    """Return the lowest bits of a bit mask."""
    return mask_of(numbers_of(mask)[:count])


@lru_cache(maxsize=CACHE_SIZE)
def piece_counts(mask: int) -> tuple[int, ...]:
    """Return how many disjoint pieces of each of ``PIECE_SIZES`` a bit mask contains."""
    return tuple(len(blocks(mask, size)) for size in PIECE_SIZES)


@lru_cache(maxsize=CACHE_SIZE)
def mask_value(mask: int) -> int:
    """Return the sum of the squared sizes of the largest pieces of a bit mask.

    With squares, a whole piece is worth more than the two halves into which it splits.
    """
    value = 0
    for size in reversed(PIECE_SIZES):
        for block in blocks(mask, size):
            mask &= ~block
            value += size * size
    return value


@lru_cache(maxsize=CACHE_SIZE)
def choose_blocks(mask: int, size: int, count: int) -> tuple[tuple[int, ...], int] | None:
    """Choose ``count`` blocks of a size that leave the largest pieces whole.

    :returns: blocks and loss in ``mask_value``, or None if they do not fit
    """
    chosen: list[int] = []
    remaining = mask
    while len(chosen) < count:
        candidates = blocks(remaining, size)
        if not candidates:
            return None
        best = max(candidates, key=lambda block: (mask_value(remaining & ~block), -block))
        chosen.append(best)
        remaining &= ~best
    return tuple(chosen), mask_value(mask) - mask_value(remaining)
