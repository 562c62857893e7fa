"""Decides which requests of organisations with quotas are let in."""

import itertools
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta

from almonddock_core.quotas._actions import CreditSource, LetIn, QuotaAction
from almonddock_core.quotas._credits import Credits
from almonddock_core.quotas._divisions import Divisions
from almonddock_core.quotas._grants import NOT_GRANTING_WAIT, Grantor
from almonddock_core.quotas._hosts import HostPlace, KnownHosts, StartState
from almonddock_core.quotas._messages import CreditQuery, CreditReply
from almonddock_core.quotas._settings import CREDIT_MAX_AGE, QuotaSettings
from almonddock_core.routing import Organisation


class Quotas:
    """The quotas of all organisations, as one host enforces them.

    Each request gets a ticket; an action lets it in or turns it away, at once
    or after a grantor has answered. State is held for organisations with
    requests in about the last window.
    """

    def __init__(
        self,
        own: HostPlace,
        settings: QuotaSettings,
        start: StartState,
        is_reachable: Callable[[str], bool],
    ) -> None:
        """Starts without limits; ``is_reachable`` tells of other hosts."""
        self._divisions = Divisions(own, settings, start)
        self._grantor = Grantor()
        self._credits = Credits(self._divisions, is_reachable)
        self._tickets = itertools.count(1)

    @property
    def hosts(self) -> KnownHosts:
        """The hosts that share quotas."""
        return self._divisions.hosts

    @property
    def is_waiting(self) -> bool:
        """Whether a query is not answered, so that :meth:`tick` is due."""
        return self._credits.is_waiting

    @property
    def held(self) -> int:
        """The number of organisations about which something is held."""
        return len(self._credits) + len(self._grantor)

    @property
    def has_limits(self) -> bool:
        """Whether any organisation has a quota."""
        return bool(self._divisions.quotas)

    def update_quotas(self, organisations: Iterable[Organisation]) -> None:
        """Takes the organisations of the configuration in force."""
        self._divisions.update_quotas(organisations)

    def update_hosts(
        self, present: Iterable[HostPlace], news: timedelta, now: timedelta
    ) -> list[QuotaAction]:
        """Takes the registered hosts as of ``news``.

        To be called about every second also when nothing has changed.
        """
        self._divisions.update_hosts(present, news, now)
        return self._credits.greet(now) if self.has_limits else []

    def admit(
        self, organisation: str, now: timedelta
    ) -> tuple[int, list[QuotaAction]]:
        """Returns the ticket of a request, and what to do first."""
        ticket = next(self._tickets)
        source = self._take(organisation, now)
        if source is None:
            return ticket, self._credits.wait(organisation, ticket, now)
        let_in = LetIn(ticket, source)
        return ticket, [let_in, *self._credits.pursue(organisation, now)]

    def cancel(self, organisation: str, ticket: int) -> None:
        """Forgets a request that waits, because its caller left."""
        self._credits.cancel(organisation, ticket)

    def give_back(
        self, organisation: str, source: CreditSource, age: timedelta
    ) -> None:
        """Returns what a request took ``age`` ago that did not run."""
        if organisation not in self._divisions.quotas or age > CREDIT_MAX_AGE:
            return
        if source is CreditSource.GRANTED_HERE:
            granted = self._divisions.divide(organisation).granted
            self._grantor.give_back(organisation, granted, age)
        elif source is CreditSource.OWN:
            self._credits.give_back(organisation, age)

    def receive_query(self, query: CreditQuery, now: timedelta) -> CreditReply:
        """Returns the answer to another host."""
        self.hosts.note_vouched(query.known_for)
        granted, wait = 0, timedelta()
        if query.wanted:
            granted, wait = self._grant(query.organisation, query.wanted, now)
        return CreditReply(
            number=query.number,
            organisation=query.organisation,
            granted=granted,
            wait=wait,
            grants=self.hosts.may_grant(now),
        )

    def receive_reply(
        self, reply: CreditReply, now: timedelta
    ) -> list[QuotaAction]:
        """Uses what was granted, and asks others for the rest."""
        return self._credits.receive(reply, now)

    def receive_loss(self, number: int, now: timedelta) -> list[QuotaAction]:
        """Asks another grantor, because the link to one was lost."""
        return self._credits.lose(number, now)

    def tick(self, now: timedelta) -> list[QuotaAction]:
        """Ends queries without an answer and requests that waited too long.

        To be called several times within the time of a query while
        :attr:`is_waiting`.
        """
        return self._credits.tick(now)

    def drop_idle(self, now: timedelta) -> None:
        """Forgets organisations without recent requests."""
        self._credits.drop_idle(now)
        if self.hosts.first_window.includes(now):
            # What was used of a start part is not regained.
            return
        for name in self._grantor.list_held():
            granted = self._divisions.divide(name).granted
            if self._grantor.is_idle(name, granted, now):
                self._grantor.drop(name)

    def _take(self, organisation: str, now: timedelta) -> CreditSource | None:
        """Takes a credit that needs no other host, None if there is none."""
        if organisation not in self._divisions.quotas:
            return CreditSource.UNLIMITED
        if self._grant(organisation, 1, now)[0]:
            return CreditSource.GRANTED_HERE
        if self._credits.spend(organisation, now):
            return CreditSource.OWN
        return None

    def _grant(
        self, organisation: str, wanted: int, now: timedelta
    ) -> tuple[int, timedelta]:
        if organisation not in self._divisions.quotas:
            return 0, NOT_GRANTING_WAIT
        division = self._divisions.divide(organisation)
        if self.hosts.may_grant(now):
            return self._grantor.grant(
                organisation, wanted, division.granted, now
            )
        wait = self.hosts.find_granting_wait(now)
        if wait is None:
            return 0, NOT_GRANTING_WAIT
        if not self.hosts.may_grant_at_start(now):
            division = replace(division, start=0)
        return self._grantor.grant_at_start(
            organisation, wanted, division, now, wait
        )
