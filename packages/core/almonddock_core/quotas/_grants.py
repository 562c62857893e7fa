"""Grants credits from this host's part of each quota."""

from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.quotas._bucket import Allowance, Bucket
from almonddock_core.quotas._division import Division

#: The longest time for which a host is told to ask no more: others may use
#: less than they did.
MAX_WAIT = timedelta(seconds=1)

#: The wait told by a host that may not grant now.
NOT_GRANTING_WAIT_MS = 500
NOT_GRANTING_WAIT = timedelta(milliseconds=NOT_GRANTING_WAIT_MS)


@dataclass(slots=True)
class _Granted:
    bucket: Bucket
    #: How many were granted in the first window of the process.
    at_start: int = 0
    #: When the last of those that wait was told to ask again.
    next_asked: timedelta = field(default=timedelta())

    def choose_turn(
        self, earliest: timedelta, allowance: Allowance, latest: timedelta
    ) -> timedelta:
        """Returns when the next one that is refused is to ask again.

        They come one after the other, at the rate of the allowance.
        """
        if not allowance.rate:
            return latest
        interval = timedelta(seconds=1 / allowance.rate)
        turn = max(earliest, self.next_asked + interval)
        self.next_asked = min(turn, latest)
        return self.next_asked


class Grantor:
    """The buckets of organisations that use this host's grants.

    Holds only organisations with requests in about the last window.
    """

    def __init__(self) -> None:
        self._granted: dict[str, _Granted] = {}

    def __len__(self) -> int:
        """Returns the number of organisations that are held."""
        return len(self._granted)

    def grant(
        self,
        organisation: str,
        wanted: int,
        allowance: Allowance,
        now: timedelta,
    ) -> tuple[int, timedelta]:
        """Returns how many are granted, and the time until the next one.

        Those that are refused are told times one after the other, at the rate
        at which credits come back.
        """
        granted = self._granted.setdefault(organisation, _Granted(Bucket(now)))
        taken = granted.bucket.take(wanted, allowance, now)
        if taken == wanted:
            return taken, timedelta()
        wait = granted.bucket.find_wait(allowance, now)
        if wait >= MAX_WAIT or not allowance.rate:
            return taken, MAX_WAIT
        turn = granted.choose_turn(now + wait, allowance, now + MAX_WAIT)
        return taken, turn - now

    def grant_at_start(
        self,
        organisation: str,
        wanted: int,
        division: Division,
        now: timedelta,
        wait: timedelta,
    ) -> tuple[int, timedelta]:
        """Grants from the start part; returns what :meth:`grant` does.

        ``wait`` is the time until the first window of the process is over.
        Nothing is regained before that.
        """
        granted = self._granted.setdefault(organisation, _Granted(Bucket(now)))
        taken = min(wanted, max(0, division.start - granted.at_start))
        granted.at_start += taken
        if taken == wanted:
            return taken, timedelta()
        turn = granted.choose_turn(
            now + wait, division.granted, now + wait + MAX_WAIT
        )
        return taken, turn - now

    def give_back(
        self,
        organisation: str,
        allowance: Allowance,
        age: timedelta,
    ) -> None:
        """Returns one credit that was not used."""
        granted = self._granted.get(organisation)
        if granted is not None:
            granted.bucket.give_back(1, allowance, age)

    def drop(self, organisation: str) -> None:
        """Forgets an organisation."""
        self._granted.pop(organisation, None)

    def list_held(self) -> tuple[str, ...]:
        """Returns the organisations that are held."""
        return tuple(self._granted)

    def is_idle(
        self, organisation: str, allowance: Allowance, now: timedelta
    ) -> bool:
        """Whether nothing counts against an organisation any more."""
        return self._granted[organisation].bucket.is_unused(allowance, now)
