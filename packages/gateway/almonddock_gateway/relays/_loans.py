"""Parts of the retry budget that travel between hosts."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.dispatch import GRANT_TERM, Lending, LoanOffer
from almonddock_core.model import Clock
from almonddock_gateway.relays._messages import (
    GrantQuery,
    GrantReply,
    LinkMessage,
    MessageLink,
)
from almonddock_gateway.relays._router import LinkDirectory

ReceiveGrants = Callable[[Collection[str]], None]


@dataclass(frozen=True, slots=True)
class LoanExchange:
    """Makes, answers and records loans that travel with messages.

    The fields are the methods of :class:`~almonddock_core.dispatch.Lending` at
    the current time.
    """

    make_offer: Callable[[MessageLink], LoanOffer] = lambda link: LoanOffer()
    record_offer: Callable[[MessageLink, LoanOffer], timedelta] = (
        lambda link, offer: timedelta()
    )
    record_clock: Callable[[MessageLink, timedelta], None] = (
        lambda link, clock: None
    )
    grant: Callable[[Sequence[str]], tuple[int, ...]] = lambda services: ()


def build_loan_exchange(lending: Lending, clock: Clock) -> LoanExchange:
    """Returns the loans of a host, at the current time."""
    return LoanExchange(
        make_offer=lambda link: lending.make_offer(link, clock.now()),
        record_offer=lambda link, offer: lending.record_offer(
            link, offer, clock.now()
        ),
        record_clock=lending.record_clock,
        grant=lambda services: lending.grant(services, clock.now()),
    )


class Borrower:
    """Asks watchers for attempts that this host's own share doesn't allow."""

    def __init__(
        self,
        lending: Lending,
        get_links: Callable[[], LinkDirectory | None],
        clock: Clock,
    ) -> None:
        """Asks over the links that there are at the time."""
        self._lending = lending
        self._get_links = get_links
        self._clock = clock

    def ask(self, services: Sequence[str], receive: ReceiveGrants) -> None:
        """Asks for one attempt at each service.

        ``receive`` gets the services at which one is granted, unless none is
        or the answer is late. A watcher grants to itself.
        """
        links = self._get_links()
        link = links.find_watcher() if links is not None else None
        asked = self._clock.now()
        if links is None or link is None:
            granted = self._lending.grant(services, asked)
            _receive_granted(services, granted, receive)
            return
        if not self._lending.may_ask(link):
            return
        number = links.allocate_number()

        def handle(reply: LinkMessage | None) -> None:
            is_late = self._clock.now() - asked > GRANT_TERM
            if isinstance(reply, GrantReply) and not is_late:
                _receive_granted(services, reply.granted, receive)

        links.send_query(link, GrantQuery(number, tuple(services)), handle)
        asyncio.get_running_loop().call_later(
            GRANT_TERM.total_seconds(), links.forget, link, number
        )


def _receive_granted(
    services: Sequence[str], granted: Sequence[int], receive: ReceiveGrants
) -> None:
    known = {services[index] for index in granted if index < len(services)}
    if known:
        receive(known)
