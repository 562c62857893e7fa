"""Grants credits from this host's part of each quota."""

from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.quotas._bucket import Allowance, Bucket

#: The longest time for which a host is told to ask no more: others may use
#: less than they did.
MAX_WAIT = timedelta(seconds=1)

#: The wait told by a host that may not grant now.
NOT_GRANTING_WAIT_MS = 500
NOT_GRANTING_WAIT = timedelta(milliseconds=NOT_GRANTING_WAIT_MS)


@dataclass(slots=True)
class _Granted:
    bucket: Bucket
    #: When the last of those that wait was told to ask again.
    next_asked: timedelta = field(default=timedelta())


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
        granted = self._granted.get(organisation)
        if granted is None:
            granted = _Granted(Bucket(now))
            self._granted[organisation] = granted
        taken = granted.bucket.take(wanted, allowance, now)
        if taken == wanted:
            return taken, timedelta()
        wait = granted.bucket.find_wait(allowance, now)
        if wait >= MAX_WAIT or not allowance.rate:
            return taken, MAX_WAIT
        earliest = now + wait
        interval = timedelta(seconds=1 / allowance.rate)
        turn = max(earliest, granted.next_asked + interval)
        granted.next_asked = min(turn, now + MAX_WAIT)
        return taken, granted.next_asked - now

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
