"""The hosts of the tier, registered in the store under leases.

Limits for all hosts together are divided by the number of hosts, so a host
must not underestimate that number. A host that cannot read the store keeps
the last number.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import orjson

from almonddock_core.model import Clock, get_era
from almonddock_core.news import WATCHERS_PER_DATA_CENTRE
from almonddock_core.quotas import HostPlace
from almonddock_gateway.controllers._registrations import (
    REGISTRATION_TTL,
    Peer,
    Registrations,
    decode_quota_host,
)
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.store import (
    LeaseEndedError,
    Store,
    StoreItem,
    StoreLostError,
    StoreView,
)
from almonddock_gateway.telemetry import Telemetry

#: How long a stopping host waits for its registration to be removed. It expires
#: by itself if the store does not answer.
DEREGISTRATION_TIMEOUT_MS = 200
DEREGISTRATION_TIMEOUT = timedelta(milliseconds=DEREGISTRATION_TIMEOUT_MS)

#: The pause between two renewals.
RENEWAL_INTERVAL = timedelta(seconds=5)

#: The pause between two checks whether what is registered has changed.
CHECK_INTERVAL_S = 1
CHECK_INTERVAL = timedelta(seconds=CHECK_INTERVAL_S)

#: The number of hosts is the largest one read within this time: registrations
#: expire in an outage of the store, and a host that underestimates the number
#: sends more than its share.
HOST_COUNT_WINDOW_S = 20
HOST_COUNT_WINDOW = timedelta(seconds=HOST_COUNT_WINDOW_S)

#: The pause after a call that failed, or a registration that ended.
RETRY_PAUSE = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class GrantorRegistration:
    """How a host that enforces quotas registers beside its address."""

    #: Whether it has read which hosts there are, and so whether it grants.
    knows_hosts: Callable[[], bool]
    #: Whether it grants.
    is_grantor: Callable[[], bool]
    #: Whether it may have used its start part within a window.
    is_starting: Callable[[], bool]
    #: Called once if it granted before its process started.
    note_earlier_grants: Callable[[], None]
    #: Called once if it granted, with whether it may use its start part.
    note_start_part: Callable[[bool], None]


class HostController:
    """Registers this host, and tracks the number and addresses of all."""

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
        # When the lease was granted or last renewed.
        self._renewed_at = timedelta()
        # The keys that this process has registered, with their revisions.
        self._own_keys: dict[str, int] = {}
        #: The number of hosts including this one.
        self.count = 1
        self._known = Registrations(settings, clock, telemetry)
        self._counts: deque[tuple[timedelta, int]] = deque()
        #: How this host registers for quotas; None if it enforces none.
        self.grantor: GrantorRegistration | None = None
        self._has_read_own = False
        # Whether an earlier process of this host granted.
        self._has_granted_before = False
        self._has_start_part = False
        self._told_grantor: tuple[bool, bool] | None = None

    @property
    def peers(self) -> frozenset[Peer]:
        """The other hosts as of the last read."""
        return self._known.peers

    @property
    def has_followers(self) -> bool:
        """Whether hosts of this data centre read the store through watchers."""
        here = self._settings.data_centre
        others = sum(peer.data_centre == here for peer in self.peers)
        return others >= WATCHERS_PER_DATA_CENTRE

    @property
    def quota_hosts(self) -> tuple[HostPlace, ...]:
        """The hosts that enforce quotas, this one included."""
        return tuple(self._known.quota_hosts.values())

    async def run(self) -> None:
        """Keeps this host registered until cancelled."""
        while True:
            pause = CHECK_INTERVAL
            try:
                await self.register()
            except StoreLostError as lost:
                self._telemetry.log_event(
                    'registration_failed', reason=lost.message
                )
                pause = RETRY_PAUSE
            except LeaseEndedError:
                self._telemetry.log_event(
                    'registration_ended', lease=self._lease
                )
                self._lease = None
                pause = RETRY_PAUSE
            await asyncio.sleep(pause.total_seconds())

    async def register(self) -> None:
        """Renews the registration if that is due, and tells what has changed.

        Raises:
            StoreLostError: the store did not answer, or refused a call.
            LeaseEndedError: the registration has expired.
        """
        if self.grantor is not None and not self._has_read_own:
            await self._read_own(self.grantor)
        lease = self._lease
        if lease is None:
            lease = await self._register_address()
            self._lease = lease
            self._told_grantor = None
        elif self._clock.now() - self._renewed_at >= RENEWAL_INTERVAL:
            await self._store.renew_lease(lease)
            self._renewed_at = self._clock.now()
        await self._register_grantor(lease)

    def apply_snapshot(self, view: StoreView) -> None:
        """Replaces the known hosts with those in the store."""
        self._forget_own_keys(get_era(view.revision))
        self._known.apply_snapshot(view)
        self._note_read(view)

    def apply_changes(self, view: StoreView) -> None:
        """Applies added, changed and removed registrations."""
        self._known.apply_changes(view)
        self._note_read(view)

    async def deregister(self) -> None:
        """Removes this host's address, so that others stop counting it.

        What it told of quotas is left to expire, as after a kill: the next
        process of this host may grant only if it finds that this one did.
        """
        registered = self._own_keys.get(self._address_key)
        self._own_keys = {}
        if registered is None:
            return
        try:
            async with asyncio.timeout(DEREGISTRATION_TIMEOUT.total_seconds()):
                await self._store.remove(self._address_key, registered)
        except (StoreLostError, TimeoutError) as lost:
            self._telemetry.log_event(
                'deregistration_failed', reason=repr(lost)
            )

    def _note_read(self, view: StoreView) -> None:
        self._update_count(view.revision)
        if not view.has_more:
            self._check_own_keys(view.revision)

    def _update_count(self, revision: int) -> None:
        """Updates the count; includes this host even if not listed yet."""
        before = self.count
        now = self._clock.now()
        self._counts.append((now, len(self.peers) + 1))
        while now - self._counts[0][0] > HOST_COUNT_WINDOW:
            self._counts.popleft()
        self.count = max(count for _, count in self._counts)
        if self.count != before:
            self._telemetry.log_event(
                'host_count_changed',
                hosts=self.count,
                before=before,
                store_revision=revision,
            )

    async def _read_own(self, grantor: GrantorRegistration) -> None:
        """Reads what an earlier process of this host has registered."""
        item = await self._find_own()
        self._has_read_own = True
        if item is None or item.content is None:
            self._telemetry.log_event('quota_registration_missing')
            return
        try:
            earlier = decode_quota_host(item.key, item.content)
        except (ValueError, TypeError):
            return
        self._telemetry.log_event(
            'quota_registration_found',
            store_revision=item.revision,
            grants=earlier.grants,
            starting=earlier.is_starting,
        )
        self._has_granted_before = earlier.grants
        if earlier.grants:
            grantor.note_earlier_grants()
            self._has_start_part = not earlier.is_starting
            if earlier.is_starting:
                grantor.note_start_part(False)

    async def _find_own(self) -> StoreItem | None:
        own = f'{self._settings.keys.grantor_prefix}{self._settings.host}'
        view = await self._store.read_prefix(own)
        return next((item for item in view.items if item.key == own), None)

    async def _register_grantor(self, lease: int) -> None:
        """Tells what this host grants, if that has changed."""
        if self.grantor is None:
            return
        is_grantor = self.grantor.is_grantor()
        if not self.grantor.knows_hosts():
            # What an earlier process has told may still hold.
            is_grantor = self._has_granted_before
        is_starting = self.grantor.is_starting()
        if (is_grantor, is_starting) == self._told_grantor:
            return
        settings = self._settings
        content = {
            'data_centre': settings.data_centre,
            'grants': is_grantor,
            'starting': is_starting,
        }
        expected = None
        if not is_starting:
            # A write that the store executes late must not replace what a
            # later process of this host has registered.
            item = await self._find_own()
            expected = 0 if item is None else item.revision
        key = f'{settings.keys.grantor_prefix}{settings.host}'
        self._own_keys[key] = await self._store.put(
            key, orjson.dumps(content), lease, expected
        )
        self._told_grantor = (is_grantor, is_starting)
        self._telemetry.log_event(
            'quota_registered', grants=is_grantor, starting=is_starting
        )
        if self._has_start_part and is_starting:
            # Not before the store tells the next process of it.
            self._has_start_part = False
            self.grantor.note_start_part(True)

    @property
    def _address_key(self) -> str:
        return f'{self._settings.keys.host_prefix}{self._settings.host}'

    async def _register_address(self) -> int:
        """Registers under a new lease, which is returned."""
        lease = await self._store.grant_lease(REGISTRATION_TTL)
        self._renewed_at = self._clock.now()
        self._own_keys[self._address_key] = await self._store.put(
            self._address_key,
            _encode_registration(self._settings),
            lease,
        )
        return lease

    def _forget_own_keys(self, era: int) -> None:
        """Registers again if a later era of the store has begun.

        The lease of the earlier one may belong to another host now.
        """
        outdated = [
            key
            for key, written in self._own_keys.items()
            if get_era(written) < era
        ]
        if not outdated:
            return
        self._telemetry.log_event(
            'registration_outdated', keys=outdated, era=era
        )
        for key in outdated:
            self._own_keys.pop(key)
        if self._address_key in outdated:
            self._lease = None

    def _check_own_keys(self, revision: int) -> None:
        """Registers again if the store has lost a key of this process.

        A write of an earlier process that the store executes late attaches the
        key to the lease of that process, and the key ends with it.
        """
        lost = [
            key
            for key, written in self._own_keys.items()
            if revision >= written and key not in self._known
        ]
        if lost:
            self._telemetry.log_event(
                'registration_lost', keys=lost, store_revision=revision
            )
            self._own_keys = {}
            self._lease = None


def _encode_registration(settings: GatewaySettings) -> bytes:
    return orjson.dumps(
        {
            'data_centre': settings.data_centre,
            'host': settings.links.host,
            'port': settings.links.port,
        },
    )
