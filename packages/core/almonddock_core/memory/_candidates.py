"""Which holder of memory is ended first."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

#: A holder of which nothing has moved for this long counts as stalled.
STALL = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A holder of memory that may be ended."""

    #: For how long nothing was received of it, or read by it.
    silent: timedelta
    #: The bytes of memory that it takes.
    taken: int
    #: Ends it, and releases what it holds.
    end: Callable[[], None]
    #: Whether it is ended only if no other candidate is left.
    is_last: bool = False


def rank_holder(silent: timedelta, taken: int) -> tuple[timedelta, int]:
    """Returns the sort key of a holder; the greatest is ended first.

    Stalled holders come first, the longest stalled before the others, then the
    largest: who holds little and moves on is the least likely cause.
    """
    return silent if silent > STALL else timedelta(), taken


def choose_candidate(candidates: Iterable[Candidate]) -> Candidate | None:
    """Returns the holder to end, None without any."""
    return max(candidates, key=_rank, default=None)


def _rank(candidate: Candidate) -> tuple[bool, tuple[timedelta, int]]:
    rank = rank_holder(candidate.silent, candidate.taken)
    return not candidate.is_last, rank
