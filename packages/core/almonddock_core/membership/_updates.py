"""The queue of membership updates that messages piggyback."""

from almonddock_core.model import HostId, Member


class UpdateQueue:
    """Keeps the latest update of each host for a bounded number of sends."""

    def __init__(self) -> None:
        self._updates: dict[HostId, Member] = {}
        # The number of sends of each update; the least sent go first.
        self._send_counts: dict[HostId, int] = {}

    def __len__(self) -> int:
        """Returns the number of updates that are still sent."""
        return len(self._updates)

    def add(self, member: Member) -> None:
        """Adds an update and replaces an older one of the same host."""
        self._updates[member.host] = member
        self._send_counts[member.host] = 0

    def take(self, count: int, max_sends: int) -> tuple[Member, ...]:
        """Returns the least sent updates and drops those sent often enough."""
        hosts = list(self._updates)
        if len(hosts) > count:
            hosts.sort(key=self._send_counts.__getitem__)
        chosen = [self._updates[host] for host in hosts[:count]]
        for member in chosen:
            self._send_counts[member.host] += 1
            if self._send_counts[member.host] >= max_sends:
                self._updates.pop(member.host)
                self._send_counts.pop(member.host)
        return tuple(chosen)
