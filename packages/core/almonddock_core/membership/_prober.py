"""Sending probes and matching their answers."""

import random
from collections.abc import Callable, Iterator
from datetime import timedelta

from almonddock_core.configuration import ConfigurationHead
from almonddock_core.membership._messages import (
    Probe,
    ProbeReply,
    ProbeRequest,
)
from almonddock_core.membership._news import NewsQueue
from almonddock_core.membership._probing import OpenProbe
from almonddock_core.membership._settings import MembershipSettings, Send
from almonddock_core.membership._table import MemberTable
from almonddock_core.model import HostId, Member, MemberState

#: Gives the configuration head that messages carry.
DescribeHead = Callable[[timedelta], ConfigurationHead]


class Prober:
    """Keeps the probes that wait for an answer, and the news they carry."""

    def __init__(
        self,
        table: MemberTable,
        settings: MembershipSettings,
        source: random.Random,
        describe_head: DescribeHead,
    ) -> None:
        self.news = NewsQueue()
        self._table = table
        self._settings = settings
        self._random = source
        self._describe_head = describe_head
        self._open: dict[int, OpenProbe] = {}
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
        """Yields a probe of a host, for itself or for a requester."""
        self._number += 1
        self._open[self._number] = OpenProbe(
            host,
            now,
            requester=requester,
            requester_number=requester_number,
        )
        # A host must hear what is believed of it, so that it can refute it.
        news = (*self._take_news(), *self.find(host))
        yield Send(
            host,
            Probe(
                self._number,
                self._table.own.host,
                self._describe_head(now),
                news,
                full,
            ),
        )

    def answer(self, probe: Probe, now: timedelta) -> Send:
        """Returns the answer to another host's probe."""
        news = self._take_news()
        if probe.full:
            news = tuple(self._table.view.members.values())
        head = self._describe_head(now)
        reply = ProbeReply(probe.number, self._table.own.host, head, news)
        return Send(probe.sender, reply)

    def close(self, reply: ProbeReply, now: timedelta) -> list[Send] | None:
        """Returns what follows a reply, None if nothing waited for it."""
        probe = self._open.pop(reply.number, None)
        if probe is None:
            return None
        if probe.requester is None:
            return []
        relayed = ProbeReply(
            probe.requester_number,
            self._table.own.host,
            self._describe_head(now),
            (*self._take_news(), *self.find(probe.host)),
        )
        return [Send(probe.requester, relayed)]

    def is_probing(self, host: HostId) -> bool:
        """Returns whether a probe of the host waits for an answer."""
        return any(one.host == host for one in self._open.values())

    def ask_helpers(self, now: timedelta) -> Iterator[Send]:
        """Yields requests to probe the hosts that are late to answer."""
        limit = now - self._settings.direct_timeout
        for number, probe in tuple(self._open.items()):
            if probe.helped or probe.requester or probe.sent > limit:
                continue
            probe.helped = True
            yield from self._ask_helpers(number, probe.host, now)

    def expire(self, now: timedelta) -> list[HostId]:
        """Gives up probes and returns the hosts that did not answer."""
        limit = now - self._settings.probe_timeout
        late = [
            number for number, one in self._open.items() if one.sent <= limit
        ]
        probes = [self._open.pop(number) for number in late]
        return [one.host for one in probes if one.requester is None]

    def forget(self) -> None:
        """Drops all probes without judging the hosts."""
        self._open.clear()

    def find(self, host: HostId) -> tuple[Member, ...]:
        """Returns what is known of a host, as news."""
        member = self._table.find(host)
        return () if member is None else (member,)

    def _ask_helpers(
        self,
        number: int,
        target: HostId,
        now: timedelta,
    ) -> Iterator[Send]:
        able = [
            one.host
            for one in self._table.list_others()
            if one.host != target and one.state is MemberState.ALIVE
        ]
        count = min(len(able), self._settings.helpers)
        for helper in self._random.sample(able, count):
            request = ProbeRequest(
                number,
                self._table.own.host,
                target,
                self._describe_head(now),
                self._take_news(),
            )
            yield Send(helper, request)

    def _take_news(self) -> tuple[Member, ...]:
        repeats = self._settings.compute_repeats(len(self._table))
        news = self.news.take(self._settings.max_news, repeats)
        return (self._table.own, *news)
