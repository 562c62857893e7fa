"""Gets credits for the requests of this host's callers."""

import itertools
import math
import zlib
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.quotas._actions import (
    AskGrantor,
    CreditSource,
    LetIn,
    QuotaAction,
    TurnAway,
)
from almonddock_core.quotas._bucket import Bucket
from almonddock_core.quotas._divisions import NO_QUOTA, Divisions
from almonddock_core.quotas._messages import CreditQuery, CreditReply
from almonddock_core.quotas._settings import CREDIT_MAX_AGE
from almonddock_core.quotas._usage import PendingQuery, Ticket, Usage

#: The time after which the next grantor is asked: a request that waits for
#: credits is a quick one at times.
QUERY_TIMEOUT_MS = 60
QUERY_TIMEOUT = timedelta(milliseconds=QUERY_TIMEOUT_MS)

#: How long a grantor that did not answer is not asked again.
UNANSWERED_PAUSE = timedelta(seconds=1)

#: The longest that a request waits for a credit.
MAX_TICKET_WAIT_MS = 200
MAX_TICKET_WAIT = timedelta(milliseconds=MAX_TICKET_WAIT_MS)

#: The most requests of an organisation that wait for credits at one host.
MAX_WAITING = 64

#: The lowest rate, in requests a second, by which retries are spread.
MIN_RETRY_RATE = 1


class Credits:
    """The requests that wait for credits, and the queries for them."""

    def __init__(
        self, divisions: Divisions, is_reachable: Callable[[str], bool]
    ) -> None:
        """Asks only the hosts that ``is_reachable`` names."""
        self._divisions = divisions
        self._is_reachable = is_reachable
        self._usages: dict[str, Usage] = {}
        self._pending: dict[int, PendingQuery] = {}
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        """Returns the number of organisations about which something is held."""
        return len(self._usages)

    @property
    def is_waiting(self) -> bool:
        """Whether a query is not answered."""
        return bool(self._pending)

    def spend(self, organisation: str, now: timedelta) -> bool:
        """Lets a request in without a grant, if none waits for one."""
        usage = self._usages.setdefault(organisation, Usage(Bucket(now)))
        if usage.waiting or not self._divisions.hosts.may_spend(now):
            return False
        own = self._divisions.divide(organisation).own
        if not usage.own.take(1, own, now):
            return False
        usage.uncovered = min(usage.uncovered + 1, math.ceil(own.burst))
        return True

    def wait(
        self, organisation: str, ticket: int, now: timedelta
    ) -> list[QuotaAction]:
        """Takes a request that waits for a credit."""
        usage = self._usages.setdefault(organisation, Usage(Bucket(now)))
        usage.waiting.append(Ticket(ticket, now))
        if len(usage.waiting) > MAX_WAITING:
            return [self._turn_away(organisation, usage.waiting.pop(), now)]
        return self.pursue(organisation, now)

    def cancel(self, organisation: str, number: int) -> None:
        """Forgets a request that waits."""
        usage = self._usages.get(organisation)
        if usage is None:
            return
        for ticket in tuple(usage.waiting):
            if ticket.number == number:
                usage.waiting.remove(ticket)

    def give_back(self, organisation: str, age: timedelta) -> None:
        """Returns what a request took without a grant and did not use."""
        usage = self._usages.get(organisation)
        if usage is not None and usage.uncovered:
            usage.uncovered -= 1
            own = self._divisions.divide(organisation).own
            usage.own.give_back(1, own, age)

    def pursue(self, organisation: str, now: timedelta) -> list[QuotaAction]:
        """Asks the next grantor, or turns away what waits without one."""
        usage = self._usages.get(organisation)
        if usage is None or usage.asking is not None:
            return []
        actions = self._turn_late_away(organisation, now - MAX_TICKET_WAIT, now)
        wanted = len(usage.waiting) + usage.uncovered
        if not wanted:
            return actions
        grantor = self._choose_grantor(organisation, usage, now)
        if grantor is None:
            return actions + self._turn_late_away(organisation, now, now)
        ask = self.ask(grantor, organisation, wanted, now)
        usage.asking = ask.query.number
        return [*actions, ask]

    def ask(
        self, grantor: str, organisation: str, wanted: int, now: timedelta
    ) -> AskGrantor:
        """Returns a new query to one grantor."""
        number = next(self._numbers)
        self._pending[number] = PendingQuery(organisation, grantor, now)
        known_for = self._divisions.hosts.find_known_time(grantor, now)
        query = CreditQuery(number, organisation, wanted, known_for)
        return AskGrantor(grantor, query)

    def greet(self, now: timedelta) -> list[QuotaAction]:
        """Asks grantors that may not know that they are."""
        greeted = {
            pending.grantor
            for pending in self._pending.values()
            if not pending.organisation
        }
        return [
            self.ask(name, '', 0, now)
            for name in self._divisions.hosts.list_to_greet(now)
            if name not in greeted and self._is_reachable(name)
        ]

    def receive(self, reply: CreditReply, now: timedelta) -> list[QuotaAction]:
        """Uses what was granted, and asks others for the rest."""
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return []
        if reply.grants:
            self._divisions.hosts.note_granting(pending.grantor, now)
        usage = self._usages.get(pending.organisation)
        if usage is None:
            return []
        if usage.asking == reply.number:
            usage.asking = None
        if reply.wait:
            usage.blocked[pending.grantor] = now + reply.wait
        granted = reply.granted
        if now - pending.sent > CREDIT_MAX_AGE:
            granted = 0
        actions: list[QuotaAction] = []
        while granted and usage.waiting:
            ticket = usage.waiting.popleft()
            actions.append(LetIn(ticket.number, CreditSource.GRANTED))
            granted -= 1
        usage.cover(granted, self._divisions.divide(pending.organisation).own)
        return actions + self.pursue(pending.organisation, now)

    def lose(self, number: int, now: timedelta) -> list[QuotaAction]:
        """Asks another grantor in place of one that does not answer."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return []
        return self._replace(number, pending, now)

    def tick(self, now: timedelta) -> list[QuotaAction]:
        """Ends queries without an answer and requests that waited too long."""
        actions: list[QuotaAction] = []
        for number, pending in tuple(self._pending.items()):
            age = now - pending.sent
            usage = self._usages.get(pending.organisation)
            is_due = usage is not None and usage.asking == number
            if age > QUERY_TIMEOUT and is_due:
                # A late answer can still be used.
                actions += self._replace(number, pending, now)
            elif age > CREDIT_MAX_AGE:
                del self._pending[number]
        return actions

    def drop_idle(self, now: timedelta) -> None:
        """Forgets organisations without recent requests."""
        pending = {one.organisation for one in self._pending.values()}
        for name, usage in tuple(self._usages.items()):
            own = self._divisions.divide(name).own
            if name not in pending and usage.is_idle(own, now):
                del self._usages[name]

    def _replace(
        self, number: int, pending: PendingQuery, now: timedelta
    ) -> list[QuotaAction]:
        usage = self._usages.get(pending.organisation)
        if usage is None:
            return []
        usage.blocked[pending.grantor] = now + UNANSWERED_PAUSE
        if usage.asking != number:
            return []
        usage.asking = None
        return self.pursue(pending.organisation, now)

    def _choose_grantor(
        self, organisation: str, usage: Usage, now: timedelta
    ) -> str | None:
        """Returns the first that may grant, in this host's own order."""
        own = self._divisions.own.name
        usable = [
            name
            for name in self._divisions.hosts.current.grantors
            if name != own
            and not usage.is_blocked(name, now)
            and self._is_reachable(name)
        ]
        return min(
            usable,
            key=lambda name: zlib.crc32(
                f'{own} {organisation} {name}'.encode()
            ),
            default=None,
        )

    def _turn_late_away(
        self, organisation: str, since: timedelta, now: timedelta
    ) -> list[QuotaAction]:
        """Turns away what has waited since a time or longer."""
        waiting = self._usages[organisation].waiting
        actions: list[QuotaAction] = []
        while waiting and waiting[0].arrived <= since:
            ticket = waiting.popleft()
            actions.append(self._turn_away(organisation, ticket, now))
        return actions

    def _turn_away(
        self, organisation: str, ticket: Ticket, now: timedelta
    ) -> TurnAway:
        usage = self._usages[organisation]
        quota = self._divisions.quotas.get(organisation, NO_QUOTA)
        interval = timedelta(seconds=1 / max(quota.rate, MIN_RETRY_RATE))
        grantors = self._divisions.hosts.current.grantors
        retry_after = usage.find_retry(grantors, interval, now)
        return TurnAway(ticket.number, retry_after)
