"""Selects the sub-queries to relay through another host."""

from collections import defaultdict
from collections.abc import Callable, Collection, Container, Sequence
from dataclasses import dataclass
from typing import Protocol

from almonddock_core.dispatch import Action, Send
from almonddock_core.placement import assign_groups
from almonddock_core.quotas import CreditQuery
from almonddock_core.routing import Costs
from almonddock_gateway.relays._messages import (
    GrantQuery,
    LinkMessage,
    MessageLink,
    RelayQuery,
    StoreQuery,
)

HandleReply = Callable[[LinkMessage | None], None]


@dataclass(frozen=True, slots=True)
class CostExchange:
    """Records and lists the costs of targets that travel with messages.

    The fields are the methods of :class:`~almonddock_core.routing.CostReports`
    at the current time.
    """

    record: Callable[[Costs], None] = lambda costs: None
    list_observed: Callable[[], Costs] = tuple
    list_known: Callable[[], Costs] = tuple
    list_near: Callable[[], Costs] = tuple


class LinkDirectory(Protocol):
    """The open links to other hosts, and the queries sent over them."""

    def find_link(self, data_centre: str) -> MessageLink | None:
        """Returns a usable link to a host there, None without one."""
        ...

    def find_home(
        self, group: int, asked: MessageLink | None = None
    ) -> MessageLink | None:
        """Returns a usable link to the home of a group of shards.

        Returns None if this host is its home, if it has none, or without a
        link. With ``asked``, the link to the home that was asked, it is the
        link to the other home.
        """
        ...

    def find_any_link(
        self, avoided: Container[MessageLink] = ()
    ) -> MessageLink | None:
        """Returns a usable link to any host, None without one.

        Returns the one that was returned longest ago, and one of those to be
        ``avoided`` only if there is no other.
        """
        ...

    def find_watcher(self) -> MessageLink | None:
        """Returns a usable link to a watcher, which reads the store for others.

        Returns None if this host is a watcher itself, or without such a link.
        """
        ...

    def find_link_to(self, name: str) -> MessageLink | None:
        """Returns a usable link to one host, None without one."""
        ...

    def allocate_number(self) -> int:
        """Returns the number of a new query."""
        ...

    def send_query(
        self,
        link: MessageLink,
        query: RelayQuery | StoreQuery | CreditQuery | GrantQuery,
        handle: HandleReply,
    ) -> None:
        """Sends a query; ``handle`` gets each reply, or None at link loss."""
        ...

    def cancel(
        self,
        link: MessageLink,
        number: int,
        parts: Sequence[int],
    ) -> None:
        """Cancels some parts of a query."""
        ...

    def forget(self, link: MessageLink, number: int) -> None:
        """Ignores further replies to a query."""
        ...


class RelayRouter:
    """Groups sub-queries by the link that they are sent over."""

    def __init__(
        self,
        data_centre: str,
        costs: CostExchange | None = None,
    ) -> None:
        #: The links to other hosts; None until they are opened.
        self.links: LinkDirectory | None = None
        #: For the costs of targets that travel with messages.
        self.costs = CostExchange() if costs is None else costs
        self._data_centre = data_centre

    def group(
        self,
        actions: Sequence[Action],
        shards: Sequence[str],
        relayed: Collection[str] = (),
    ) -> list[tuple[MessageLink, list[Send]]]:
        """Returns the sends to relay over each link; others go directly.

        Those to another data centre go to a host there, those to this one to
        the homes of their shards. ``shards`` are all shards of the query.

        Services in ``relayed`` have an attempt in a relay query already and
        are left out: records of merged replies carry no service, so a second
        reply would count them twice.
        """
        if self.links is None:
            return []
        by_data_centre: dict[str, list[Send]] = defaultdict(list)
        for action in actions:
            if not isinstance(action, Send):
                continue
            if action.target.entry.service not in relayed:
                by_data_centre[action.target.entry.data_centre].append(action)
        groups = self._group_by_home(
            by_data_centre.pop(self._data_centre, ()), shards
        )
        for data_centre, sends in by_data_centre.items():
            link = self.links.find_link(data_centre)
            if link is not None:
                groups.append((link, sends))
        return groups

    def find_other_home(
        self, service: str, shards: Sequence[str], asked: MessageLink
    ) -> MessageLink | None:
        """Returns the link for another attempt at a shard, None without one.

        ``asked`` is the link that its first attempt was sent over.
        """
        if self.links is None:
            return None
        return self.links.find_home(assign_groups(shards)[service], asked)

    def _group_by_home(
        self, sends: Sequence[Send], shards: Sequence[str]
    ) -> list[tuple[MessageLink, list[Send]]]:
        if self.links is None or not sends:
            return []
        group_of = assign_groups(shards)
        by_group: dict[int, list[Send]] = defaultdict(list)
        for send in sends:
            by_group[group_of[send.target.entry.service]].append(send)
        by_link: dict[MessageLink, list[Send]] = defaultdict(list)
        for group, members in by_group.items():
            link = self.links.find_home(group)
            if link is not None:
                by_link[link] += members
        return list(by_link.items())
