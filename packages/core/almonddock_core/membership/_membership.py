"""Who is there, as one host knows it."""

import random
from collections.abc import Iterable, Iterator
from dataclasses import replace
from datetime import timedelta

from almonddock_core.membership._messages import (
    MembershipMessage,
    Probe,
    ProbeReply,
    ProbeRequest,
)
from almonddock_core.membership._prober import DescribeHead, Prober
from almonddock_core.membership._probing import ProbeRound
from almonddock_core.membership._settings import (
    MembershipAction,
    MembershipSettings,
    Paused,
    ViewChanged,
)
from almonddock_core.membership._table import MemberTable
from almonddock_core.model import (
    HostId,
    Member,
    MembershipView,
    MemberState,
)


class Membership:
    """Probes members in turn and spreads what it learns (SWIM).

    Each period one member is probed; one that answers neither this host nor
    a few others is suspected, and counts as dead unless it refutes that with
    a larger incarnation. The host list only says whom to probe.

    Call :meth:`tick` at least once a period, and carry out the actions that
    each call returns.
    """

    def __init__(
        self,
        own: Member,
        settings: MembershipSettings,
        source: random.Random,
        now: timedelta,
        describe_head: DescribeHead,
    ) -> None:
        self._settings = settings
        self._random = source
        self._table = MemberTable(own)
        self._prober = Prober(self._table, settings, source, describe_head)
        self._round = ProbeRound(source)
        self._suspects: dict[HostId, timedelta] = {}
        self._listed: dict[HostId, Member] = {}
        self._started = now
        self._ticked = now
        self._next_probe = now
        self._published: MembershipView | None = None
        #: Whether some peer has answered since the start or the last pause,
        #: or there is none; a host acts on its view only then.
        self.validated = False

    @property
    def view(self) -> MembershipView:
        """All hosts known now, this one included."""
        return self._table.view

    def read_host_list(
        self,
        listed: Iterable[Member],
        now: timedelta,
    ) -> list[MembershipAction]:
        """Takes the host list, which may lag or be wrong.

        The first list is believed until probes say otherwise. Later, a host
        that only the list names is probed, and counts once it has answered.
        """
        first = not self._listed
        own = self._table.own.host
        self._listed = {one.host: one for one in listed if one.host != own}
        unknown = [
            one
            for one in self._listed.values()
            if self._table.find(one.host) is None
        ]
        for member in unknown if first else ():
            self._table.put(member, now)
        count = min(len(unknown), self._settings.helpers)
        actions: list[MembershipAction] = [
            action
            for member in self._random.sample(unknown, count)
            for action in self._prober.probe(member.host, now, full=first)
        ]
        return [*actions, *self._publish()]

    def receive(
        self,
        message: MembershipMessage,
        now: timedelta,
    ) -> list[MembershipAction]:
        """Takes a message of another host."""
        for member in message.news:
            self._learn(member, now)
        actions: list[MembershipAction] = []
        match message:
            case Probe():
                actions.append(self._prober.answer(message, now))
            case ProbeReply():
                sends = self._prober.close(message, now)
                self.validated = self.validated or sends is not None
                actions.extend(sends or ())
            case ProbeRequest():
                actions.extend(
                    self._prober.probe(
                        message.target,
                        now,
                        requester=message.sender,
                        requester_number=message.number,
                    ),
                )
        return [*actions, *self._publish()]

    def report_unreachable(
        self,
        host: HostId,
        now: timedelta,
    ) -> list[MembershipAction]:
        """Probes a host at once, because a link to it was lost."""
        member = self._table.find(host)
        waiting = self._prober.is_probing(host)
        if waiting or member is None or member.state is MemberState.DEAD:
            return []
        return list(self._prober.probe(host, now))

    def leave(self, now: timedelta) -> list[MembershipAction]:
        """Tells others that this host takes no new work."""
        own = replace(self._table.own, state=MemberState.LEAVING)
        self._table.put(own, now)
        others = [one.host for one in self._table.list_others()]
        count = min(len(others), self._settings.leave_listeners)
        actions: list[MembershipAction] = [
            action
            for host in self._random.sample(others, count)
            for action in self._prober.probe(host, now)
        ]
        return [*actions, *self._publish()]

    def tick(self, now: timedelta) -> list[MembershipAction]:
        """Sends the probe that is due and judges those without answer."""
        actions: list[MembershipAction] = []
        gap = now - self._ticked
        self._ticked = now
        if gap > self._settings.pause_limit:
            actions.extend(self._resume(gap, now))
        self._judge_alone(now)
        actions.extend(self._prober.ask_helpers(now))
        for host in self._prober.expire(now):
            actions.extend(self._suspect(host, now))
        self._confirm_dead(now)
        if now >= self._next_probe:
            self._next_probe = now + self._settings.period
            actions.extend(self._probe_next(now))
            self._table.forget_dead(
                now - self._settings.forget_after,
                frozenset(self._listed),
            )
        return [*actions, *self._publish()]

    def _publish(self) -> Iterator[ViewChanged]:
        view = self._table.view
        if view is not self._published:
            self._published = view
            yield ViewChanged(view)

    def _learn(self, member: Member, now: timedelta) -> None:
        if member.host == self._table.own.host:
            self._table.refute(member, now)
            return
        if not self._table.is_news(member):
            return
        self._table.put(member, now)
        self._prober.news.add(member)
        if member.state is MemberState.SUSPECT:
            limit = self._settings.compute_suspicion(len(self._table))
            self._suspects.setdefault(member.host, now + limit)
        else:
            self._suspects.pop(member.host, None)

    def _probe_next(self, now: timedelta) -> Iterator[MembershipAction]:
        dead = [one for one in self._table.list_dead() if one in self._listed]
        unknown = [
            host for host in self._listed if self._table.find(host) is None
        ]
        doubtful = dead + unknown
        interval = self._settings.dead_probe_interval
        if doubtful and not self._random.randrange(interval):
            yield from self._prober.probe(self._random.choice(doubtful), now)
            return
        host = self._round.choose(one.host for one in self._table.list_others())
        if host is not None:
            yield from self._prober.probe(host, now)

    def _suspect(
        self,
        host: HostId,
        now: timedelta,
    ) -> Iterator[MembershipAction]:
        member = self._table.find(host)
        if member is None:
            return
        if member.state is MemberState.ALIVE:
            self._learn(replace(member, state=MemberState.SUSPECT), now)
            yield from self._prober.probe(host, now)
        elif member.state is MemberState.LEAVING:
            self._learn(replace(member, state=MemberState.DEAD), now)

    def _confirm_dead(self, now: timedelta) -> None:
        for host, deadline in tuple(self._suspects.items()):
            if deadline <= now:
                self._suspects.pop(host)
                for member in self._prober.find(host):
                    self._learn(replace(member, state=MemberState.DEAD), now)

    def _resume(
        self,
        gap: timedelta,
        now: timedelta,
    ) -> Iterator[MembershipAction]:
        # Replies may wait unread, so nothing of the pause counts as failure.
        self._prober.forget()
        self._suspects = {
            host: deadline + gap for host, deadline in self._suspects.items()
        }
        self._started = now
        self.validated = False
        yield Paused(gap)
        others = [one.host for one in self._table.list_others()]
        count = min(len(others), self._settings.helpers)
        for host in self._random.sample(others, count):
            yield from self._prober.probe(host, now, full=True)

    def _judge_alone(self, now: timedelta) -> None:
        waited = now - self._started >= self._settings.join_timeout
        if waited and not any(self._table.list_others()):
            self.validated = True
