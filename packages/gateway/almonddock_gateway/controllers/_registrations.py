"""The hosts that are registered in the store, also while it may lack them."""

import ipaddress
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta

import orjson

from almonddock_core.model import Clock, get_era
from almonddock_core.quotas import HostPlace
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.store import StoreItem, StoreView
from almonddock_gateway.telemetry import Telemetry

#: The time to live of a registration without a renewal.
REGISTRATION_TTL_S = 15
REGISTRATION_TTL = timedelta(seconds=REGISTRATION_TTL_S)

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Peer:
    """Another host of the tier."""

    name: str
    data_centre: str
    #: The address where it accepts links.
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class QuotaHost:
    """The registration of a host that enforces quotas."""

    place: HostPlace
    #: Whether it grants.
    grants: bool
    #: Whether it may have used its start part within a window; earlier
    #: releases, which have none, do not tell.
    is_starting: bool


class Registrations:
    """The registered hosts as of the last read.

    A store that was restored from a copy may lack hosts that run: they are
    kept until they have registered again, or would have expired.
    """

    def __init__(
        self, settings: GatewaySettings, clock: Clock, telemetry: Telemetry
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._telemetry = telemetry
        self._addresses: dict[str, StoreItem] = {}
        #: The hosts that enforce quotas, by key.
        self.quota_hosts: dict[str, HostPlace] = {}
        #: The other hosts.
        self.peers: frozenset[Peer] = frozenset()
        # The era of the last snapshot, and the keys that it may lack, with the
        # time until which they are believed.
        self._era = 0
        self._unconfirmed: dict[str, timedelta] = {}

    def __contains__(self, key: str) -> bool:
        """Whether a key is registered."""
        return key in self._addresses or key in self.quota_hosts

    def apply_snapshot(self, view: StoreView) -> None:
        """Replaces the hosts with those in the store."""
        era = get_era(view.revision)
        if era > self._era:
            until = self._clock.now() + REGISTRATION_TTL
            self._unconfirmed = dict.fromkeys(self._list_keys(), until)
        self._era = era
        self._drop(self._list_keys() - self._unconfirmed.keys())
        self.apply_changes(view)

    def apply_changes(self, view: StoreView) -> None:
        """Applies added, changed and removed registrations."""
        prefix = self._settings.keys.host_prefix
        for item in view.items:
            self._unconfirmed.pop(item.key, None)
            self._apply_quota_host(item)
            if not item.key.startswith(prefix):
                continue
            if item.content is None:
                self._addresses.pop(item.key, None)
            else:
                self._addresses[item.key] = item
        self._drop_unconfirmed()
        self.peers = frozenset(self._read_peers())

    def _drop_unconfirmed(self) -> None:
        """Drops the hosts that have not registered again in time."""
        now = self._clock.now()
        lapsed = {
            key for key, until in self._unconfirmed.items() if now >= until
        }
        for key in lapsed:
            self._unconfirmed.pop(key)
        self._drop(lapsed)

    def _list_keys(self) -> set[str]:
        return self._addresses.keys() | self.quota_hosts.keys()

    def _drop(self, keys: Iterable[str]) -> None:
        for key in keys:
            self._addresses.pop(key, None)
            self.quota_hosts.pop(key, None)

    def _apply_quota_host(self, item: StoreItem) -> None:
        prefix = self._settings.keys.grantor_prefix
        if not item.key.startswith(prefix):
            return
        self.quota_hosts.pop(item.key, None)
        if item.content is None:
            return
        name = item.key.removeprefix(prefix)
        try:
            quota_host = decode_quota_host(name, item.content)
        except (ValueError, TypeError) as fault:
            self._log_unreadable(name, item, fault)
            return
        self.quota_hosts[item.key] = quota_host.place

    def _read_peers(self) -> Iterator[Peer]:
        prefix = self._settings.keys.host_prefix
        for item in self._addresses.values():
            name = item.key.removeprefix(prefix)
            if item.content is None or name == self._settings.host:
                continue
            try:
                yield _decode_peer(name, item.content)
            except (ValueError, TypeError) as fault:
                self._log_unreadable(name, item, fault)

    def _log_unreadable(
        self, name: str, item: StoreItem, fault: Exception
    ) -> None:
        self._telemetry.log_event(
            'host_unreadable',
            peer=name,
            store_revision=item.revision,
            reason=str(fault),
        )


def decode_quota_host(name: str, content: bytes) -> QuotaHost:
    """Returns a host that enforces quotas.

    Raises:
        ValueError: the registration is not JSON.
        TypeError: a field is missing or has the wrong type.
    """
    found = orjson.loads(content)
    if not isinstance(found, dict):
        raise TypeError('expected an object')
    data_centre = found.get('data_centre')
    if not isinstance(data_centre, str):
        raise TypeError('expected the name of a data centre')
    return QuotaHost(
        HostPlace(name, data_centre),
        grants=found.get('grants') is True,
        is_starting=found.get('starting') is not False,
    )


def _decode_peer(name: str, content: bytes) -> Peer:
    """Returns the host that a registration describes.

    Raises:
        ValueError: the registration is not JSON, or a value is not valid.
        TypeError: a field is missing or unknown, or has the wrong type.
    """
    peer = Peer(name=name, **orjson.loads(content))
    if peer.port.__class__ is not int or not isinstance(peer.data_centre, str):
        raise TypeError('expected a port and the name of a data centre')
    ipaddress.IPv4Address(peer.host)
    if not 0 < peer.port <= MAX_PORT:
        raise ValueError(f'{peer.port} is not a valid port')
    return peer
