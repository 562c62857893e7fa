"""The links of this host to other data centres, to watchers and to homes.

A watcher is a host that reads the store for others of its data centre, a home
one that asks the targets of a group of shards for them.
"""

import asyncio
import itertools
import zlib
from collections import defaultdict
from collections.abc import (
    Callable,
    Collection,
    Container,
    Iterable,
    Sequence,
)
from dataclasses import dataclass, field
from functools import partial

from almonddock_core.news import choose_watchers
from almonddock_core.quotas import CreditQuery, CreditReply
from almonddock_gateway.controllers import Peer
from almonddock_gateway.http import ReplyMemory
from almonddock_gateway.links._homes import Homes
from almonddock_gateway.links._link import PING_AFTER_S, Link
from almonddock_gateway.relays import (
    CountExchange,
    GrantQuery,
    GrantReply,
    Leaving,
    LinkMessage,
    MessageLink,
    RelayCancel,
    RelayQuery,
    RelayReply,
    StoreQuery,
    StoreReply,
)
from almonddock_gateway.telemetry import Telemetry

#: The number of hosts that this host links to in each other data centre.
LINKS_PER_DATA_CENTRE = 2

#: The time without received data after which a link that only credits are
#: asked over is pinged, in seconds. A query without an answer shows sooner that
#: it is dead.
CREDIT_PING_AFTER_S = 2.0

#: The same for a link to a home, which each host has several of.
HOME_PING_AFTER_S = 5.0

#: The timeout for opening a link, and the pause after a failure, in seconds.
DIAL_TIMEOUT_S = 0.5

HandleReply = Callable[[LinkMessage | None], None]


@dataclass(frozen=True, slots=True)
class PeerLinkSettings:
    """What all links of a host share."""

    #: Bounds what they hold.
    memory: ReplyMemory
    #: Names the hosts that credits are asked of.
    list_grantors: Callable[[], Collection[str]] = tuple
    #: The counts of roll-outs that they carry.
    counts: CountExchange = field(default_factory=CountExchange)
    #: Returns the number of groups of shards with a home, none where each host
    #: asks targets itself.
    count_groups: Callable[[], int] = int


class PeerLinks:
    """Keeps links open, and matches replies to queries."""

    def __init__(
        self,
        own_name: str,
        data_centre: str,
        list_peers: Callable[[], Iterable[Peer]],
        telemetry: Telemetry,
        settings: PeerLinkSettings,
    ) -> None:
        """Creates no link yet."""
        self._counts = settings.counts
        self._own_name = own_name
        self._data_centre = data_centre
        self._list_peers = list_peers
        self._telemetry = telemetry
        self._memory = settings.memory
        self._list_grantors = settings.list_grantors
        # Those that are linked to for nothing but credits, or as homes, with
        # the time after which an idle link is pinged.
        self._quiet_peers: dict[Peer, float] = {}
        #: The homes of this data centre.
        self.homes = Homes(own_name, data_centre, settings.count_groups)
        self._links: dict[Peer, Link] = {}
        self._leaving: set[Link] = set()
        self._reply_handlers: dict[tuple[MessageLink, int], HandleReply] = {}
        self._numbers = itertools.count(1)
        self._rotation = itertools.count()
        self._dialling: dict[Peer, asyncio.Task[None]] = {}

    def find_link(self, data_centre: str) -> MessageLink | None:
        """Returns a usable link to a host there, None without one."""
        return self._pick_round_robin(
            [
                link
                for peer, link in self._links.items()
                if peer.data_centre == data_centre
                and peer not in self._quiet_peers
            ],
        )

    def find_home(
        self, group: int, asked: MessageLink | None = None
    ) -> MessageLink | None:
        """Returns a usable link to the home of a group of shards.

        Returns None if this host is its home, if it has none, or without a
        link. With ``asked``, the link to the home that was asked, it is the
        link to the other home.
        """
        for name in self.homes.list_names(group):
            if name == self._own_name and asked is None:
                return None
            link = self.find_link_to(name)
            if link is not None and link is not asked:
                return link
        return None

    def find_any_link(
        self, avoided: Container[MessageLink] = ()
    ) -> MessageLink | None:
        """Returns a usable link to any host, None without one.

        Returns the one that was returned longest ago, and one of those to be
        ``avoided`` only if there is no other.
        """
        usable = [
            peer
            for peer, link in self._links.items()
            if link.usable and link not in self._leaving
        ]
        if not usable:
            return None
        peer = min(usable, key=lambda one: self._links[one] in avoided)
        link = self._links.pop(peer)
        self._links[peer] = link
        return link

    def find_link_to(self, name: str) -> MessageLink | None:
        """Returns a usable link to one host, None without one."""
        for peer, link in self._links.items():
            if peer.name == name and link.usable:
                return None if link in self._leaving else link
        return None

    def find_watcher(self) -> MessageLink | None:
        """Returns a usable link to a watcher, None without one."""
        watchers, is_watcher = self._list_watchers()
        if is_watcher:
            return None
        return self._pick_round_robin(
            [link for peer, link in self._links.items() if peer in watchers],
        )

    def allocate_number(self) -> int:
        """Returns a new query number."""
        return next(self._numbers)

    def send_query(
        self,
        link: MessageLink,
        query: RelayQuery | StoreQuery | CreditQuery | GrantQuery,
        handle: HandleReply,
    ) -> None:
        """Sends a query; ``handle`` gets each reply, or None at link loss.

        Call :meth:`forget` once no further reply is expected.
        """
        self._reply_handlers[(link, query.number)] = handle
        link.send(query)

    def cancel(
        self, link: MessageLink, number: int, parts: Sequence[int]
    ) -> None:
        """Cancels some parts of a query."""
        link.send(RelayCancel(number, tuple(parts)))

    def forget(self, link: MessageLink, number: int) -> None:
        """Ignores further replies to a query."""
        self._reply_handlers.pop((link, number), None)

    def check(self) -> None:
        """Opens, checks and closes links; called several times a second."""
        needed = self._choose_peers()
        if self.homes.update(self._list_peers()):
            self._telemetry.log_event(
                'homes_changed', homes=self.homes.list_preferred()
            )
        self._quiet_peers = {
            peer: ping_after_s
            for names, ping_after_s in (
                (self.homes.names, HOME_PING_AFTER_S),
                (self._list_grantors(), CREDIT_PING_AFTER_S),
            )
            for peer in _select_peers(self._list_peers(), names) - needed
        }
        wanted = needed | self._quiet_peers.keys()
        for peer in wanted:
            if peer not in self._links and peer not in self._dialling:
                dial = asyncio.create_task(self._dial(peer))
                self._dialling[peer] = dial
        for peer, link in self._links.items():
            link.check(self._quiet_peers.get(peer, PING_AFTER_S))
        self._close_unwanted(wanted)

    def _close_unwanted(self, wanted: set[Peer]) -> None:
        """Closes links to hosts that have been replaced, unless in use.

        Registrations expire in an outage of the store, so a host that is no
        longer listed may be healthy. Its link stays open until a link to a
        wanted host of the same data centre is usable.
        """
        served = {
            peer.data_centre
            for peer in wanted - self._quiet_peers.keys()
            if peer in self._links and self._links[peer].usable
        }
        busy = {link for link, _ in self._reply_handlers}
        for peer, link in tuple(self._links.items()):
            replaced = peer not in wanted and peer.data_centre in served
            if replaced and link not in busy:
                link.close()

    def _pick_round_robin(self, links: list[Link]) -> Link | None:
        usable = [
            link for link in links if link.usable and link not in self._leaving
        ]
        turn = next(self._rotation)
        return usable[turn % len(usable)] if usable else None

    def _choose_peers(self) -> set[Peer]:
        """Returns the watchers and some hosts of each other data centre.

        Each host ranks these differently, so that links are spread evenly.
        Watchers link to each other: the store may turn one of them away.
        """
        rank = partial(_rank_peer, self._own_name)
        by_data_centre: dict[str, list[Peer]] = defaultdict(list)
        for peer in self._list_peers():
            if peer.data_centre != self._data_centre:
                by_data_centre[peer.data_centre].append(peer)
        chosen = {
            peer
            for peers in by_data_centre.values()
            for peer in sorted(peers, key=rank)[:LINKS_PER_DATA_CENTRE]
        }
        watchers, _ = self._list_watchers()
        return chosen | watchers

    def _list_watchers(self) -> tuple[set[Peer], bool]:
        """Returns the watchers besides this host, and whether it is one."""
        own = (self._own_name, self._data_centre)
        return _select_watchers(own, self._list_peers())

    async def _dial(self, peer: Peer) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                (
                    _,
                    link,
                ) = await asyncio.get_running_loop().create_connection(
                    lambda: Link(
                        self._receive,
                        self._forget_link,
                        self._memory,
                        self._counts,
                    ),
                    peer.host,
                    peer.port,
                )
        except (OSError, TimeoutError):
            await asyncio.sleep(DIAL_TIMEOUT_S)
        else:
            self._links[peer] = link
            link.ping()
            self._telemetry.log_event('link_opened', peer=peer.name)
        finally:
            self._dialling.pop(peer, None)

    def _receive(self, link: Link, message: LinkMessage) -> None:
        if isinstance(message, Leaving):
            self._leaving.add(link)
        elif isinstance(
            message, RelayReply | StoreReply | CreditReply | GrantReply
        ):
            handle = self._reply_handlers.get((link, message.number))
            if handle is not None:
                handle(message)

    def _forget_link(self, link: Link) -> None:
        self._leaving.discard(link)
        for peer, known in tuple(self._links.items()):
            if known is link:
                del self._links[peer]
                self._telemetry.log_event(
                    'link_closed', peer=peer.name, fault=link.fault
                )
        lost = [key for key in self._reply_handlers if key[0] is link]
        for key in lost:
            self._reply_handlers.pop(key)(None)


def _select_peers(
    peers: Iterable[Peer], names: Collection[str]
) -> frozenset[Peer]:
    if not names:
        return frozenset()
    return frozenset(peer for peer in peers if peer.name in names)


def _select_watchers(
    own: tuple[str, str], peers: Iterable[Peer]
) -> tuple[set[Peer], bool]:
    """Returns the watchers besides this host, and whether it is one.

    ``own`` is its name and its data centre.
    """
    own_name, data_centre = own
    here = {
        peer.name: peer for peer in peers if peer.data_centre == data_centre
    }
    chosen = choose_watchers((name, data_centre) for name in (own_name, *here))
    return {here[name] for name in chosen if name in here}, own_name in chosen


def _rank_peer(own_name: str, peer: Peer) -> int:
    return zlib.crc32(f'{own_name} {peer.name}'.encode())
