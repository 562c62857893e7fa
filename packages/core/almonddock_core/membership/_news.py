"""News that messages carry, each item a bounded number of times."""

from almonddock_core.model import HostId, Member


class NewsQueue:
    """Keeps the latest item of each host until it was sent often enough."""

    def __init__(self) -> None:
        self._items: dict[HostId, Member] = {}
        # How often each item was sent; the least sent leave first.
        self._sent: dict[HostId, int] = {}

    def __len__(self) -> int:
        """Returns the number of items that are still sent."""
        return len(self._items)

    def add(self, member: Member) -> None:
        """Adds an item in place of any older one of the same host."""
        self._items[member.host] = member
        self._sent[member.host] = 0

    def take(self, count: int, repeats: int) -> tuple[Member, ...]:
        """Returns the least sent items, and drops those sent enough."""
        hosts = list(self._items)
        if len(hosts) > count:
            hosts.sort(key=self._sent.__getitem__)
        chosen = [self._items[host] for host in hosts[:count]]
        for member in chosen:
            self._sent[member.host] += 1
            if self._sent[member.host] >= repeats:
                self._items.pop(member.host)
                self._sent.pop(member.host)
        return tuple(chosen)
