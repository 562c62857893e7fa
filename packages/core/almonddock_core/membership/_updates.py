"""The queue of membership updates that messages piggyback."""

from almonddock_core.model import HostId, Member


class UpdateQueue:
    """Keeps the latest update of each host for a bounded number of sends."""

    def __init__(self) -> None:
        self._items: dict[HostId, Member] = {}
        # The number of sends of each update; the least sent go first.
        self._sent: dict[HostId, int] = {}

    def __len__(self) -> int:
        """Returns the number of updates that are still sent."""
        return len(self._items)

    def add(self, member: Member) -> None:
        """Adds an update and replaces an older one of the same host."""
        self._items[member.host] = member
        self._sent[member.host] = 0

    def take(self, count: int, repeats: int) -> tuple[Member, ...]:
        """Returns the least sent updates and drops those sent often enough."""
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
