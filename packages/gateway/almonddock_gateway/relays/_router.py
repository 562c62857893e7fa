"""Decides which sub-queries travel by another host."""

from collections import defaultdict
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from almonddock_core.dispatch import Action, Send
from almonddock_gateway.relays._messages import (
    LinkMessage,
    MessageLink,
    RelayQuery,
    StoreQuery,
)

HandleReply = Callable[[LinkMessage | None], None]


class LinkDirectory(Protocol):
    """The open links to hosts of other data centres."""

    def find_link(self, data_centre: str) -> MessageLink | None:
        """Returns a link to a host that answers, None without one."""
        ...

    def find_any_link(self) -> MessageLink | None:
        """Returns a link to any host that answers, None without one."""
        ...

    def find_watcher(self) -> MessageLink | None:
        """Returns a link to a host that follows the store for this one.

        Returns None if this host is to follow it, or no such host answers.
        """
        ...

    def allocate_number(self) -> int:
        """Returns the number of a new query."""
        ...

    def send_query(
        self,
        link: MessageLink,
        query: RelayQuery | StoreQuery,
        handle: HandleReply,
    ) -> None:
        """Sends a query; ``handle`` gets its replies, or None at the end."""
        ...

    def cancel(
        self,
        link: MessageLink,
        number: int,
        parts: Sequence[int],
    ) -> None:
        """Says that some parts are no longer wanted."""
        ...

    def forget(self, link: MessageLink, number: int) -> None:
        """Ends the wait for replies to a query."""
        ...


class RelayRouter:
    """Groups sub-queries by data centre, where a link leads."""

    def __init__(self, data_centre: str) -> None:
        #: The links, once they are open.
        self.links: LinkDirectory | None = None
        self._data_centre = data_centre

    def group(
        self,
        actions: Sequence[Action],
        relayed: Collection[str] = (),
    ) -> list[tuple[MessageLink, list[Send]]]:
        """Returns the sends that go over each link; the others go direct.

        A service in ``merged`` has a try in a group already: merged replies
        cannot be told apart, so a second one would count it twice.
        """
        if self.links is None:
            return []
        by_data_centre: dict[str, list[Send]] = defaultdict(list)
        for action in actions:
            if not isinstance(action, Send):
                continue
            if action.target.entry.service not in relayed:
                by_data_centre[action.target.entry.data_centre].append(action)
        by_data_centre.pop(self._data_centre, None)
        groups = []
        for data_centre, sends in by_data_centre.items():
            link = self.links.find_link(data_centre)
            if link is not None:
                groups.append((link, sends))
        return groups
