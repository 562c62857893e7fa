"""The membership of the fleet from the view of one host."""

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
    """Detects failed members and gossips membership updates (SWIM).

    Each period one member is probed. A member that answers neither this host
    nor a few others is suspected, and declared dead unless it refutes the
    suspicion with a larger incarnation. The platform's host list only adds
    hosts to probe.

    Call :meth:`tick` at least once a period, and carry out the actions that
    each call returns.
    """

    def __init__(
        self,
        own: Member,
        settings: MembershipSettings,
        rng: random.Random,
        now: timedelta,
        describe_head: DescribeHead,
    ) -> None:
        self._settings = settings
        self._random = rng
        self._table = MemberTable(own)
        self._prober = Prober(self._table, settings, rng, describe_head)
        self._round = ProbeRound(rng)
        self._suspects: dict[HostId, timedelta] = {}
        self._listed: dict[HostId, Member] = {}
        self._joining_since = now
        self._ticked = now
        self._next_probe = now
        self._reported_view: MembershipView | None = None
        #: Whether a peer has answered since the start or the last pause, or
        #: there are no peers. A host acts on its view only if this is true.
        self.validated = False

    @property
    def view(self) -> MembershipView:
        """All known members, including this host."""
        return self._table.view

    def read_host_list(
        self,
        listed: Iterable[Member],
        now: timedelta,
    ) -> list[MembershipAction]:
        """Handles the platform's host list, which may be stale or wrong.

        The hosts of the first list become members at once. Later, a host that
        is only in the list is probed, and becomes a member once it answers.
        """
        first = not self._listed
        own = self._table.own.host
        self._listed = {
            member.host: member for member in listed if member.host != own
        }
        unknown = [
            member
            for member in self._listed.values()
            if self._table.find(member.host) is None
        ]
        for member in unknown if first else ():
            self._table.put(member, now)
        count = min(len(unknown), self._settings.indirect_probes)
        actions: list[MembershipAction] = [
            action
            for member in self._random.sample(unknown, count)
            for action in self._prober.probe(member.host, now, full=first)
        ]
        return [*actions, *self._report_view()]

    def receive(
        self,
        message: MembershipMessage,
        now: timedelta,
    ) -> list[MembershipAction]:
        """Handles a message from another host."""
        for member in message.news:
            self._apply_update(member, now)
        actions: list[MembershipAction] = []
        match message:
            case Probe():
                actions.append(self._prober.answer(message, now))
            case ProbeReply():
                sends = self._prober.receive_reply(message, now)
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
        return [*actions, *self._report_view()]

    def report_unreachable(
        self,
        host: HostId,
        now: timedelta,
    ) -> list[MembershipAction]:
        """Probes a host immediately after a link to it was lost."""
        member = self._table.find(host)
        probing = self._prober.is_probing(host)
        if probing or member is None or member.state is MemberState.DEAD:
            return []
        return list(self._prober.probe(host, now))

    def leave(self, now: timedelta) -> list[MembershipAction]:
        """Announces that this host accepts no new work."""
        own = replace(self._table.own, state=MemberState.LEAVING)
        self._table.put(own, now)
        others = [member.host for member in self._table.list_others()]
        count = min(len(others), self._settings.leave_announce_count)
        actions: list[MembershipAction] = [
            action
            for host in self._random.sample(others, count)
            for action in self._prober.probe(host, now)
        ]
        return [*actions, *self._report_view()]

    def tick(self, now: timedelta) -> list[MembershipAction]:
        """Sends the due probe and handles probes that timed out."""
        actions: list[MembershipAction] = []
        gap = now - self._ticked
        self._ticked = now
        if gap > self._settings.pause_limit:
            actions.extend(self._resume(gap, now))
        self._validate_if_alone(now)
        actions.extend(self._prober.request_indirect_probes(now))
        for host in self._prober.expire(now):
            actions.extend(self._handle_probe_failure(host, now))
        self._confirm_dead(now)
        if now >= self._next_probe:
            self._next_probe = now + self._settings.period
            actions.extend(self._probe_next(now))
            self._table.forget_dead(
                now - self._settings.forget_after,
                frozenset(self._listed),
            )
        return [*actions, *self._report_view()]

    def _report_view(self) -> Iterator[ViewChanged]:
        view = self._table.view
        if view is not self._reported_view:
            self._reported_view = view
            yield ViewChanged(view)

    def _apply_update(self, member: Member, now: timedelta) -> None:
        if member.host == self._table.own.host:
            self._table.refute(member, now)
            return
        if not self._table.is_newer(member):
            return
        self._table.put(member, now)
        self._prober.updates.add(member)
        if member.state is MemberState.SUSPECT:
            limit = self._settings.compute_suspicion_timeout(len(self._table))
            self._suspects.setdefault(member.host, now + limit)
        else:
            self._suspects.pop(member.host, None)

    def _probe_next(self, now: timedelta) -> Iterator[MembershipAction]:
        dead = [
            host for host in self._table.list_dead() if host in self._listed
        ]
        unknown = [
            host for host in self._listed if self._table.find(host) is None
        ]
        absent = dead + unknown
        interval = self._settings.dead_probe_interval
        if absent and not self._random.randrange(interval):
            yield from self._prober.probe(self._random.choice(absent), now)
            return
        host = self._round.choose(
            member.host for member in self._table.list_others()
        )
        if host is not None:
            yield from self._prober.probe(host, now)

    def _handle_probe_failure(
        self,
        host: HostId,
        now: timedelta,
    ) -> Iterator[MembershipAction]:
        member = self._table.find(host)
        if member is None:
            return
        if member.state is MemberState.ALIVE:
            self._apply_update(replace(member, state=MemberState.SUSPECT), now)
            yield from self._prober.probe(host, now)
        elif member.state is MemberState.LEAVING:
            self._apply_update(replace(member, state=MemberState.DEAD), now)

    def _confirm_dead(self, now: timedelta) -> None:
        for host, deadline in tuple(self._suspects.items()):
            if deadline <= now:
                self._suspects.pop(host)
                for member in self._prober.list_known(host):
                    self._apply_update(
                        replace(member, state=MemberState.DEAD), now
                    )

    def _resume(
        self,
        gap: timedelta,
        now: timedelta,
    ) -> Iterator[MembershipAction]:
        # Replies that came during the pause may still be unread, so probes sent
        # before it are dropped instead of counted as failures.
        self._prober.drop_all()
        self._suspects = {
            host: deadline + gap for host, deadline in self._suspects.items()
        }
        self._joining_since = now
        self.validated = False
        yield Paused(gap)
        others = [member.host for member in self._table.list_others()]
        count = min(len(others), self._settings.indirect_probes)
        for host in self._random.sample(others, count):
            yield from self._prober.probe(host, now, full=True)

    def _validate_if_alone(self, now: timedelta) -> None:
        waited = now - self._joining_since >= self._settings.join_timeout
        if waited and not any(self._table.list_others()):
            self.validated = True
