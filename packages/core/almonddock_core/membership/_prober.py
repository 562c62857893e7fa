"""Sends probes and matches their replies."""

import random
from collections.abc import Callable, Iterator
from datetime import timedelta

from almonddock_core.configuration import ConfigurationHead
from almonddock_core.membership._messages import (
    Probe,
    ProbeReply,
    ProbeRequest,
)
from almonddock_core.membership._probing import PendingProbe
from almonddock_core.membership._settings import MembershipSettings, Send
from almonddock_core.membership._table import MemberTable
from almonddock_core.membership._updates import UpdateQueue
from almonddock_core.model import HostId, Member, MemberState

#: Returns the configuration head that messages carry.
DescribeHead = Callable[[timedelta], ConfigurationHead]


class Prober:
    """Tracks pending probes and the membership updates to piggyback."""

    def __init__(
        self,
        table: MemberTable,
        settings: MembershipSettings,
        rng: random.Random,
        describe_head: DescribeHead,
    ) -> None:
        self.updates = UpdateQueue()
        self._table = table
        self._settings = settings
        self._random = rng
        self._describe_head = describe_head
        self._pending: dict[int, PendingProbe] = {}
        self._number = 0

    def probe(
        self,
        host: HostId,
        now: timedelta,
        *,
        full: bool = False,
        requester: HostId | None = None,
        requester_number: int = 0,
    ) -> Iterator[Send]:
        """Yields a probe of a host, on its own behalf or for a requester."""
        self._number += 1
        self._pending[self._number] = PendingProbe(
            host,
            now,
            requester=requester,
            requester_number=requester_number,
        )
        # The probe carries this host's entry for the receiver, so that the
        # receiver can refute it.
        updates = (*self._take_updates(), *self.list_known(host))
        yield Send(
            host,
            Probe(
                self._number,
                self._table.own.host,
                self._describe_head(now),
                updates,
                full,
            ),
        )

    def answer(self, probe: Probe, now: timedelta) -> Send:
        """Returns the reply to another host's probe."""
        updates = self._take_updates()
        if probe.full:
            updates = tuple(self._table.view.members.values())
        head = self._describe_head(now)
        reply = ProbeReply(probe.number, self._table.own.host, head, updates)
        return Send(probe.sender, reply)

    def receive_reply(
        self, reply: ProbeReply, now: timedelta
    ) -> list[Send] | None:
        """Returns the messages to relay, None for an unexpected reply."""
        probe = self._pending.pop(reply.number, None)
        if probe is None:
            return None
        if probe.requester is None:
            return []
        relayed = ProbeReply(
            probe.requester_number,
            self._table.own.host,
            self._describe_head(now),
            (*self._take_updates(), *self.list_known(probe.host)),
        )
        return [Send(probe.requester, relayed)]

    def is_probing(self, host: HostId) -> bool:
        """Returns whether a probe of the host is pending."""
        return any(probe.host == host for probe in self._pending.values())

    def request_indirect_probes(self, now: timedelta) -> Iterator[Send]:
        """Yields requests for indirect probes of the hosts that are late."""
        limit = now - self._settings.direct_timeout
        for number, probe in tuple(self._pending.items()):
            if (
                probe.indirect_requested
                or probe.requester
                or probe.sent > limit
            ):
                continue
            probe.indirect_requested = True
            yield from self._send_probe_requests(number, probe.host, now)

    def expire(self, now: timedelta) -> list[HostId]:
        """Drops probes that timed out and returns the unresponsive hosts."""
        limit = now - self._settings.probe_timeout
        late = [
            number
            for number, probe in self._pending.items()
            if probe.sent <= limit
        ]
        probes = [self._pending.pop(number) for number in late]
        return [probe.host for probe in probes if probe.requester is None]

    def drop_all(self) -> None:
        """Drops all pending probes without suspecting the hosts."""
        self._pending.clear()

    def list_known(self, host: HostId) -> tuple[Member, ...]:
        """Returns the entry of a host, or nothing if it is unknown."""
        member = self._table.find(host)
        return () if member is None else (member,)

    def _send_probe_requests(
        self,
        number: int,
        target: HostId,
        now: timedelta,
    ) -> Iterator[Send]:
        helpers = [
            member.host
            for member in self._table.list_others()
            if member.host != target and member.state is MemberState.ALIVE
        ]
        count = min(len(helpers), self._settings.indirect_probes)
        for helper in self._random.sample(helpers, count):
            request = ProbeRequest(
                number,
                self._table.own.host,
                target,
                self._describe_head(now),
                self._take_updates(),
            )
            yield Send(helper, request)

    def _take_updates(self) -> tuple[Member, ...]:
        repeats = self._settings.compute_repeats(len(self._table))
        updates = self.updates.take(self._settings.max_updates, repeats)
        return (self._table.own, *updates)
