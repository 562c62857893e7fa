"""The homes of a data centre, as one host knows them."""

import itertools
from collections.abc import Callable, Iterable

from almonddock_core.placement import choose_homes
from almonddock_gateway.controllers import Peer


class Homes:
    """The hosts that ask the targets of each group of shards for the others."""

    def __init__(
        self, own_name: str, data_centre: str, count_groups: Callable[[], int]
    ) -> None:
        """Knows none until :meth:`update` is called."""
        self._own_name = own_name
        self._data_centre = data_centre
        self._count_groups = count_groups
        self._chosen: list[tuple[str, ...]] = []
        # What they were chosen from.
        self._known: tuple[int, frozenset[str]] = (0, frozenset())
        #: All hosts that may be a home.
        self.names: frozenset[str] = frozenset()

    @property
    def include_own(self) -> bool:
        """Whether this host may be asked to ask targets for others."""
        return self._own_name in self.names

    def list_preferred(self) -> list[str]:
        """Returns the preferred home of each group."""
        return [names[0] for names in self._chosen if names]

    def list_names(self, group: int) -> tuple[str, ...]:
        """Returns the hosts that may be the home of a group, in order."""
        return self._chosen[group] if group < len(self._chosen) else ()

    def update(self, peers: Iterable[Peer]) -> bool:
        """Chooses them again if the groups or the hosts have changed.

        Returns whether they have changed.
        """
        groups = self._count_groups()
        hosts: frozenset[str] = frozenset()
        if groups:
            hosts = frozenset(
                peer.name
                for peer in peers
                if peer.data_centre == self._data_centre
            ) | {self._own_name}
        if (groups, hosts) == self._known:
            return False
        self._known = (groups, hosts)
        before = self._chosen
        self._chosen = choose_homes(groups, hosts)
        self.names = frozenset(itertools.chain.from_iterable(self._chosen))
        return self._chosen != before
