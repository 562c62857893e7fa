"""Maintains this host's view of the hosts of the query tier."""

import asyncio
import random
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

import httpx

from almonddock_core.membership import (
    DescribeHead,
    Membership,
    MembershipAction,
    MembershipMessage,
    MembershipSettings,
    Paused,
    Send,
    ViewChanged,
)
from almonddock_core.model import (
    Clock,
    DataCentreId,
    HostId,
    Member,
    MembershipView,
    MemberState,
)
from almonddock_daemon.controllers._peers import PeerSender
from almonddock_daemon.links import Link
from almonddock_daemon.settings import HostListSettings
from almonddock_daemon.telemetry import LOG

#: The period at which the state machine is ticked.
TICK = timedelta(milliseconds=100)

# Raised when the host list cannot be fetched or parsed.
_LIST_ERRORS = (httpx.HTTPError, LookupError, TypeError, ValueError)


class MembershipController:
    """Probes other hosts, reads the host list and publishes views."""

    def __init__(
        self,
        settings: HostListSettings,
        own: Member,
        clock: Clock,
        source: random.Random,
        peers: PeerSender,
        describe_head: DescribeHead,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._peers = peers
        self._state = Membership(
            own,
            MembershipSettings(),
            source,
            clock.now(),
            describe_head,
        )
        self._listeners: list[Callable[[MembershipView], None]] = []
        #: How many times this host detected that it had been paused.
        self.pauses = 0

    @property
    def view(self) -> MembershipView:
        """The hosts known now; at first only this one."""
        return self._state.view

    @property
    def validated(self) -> bool:
        """Whether a peer, if any, replied since the start or last pause."""
        return self._state.validated

    def subscribe(self, listener: Callable[[MembershipView], None]) -> None:
        """Calls a function with each new view."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Probes and reads the host list until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tick())
            group.create_task(self._read_lists())

    def receive(self, link: Link, message: MembershipMessage) -> None:
        """Handles a message of a peer; replies go back on its link."""
        actions = self._state.receive(message, self._clock.now())
        self._carry_out(actions, link)

    def handle_lost_link(self, host: HostId) -> None:
        """Probes a host at once, because a link to it was lost."""
        self._carry_out(
            self._state.report_unreachable(host, self._clock.now()),
        )

    def leave(self) -> None:
        """Announces to other hosts that this one accepts no new work."""
        self._carry_out(self._state.leave(self._clock.now()))

    async def _tick(self) -> None:
        while True:
            self._carry_out(self._state.tick(self._clock.now()))
            await asyncio.sleep(TICK.total_seconds())

    async def _read_lists(self) -> None:
        async with httpx.AsyncClient(trust_env=False) as client:
            while True:
                await self._read_list(client)
                await asyncio.sleep(self._settings.period.total_seconds())

    async def _read_list(self, client: httpx.AsyncClient) -> None:
        try:
            response = await client.get(f'{self._settings.url}/v1/hosts')
            entries = response.raise_for_status().json()['hosts']
            listed = [_read_member(one) for one in entries]
        except _LIST_ERRORS as error:
            LOG.warning('host_list_unavailable', message=repr(error))
            return
        self._peers.update_listed(
            {member.host: member.address for member in listed},
        )
        now = self._clock.now()
        self._carry_out(self._state.read_host_list(listed, now))

    def _carry_out(
        self,
        actions: Iterable[MembershipAction],
        link: Link | None = None,
    ) -> None:
        for action in actions:
            match action:
                case Send(host, message):
                    self._peers.send(host, message, link)
                case ViewChanged(view):
                    self._publish(view)
                case Paused(gap):
                    self.pauses += 1
                    LOG.warning('host_was_paused', seconds=gap.total_seconds())

    def _publish(self, view: MembershipView) -> None:
        self._peers.update_members(
            {host: member.address for host, member in view.members.items()},
        )
        states = {host: one.state.value for host, one in view.members.items()}
        LOG.info('membership_changed', hosts=states)
        for listener in self._listeners:
            listener(view)


def _read_member(entry: dict[str, Any]) -> Member:
    # Only the host itself announces that it leaves; the list may be stale.
    return Member(
        host=HostId(entry['host']),
        data_centre=DataCentreId(entry['data_centre']),
        address=str(entry['address']),
        state=MemberState.ALIVE,
    )
