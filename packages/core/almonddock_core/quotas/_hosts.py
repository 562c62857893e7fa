"""Which hosts share quotas, and what this host may do for them.

Two hosts with different views of the others might each hold the same part of
a quota. So a part changes hands slowly: who held it stops once it cannot know
any more that it still does, and who gets it begins only after that.
"""

import itertools
import zlib
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.quotas._division import GRANTORS, HostSet
from almonddock_core.quotas._first_window import FirstWindow
from almonddock_core.quotas._settings import QuotaSettings

#: The time without news from the store after which a host may hold parts that
#: others have got.
LAPSE_S = 15
LAPSE = timedelta(seconds=LAPSE_S)

#: How old news can be at the moment when it is taken as new.
NEWS_DELAY_S = 3
NEWS_DELAY = timedelta(seconds=NEWS_DELAY_S)

#: How long a host that is gone keeps its parts, so that a restart moves none:
#: longer than it uses them without a registration.
MEMORY_S = 25
MEMORY = timedelta(seconds=MEMORY_S)


@dataclass(frozen=True, slots=True)
class HostPlace:
    """A host and its data centre."""

    name: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class StartState:
    """What a host knows of itself when its process starts."""

    started: timedelta
    #: Whether all hosts start for the first time, so that none has let in
    #: requests before.
    is_first: bool = False


class KnownHosts:
    """The hosts of the tier, with those that went lately."""

    def __init__(
        self, own: HostPlace, settings: QuotaSettings, start: StartState
    ) -> None:
        """Knows only this host."""
        self._own = own
        self._start = start
        # The time after which nothing of an earlier process counts.
        self._forget_after = settings.grant_window
        #: The time in which something of an earlier process counts.
        self.first_window = FirstWindow(start.started, settings.grant_window)
        #: The time after which no other host holds a part of this one.
        self.settle_time = LAPSE + NEWS_DELAY + settings.grant_window
        self._news: timedelta | None = None
        # When the next host that is gone is forgotten.
        self._forget_at = timedelta()
        self._registered: tuple[HostPlace, ...] = ()
        self._data_centres = {own.name: own.data_centre}
        self._gone_at: dict[str, timedelta] = {}
        self._registered_since: timedelta | None = None
        self._grantor_since: dict[str, timedelta] = {}
        self._is_vouched = False
        self._has_granted_before = False
        self._returned: set[str] = set()
        #: The hosts that share quotas.
        self.current = HostSet((own.name,), (own.name,))

    def update(
        self, present: Iterable[HostPlace], news: timedelta, now: timedelta
    ) -> None:
        """Takes the registered hosts, and when the store said so.

        To be called now and then also when nothing has changed.
        """
        self._news = news
        registered = tuple(present)
        is_due = bool(self._gone_at) and now >= self._forget_at
        if registered == self._registered and not is_due:
            return
        self._registered = registered
        places = {place.name: place.data_centre for place in registered}
        self._note_registration(self._own.name in places, now)
        for name in self._data_centres.keys() - places.keys():
            self._gone_at.setdefault(name, now)
        for name in places:
            if self._gone_at.pop(name, None) is not None:
                self._returned.add(name)
        for name, gone_at in tuple(self._gone_at.items()):
            if now - gone_at >= MEMORY and name != self._own.name:
                del self._gone_at[name]
                del self._data_centres[name]
        oldest = min(self._gone_at.values(), default=now)
        self._forget_at = oldest + MEMORY
        self._data_centres.update(places)
        self._choose_grantors(now)

    def note_earlier_grants(self) -> None:
        """Notes that this host granted before a restart.

        That is read from its registration, which outlives its process.
        """
        self._has_granted_before = True

    def note_vouched(self, known_for: timedelta) -> None:
        """Notes how long another host has known this one as a grantor."""
        if known_for >= self.settle_time:
            self._is_vouched = True

    def note_granting(self, grantor: str, now: timedelta) -> None:
        """Notes that a grantor has granted, so that no other has its part."""
        since = self._grantor_since.get(grantor)
        if since is not None:
            granting = now - self.settle_time
            self._grantor_since[grantor] = min(since, granting)
            self._returned.discard(grantor)

    def list_to_greet(self, now: timedelta) -> list[str]:
        """Returns the grantors that this one does not know to grant.

        Each may have been restarted and not know itself that it may.
        """
        if self._own.name not in self._grantor_since:
            return []
        return [
            name
            for name in self._grantor_since
            if name != self._own.name
            and (
                name in self._returned
                or self.find_known_time(name, now) < self.settle_time
            )
        ]

    def may_grant(self, now: timedelta) -> bool:
        """Whether this host may use its part as a grantor."""
        since = self._grantor_since.get(self._own.name)
        if since is None or not self._is_current(now):
            return False
        if self.first_window.includes(now):
            return False
        is_old = self._is_vouched or now - since >= self.settle_time
        return is_old or (self._is_early(since) and self._is_known())

    def may_grant_at_start(self, now: timedelta) -> bool:
        """Whether this host may use its start part as a grantor."""
        if not self.first_window.has_part:
            return False
        return self.find_granting_wait(now) is not None

    def find_granting_wait(self, now: timedelta) -> timedelta | None:
        """Returns the time until the first window of a grantor is over.

        Returns None if it is over, if this host may not grant after it, or
        if it does not know yet whether it has a start part.
        """
        if self.first_window.has_part is None:
            return None
        since = self._grantor_since.get(self._own.name)
        if since is None or not self._is_current(now):
            return None
        is_sure = self._is_early(since) and self._is_known()
        if not is_sure or not self.first_window.includes(now):
            return None
        return self.first_window.find_wait(now)

    def is_grantor(self, now: timedelta) -> bool:
        """Whether this host grants, or will again soon after a restart."""
        since = self._grantor_since.get(self._own.name)
        if since is None or not self._is_current(now):
            return False
        is_early = self._is_early(since) and self._is_known()
        return is_early or self.may_grant(now)

    def may_spend(self, now: timedelta) -> bool:
        """Whether this host may use its own part without a grant."""
        since = self._registered_since
        if since is None or not self._is_current(now):
            return False
        if self.first_window.includes(now):
            return False
        if self._start.is_first and self._is_early(since):
            return True
        return now - since >= self.settle_time

    def find_known_time(self, grantor: str, now: timedelta) -> timedelta:
        """Returns how long a host has been known as a grantor.

        Returns zero if this host does not know enough to say so.
        """
        since = self._grantor_since.get(grantor)
        if since is None or not self._has_news(now):
            return timedelta()
        if self._start.is_first and self._is_early(since):
            return now - since + self.settle_time
        return now - since

    def _note_registration(self, is_registered: bool, now: timedelta) -> None:
        if is_registered and self._registered_since is None:
            self._registered_since = now

    def _is_current(self, now: timedelta) -> bool:
        """Whether no other host can have got the parts of this one."""
        gone_at = self._gone_at.get(self._own.name)
        is_missed = gone_at is not None and now - gone_at >= LAPSE
        return self._has_news(now) and not is_missed

    def _has_news(self, now: timedelta) -> bool:
        return self._news is not None and now - self._news < LAPSE

    def _is_early(self, since: timedelta) -> bool:
        """Whether something has been so since the start of the process."""
        return since - self._start.started < self._forget_after

    def _is_known(self) -> bool:
        return self._start.is_first or self._has_granted_before

    def _choose_grantors(self, now: timedelta) -> None:
        chosen = _choose_spread(self._data_centres)
        self._grantor_since = {
            name: self._grantor_since.get(name, now) for name in chosen
        }
        if self._own.name not in self._grantor_since:
            self._is_vouched = False
        self._returned &= self._grantor_since.keys()
        hosts = tuple(sorted(self._data_centres))
        self.current = HostSet(hosts, tuple(sorted(chosen)))


def _choose_spread(data_centres: dict[str, str]) -> list[str]:
    """Returns the grantors: as many in each data centre, about the same.

    A host that comes or goes changes at most one of its data centre, unless
    it is the first or last one there.
    """
    by_data_centre: dict[str, list[str]] = defaultdict(list)
    for name, data_centre in data_centres.items():
        by_data_centre[data_centre].append(name)
    each = max(1, -(-GRANTORS // len(by_data_centre)))
    return list(
        itertools.chain.from_iterable(
            sorted(names, key=_rank)[:each] for names in by_data_centre.values()
        )
    )


def _rank(name: str) -> tuple[int, str]:
    return zlib.crc32(f'quota {name}'.encode()), name
