"""Keeps the view of the tier's hosts."""

import asyncio
from collections.abc import Callable
from typing import Any

import httpx

from almonddock_core.model import (
    DataCentreId,
    HostId,
    Member,
    MembershipView,
    MemberState,
)
from almonddock_daemon.settings import HostListSettings
from almonddock_daemon.telemetry import LOG


class MembershipController:
    """Reads the host list and publishes immutable views."""

    def __init__(
        self,
        settings: HostListSettings,
        own: Member,
        publish: Callable[[MembershipView], None],
    ) -> None:
        self._settings = settings
        self._own = own
        self._publish = publish
        #: The hosts known now; at first only this one.
        self.view = MembershipView(own.host, {own.host: own})

    async def run(self) -> None:
        """Reads the list again and again until cancelled."""
        async with httpx.AsyncClient(trust_env=False) as client:
            while True:
                await self._read(client)
                await asyncio.sleep(self._settings.period.total_seconds())

    async def _read(self, client: httpx.AsyncClient) -> None:
        try:
            response = await client.get(f'{self._settings.url}/v1/hosts')
            listed = response.raise_for_status().json()['hosts']
        except (httpx.HTTPError, ValueError, KeyError) as error:
            LOG.warning('host_list_unavailable', message=repr(error))
            return
        members = {HostId(one['host']): _read_member(one) for one in listed}
        members[self._own.host] = self._own
        view = MembershipView(self._own.host, members)
        if view != self.view:
            self.view = view
            LOG.info('membership_changed', hosts=sorted(members))
            self._publish(view)


def _read_member(entry: dict[str, Any]) -> Member:
    leaving = entry['state'] == 'leaving'
    return Member(
        host=HostId(entry['host']),
        data_centre=DataCentreId(entry['data_centre']),
        address=entry['address'],
        state=MemberState.LEAVING if leaving else MemberState.ALIVE,
    )
