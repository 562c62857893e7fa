"""Enforces the quotas of organisations together with the other hosts."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial

from almonddock_core.model import Clock
from almonddock_core.quotas import (
    AskGrantor,
    CreditQuery,
    CreditReply,
    CreditSource,
    HostPlace,
    LetIn,
    QuotaAction,
    Quotas,
    QuotaSettings,
    StartState,
    TurnAway,
)
from almonddock_core.routing import Organisation, RoutingTable
from almonddock_gateway.controllers._hosts import (
    GrantorRegistration,
    HostController,
)
from almonddock_gateway.relays import LinkDirectory, LinkMessage, MessageLink
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.supervision import guard
from almonddock_gateway.telemetry import Telemetry

#: The pause between two checks of queries that are not answered, in seconds.
TICK_S = 0.02

#: The most organisations that metrics name; those with the highest quotas.
MAX_NAMED = 10

Decide = Callable[[LetIn | TurnAway], None]


@dataclass(frozen=True, slots=True)
class QuotaDependencies:
    """The components that a quota controller reads and uses."""

    settings: GatewaySettings
    hosts: HostController
    #: Returns the configuration in force.
    get_table: Callable[[], RoutingTable | None]
    #: Returns the links to other hosts; None until they are opened.
    get_links: Callable[[], LinkDirectory | None]
    #: Returns as of when the hosts are known, by ``clock``.
    get_news: Callable[[], timedelta | None]
    clock: Clock
    telemetry: Telemetry


class QuotaController:
    """Decides on requests of organisations with quotas."""

    def __init__(self, deps: QuotaDependencies, bounds: QuotaSettings) -> None:
        """Registers this host as one that enforces quotas."""
        settings = deps.settings
        self._deps = deps
        self._quotas = Quotas(
            HostPlace(settings.host, settings.data_centre),
            bounds,
            StartState(deps.clock.now(), is_first=settings.is_first_start),
            lambda name: self._find_link(name) is not None,
        )
        # Whether the registered hosts have been read since the start.
        self._knows_hosts = False
        self._table: RoutingTable | None = None
        self._named: frozenset[str] = frozenset()
        self._decisions: dict[int, Decide] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._logged: dict[str, object] = {}
        hosts = self._quotas.hosts
        deps.hosts.grantor = GrantorRegistration(
            knows_hosts=lambda: self._knows_hosts,
            is_grantor=lambda: hosts.is_grantor(deps.clock.now()),
            is_starting=lambda: hosts.first_window.is_recent(deps.clock.now()),
            note_earlier_grants=hosts.note_earlier_grants,
            note_start_part=lambda is_usable: hosts.first_window.note_part(
                is_usable=is_usable
            ),
        )

    def count_state(self) -> dict[str, float]:
        """Returns the state of quotas for the metrics."""
        return {
            'quota_organisations_held': self._quotas.held,
            'quota_requests_waiting': len(self._decisions),
        }

    def list_grantors(self) -> tuple[str, ...]:
        """Returns the hosts to link to; none if nothing is limited."""
        if not self._quotas.has_limits:
            return ()
        own = self._deps.settings.host
        return tuple(
            name for name in self._quotas.hosts.current.grantors if name != own
        )

    def admit(self, organisation: Organisation, decide: Decide) -> int:
        """Decides on a request, at once or later; returns its ticket."""
        self._apply_table()
        ticket, actions = self._quotas.admit(
            organisation.name, self._deps.clock.now()
        )
        self._decisions[ticket] = decide
        self._run(actions)
        return ticket

    def cancel(self, organisation: Organisation, ticket: int) -> None:
        """Forgets a request that waits, because its caller left."""
        self._decisions.pop(ticket, None)
        self._quotas.cancel(organisation.name, ticket)

    def keep_for_return(
        self, organisation: Organisation, source: CreditSource
    ) -> Callable[[], None]:
        """Returns what gives back what a request has taken now."""
        let_in = self._deps.clock.now()

        def give_back() -> None:
            age = self._deps.clock.now() - let_in
            self._quotas.give_back(organisation.name, source, age)

        return give_back

    def answer(self, query: CreditQuery) -> CreditReply:
        """Answers another host."""
        self._apply_table()
        return self._quotas.receive_query(query, self._deps.clock.now())

    def count_refused(self, organisation: Organisation) -> None:
        """Counts a request over the quota, by name if it is a large one."""
        name = organisation.name
        label = name if name in self._named else 'other'
        self._deps.telemetry.metrics.over_quota.inc({'organisation': label})

    def update(self) -> None:
        """Applies what the host knows; to be called about every second."""
        deps = self._deps
        now = deps.clock.now()
        self._apply_table()
        news = deps.get_news()
        if news is not None:
            self._knows_hosts = True
            self._run(
                self._quotas.update_hosts(deps.hosts.quota_hosts, news, now)
            )
        self._quotas.drop_idle(now)
        self._log_change(now)

    def _apply_table(self) -> None:
        table = self._deps.get_table()
        if table is self._table or table is None:
            return
        self._table = table
        listed = table.organisations.list_all() if table.organisations else ()
        self._quotas.update_quotas(listed)
        limited = sorted(
            (one.quota.rate, one.name) for one in listed if one.quota
        )
        self._named = frozenset(name for _, name in limited[-MAX_NAMED:])

    def _run(self, actions: list[QuotaAction]) -> None:
        """Performs actions; raises the first error of a request at the end."""
        due = list(actions)
        faults: list[Exception] = []
        while due:
            action = due.pop(0)
            if isinstance(action, AskGrantor):
                due += self._ask(action)
                continue
            try:
                self._decide(action)
            except Exception as fault:
                faults.append(fault)
        if self._quotas.is_waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_S, self._tick)
        if faults:
            raise faults[0]

    def _decide(self, action: LetIn | TurnAway) -> None:
        decide = self._decisions.pop(action.ticket, None)
        if decide is not None:
            decide(action)

    def _ask(self, action: AskGrantor) -> list[QuotaAction]:
        """Sends a query; returns what to do if that cannot be done."""
        query = action.query
        links = self._deps.get_links()
        link = self._find_link(action.grantor)
        if links is None or link is None:
            return self._quotas.receive_loss(
                query.number, self._deps.clock.now()
            )
        number = links.allocate_number()

        def handle(message: LinkMessage | None) -> None:
            links.forget(link, number)
            self._receive(query.number, message)

        links.send_query(link, replace(query, number=number), handle)
        return []

    def _receive(self, number: int, message: LinkMessage | None) -> None:
        now = self._deps.clock.now()
        if isinstance(message, CreditReply):
            reply = replace(message, number=number)
            actions = self._quotas.receive_reply(reply, now)
        else:
            actions = self._quotas.receive_loss(number, now)
        guard('quotas', lambda: self._run(actions), self._deps.telemetry)()

    def _tick(self) -> None:
        self._timer = None
        tick = partial(self._quotas.tick, self._deps.clock.now())
        guard('quotas', lambda: self._run(tick()), self._deps.telemetry)()

    def _find_link(self, name: str) -> MessageLink | None:
        links = self._deps.get_links()
        return None if links is None else links.find_link_to(name)

    def _log_change(self, now: timedelta) -> None:
        """Logs which hosts share quotas, and what this one may do for them."""
        hosts = self._quotas.hosts
        known: dict[str, object] = {
            'hosts': len(hosts.current.hosts),
            'grantors': hosts.current.grantors,
            'grants': hosts.may_grant(now),
            'grants_at_start': hosts.may_grant_at_start(now),
            'spends': hosts.may_spend(now),
        }
        if self._quotas.has_limits and known != self._logged:
            self._logged = known
            self._deps.telemetry.log_event('quota_parts_changed', **known)


def build_quota_controller(deps: QuotaDependencies) -> QuotaController | None:
    """Returns a controller, None if the settings bound no quotas."""
    bounds = deps.settings.quota
    return None if bounds is None else QuotaController(deps, bounds)
