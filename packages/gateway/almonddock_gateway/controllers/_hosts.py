"""The hosts of the tier, registered in the store under leases.

Bounds that hold for all hosts together are shared by their number, so each
host must not take the number for smaller than it is. A host that cannot read
the store keeps the last number.
"""

import asyncio
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

import orjson

from almonddock_core.model import Clock
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.store import (
    LeaseEndedError,
    Store,
    StoreLostError,
    StoreView,
)
from almonddock_gateway.telemetry import Telemetry

#: How long a host stays registered without a renewal.
REGISTRATION_S = 15
REGISTRATION = timedelta(seconds=REGISTRATION_S)

#: The pause between two renewals, each with a read of the list.
RENEWAL = timedelta(seconds=5)

#: The first pauses are short, so that hosts started together find each other.
FIRST_RENEWALS = 3
FIRST_RENEWAL = timedelta(seconds=1)

#: The largest number of the last reads counts: lists may be seconds old.
READS_KEPT = 3


@dataclass(frozen=True, slots=True)
class Peer:
    """Another host of the tier."""

    name: str
    data_centre: str
    #: Where it accepts links.
    host: str
    port: int


class HostController:
    """Registers this host, counts all, and knows where they are."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: Store,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._store = store
        self._clock = clock
        self._telemetry = telemetry
        self._lease: int | None = None
        self._counts: deque[int] = deque(maxlen=READS_KEPT)
        #: The other hosts, as of the last read.
        self.peers: frozenset[Peer] = frozenset()

    @property
    def count(self) -> int:
        """The number of hosts, this one included; at least one."""
        return max(self._counts, default=1)

    async def run(self) -> None:
        """Keeps the registration and the count until cancelled."""
        renewals = 0
        while True:
            try:
                await self._renew()
            except StoreLostError as lost:
                self._telemetry.note('registration_failed', reason=lost.message)
            except LeaseEndedError:
                self._telemetry.note('registration_ended', lease=self._lease)
                self._lease = None
                continue
            renewals += 1
            pause = FIRST_RENEWAL if renewals <= FIRST_RENEWALS else RENEWAL
            await asyncio.sleep(pause.total_seconds())

    async def leave(self) -> None:
        """Ends the registration, so that others count one less at once."""
        if self._lease is None:
            return
        try:
            await self._store.end_lease(self._lease)
        except (StoreLostError, LeaseEndedError) as lost:
            self._telemetry.note('deregistration_failed', reason=lost.message)

    async def _renew(self) -> None:
        prefix = self._settings.keys.host_prefix
        if self._lease is None:
            lease = await self._store.grant_lease(REGISTRATION)
            await self._store.put(
                f'{prefix}{self._settings.host}',
                self._describe(),
                lease,
            )
            self._lease = lease
        else:
            await self._store.renew_lease(self._lease)
        view = await self._store.read_prefix_stale(prefix)
        self.peers = frozenset(self._read_peers(view))
        before = self.count
        self._counts.append(max(len(view.items), 1))
        if self.count != before:
            self._telemetry.note(
                'host_count_changed',
                hosts=self.count,
                before=before,
                store_revision=view.revision,
            )

    def _describe(self) -> bytes:
        settings = self._settings
        return orjson.dumps(
            {
                'data_centre': settings.data_centre,
                'host': settings.links.host,
                'port': settings.links.port,
            },
        )

    def _read_peers(self, view: StoreView) -> Iterator[Peer]:
        prefix = self._settings.keys.host_prefix
        for item in view.items:
            name = item.key.removeprefix(prefix)
            if item.content is None or name == self._settings.host:
                continue
            try:
                yield Peer(name=name, **orjson.loads(item.content))
            except (orjson.JSONDecodeError, TypeError) as fault:
                self._telemetry.note(
                    'host_unreadable',
                    peer=name,
                    store_revision=item.revision,
                    reason=str(fault),
                )
