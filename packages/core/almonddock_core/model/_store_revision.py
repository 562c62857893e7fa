"""Revisions of a store that may be restored from an older copy.

The store's own numbers go back when it is restored, and are given out again;
each restore begins a new era. A revision here is one integer, with the era
above the store's number, so that revisions compare in the order of history,
and those of different eras are never equal.
"""

#: The bits of a revision that hold the store's number, and its era above them.
NUMBER_BITS = 44
ERA_BITS = 19

#: The highest number, and the highest era.
MAX_NUMBER = 2**NUMBER_BITS - 1
MAX_ERA = 2**ERA_BITS - 1


def join_revision(era: int, number: int) -> int:
    """Returns the revision for a number of the store in an era.

    Raises:
        ValueError: one of them is negative or too high.
    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f'era {era} of a store')
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f'revision {number} of a store')
    return era << NUMBER_BITS | number


def split_revision(revision: int) -> tuple[int, int]:
    """Returns the era of a revision, and the store's number in it."""
    return revision >> NUMBER_BITS, revision & MAX_NUMBER


def get_era(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> NUMBER_BITS
