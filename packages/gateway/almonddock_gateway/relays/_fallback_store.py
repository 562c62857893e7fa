"""Reads the store through other hosts.

Most hosts of a large data centre don't follow the store: they read it through
a watcher, a host that does, and directly if no watcher answers. The store may
also refuse some hosts and serve others: a host without updates would send its
callers' requests to targets that are gone, so it reads through its peers.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace
from datetime import timedelta
from weakref import WeakSet

from almonddock_core.model import Clock, get_era, join_revision, split_revision
from almonddock_core.news import ReadSource
from almonddock_gateway.relays._loans import LoanExchange
from almonddock_gateway.relays._messages import (
    LinkMessage,
    MessageLink,
    StoreOutcome,
    StoreQuery,
    StoreReply,
)
from almonddock_gateway.relays._router import (
    CostExchange,
    LinkDirectory,
    RelayRouter,
)
from almonddock_gateway.relays._store_cache import StoreCache
from almonddock_gateway.store import (
    CallCutError,
    HistoryLostError,
    Store,
    StoreLostError,
    StoreView,
    read_dated,
)
from almonddock_gateway.supervision import run_until_done
from almonddock_gateway.telemetry import Telemetry

#: The timeout of a peer, counted from the end of the query's wait, in seconds.
PEER_TIMEOUT_S = 1.0

#: How long a watcher waits for changes, and its timeout after that, in seconds.
#: Together with the watcher's own pause they leave time to read the store
#: directly within ``max_propagation_time`` if the watcher hangs.
WATCHER_WAIT_S = 0.5
WATCHER_WAIT = timedelta(seconds=WATCHER_WAIT_S)
WATCHER_TIMEOUT_S = 0.5

#: The pause between probes of a store that does not answer, in seconds.
PROBE_PAUSE_S = 1.0

#: The most queries of one host in progress; a host has one for each prefix that
#: it follows.
MAX_QUERIES_A_LINK = 8

#: The most queries in progress that are passed on to the store, each of which
#: takes a connection to it.
MAX_DIRECT_READS = 32

#: The longest wait for changes on behalf of another host, in seconds.
MAX_WAIT_S = 30
MAX_WAIT = timedelta(seconds=MAX_WAIT_S)

NO_VIEW = StoreView((), 0)

#: Where the age of knowledge is bounded, the share of the bound from which on a
#: watcher's answer is too old and the store is read instead.
MAX_AGE_SHARE = 0.6

#: Where it is bounded, how long no watcher is asked after one that was of no
#: use: waiting for it makes the knowledge older by a second each time.
WATCHER_REST = timedelta(seconds=3)


class FallbackStore:
    """A store whose reads may go through other hosts."""

    def __init__(
        self,
        store: Store,
        router: RelayRouter,
        probe_prefix: str,
        telemetry: Telemetry,
        clock: Clock,
        loans: LoanExchange | None = None,
    ) -> None:
        """Uses ``probe_prefix``, cheap to read, to probe a lost store.

        ``clock`` dates what was read.
        """
        self._store = store
        self._router = router
        self._probe_prefix = probe_prefix
        self._telemetry = telemetry
        self._clock = clock
        #: The age that knowledge may reach; None if it is not bounded.
        self.age_bound: timedelta | None = None
        # Until then no watcher is asked.
        self._watchers_rest_until = timedelta()
        # The newest era of the store that was read.
        self._era = 0
        self._loans = LoanExchange() if loans is None else loans
        self._probing: asyncio.Task[None] | None = None
        # Links over which no answer came; all others are asked before them.
        self._unhelpful_links: WeakSet[MessageLink] = WeakSet()
        #: Where the last answer came from; NONE before the first one, and
        #: after the store or a watcher failed.
        self.source = ReadSource.NONE

    async def read_prefix(self, prefix: str) -> StoreView:
        """Returns all items under a prefix."""
        return await self._read(
            lambda: self._store.read_prefix(prefix),
            StoreQuery(0, prefix, None, timedelta()),
        )

    async def read_prefix_stale(self, prefix: str) -> StoreView:
        """Returns all items under a prefix; they may be seconds old."""
        return await self._store.read_prefix_stale(prefix)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: timedelta,
    ) -> StoreView:
        """Returns the changes after a revision."""
        return await self._read(
            lambda: self._store.watch(prefix, after, wait),
            StoreQuery(0, prefix, after, wait),
        )

    async def grant_lease(self, time_to_live: timedelta) -> int:
        """Returns a new lease."""
        return await self._store.grant_lease(time_to_live)

    async def renew_lease(self, lease: int) -> None:
        """Renews a lease."""
        await self._store.renew_lease(lease)

    async def put(
        self,
        key: str,
        content: bytes,
        lease: int,
        expected: int | None = None,
    ) -> int:
        """Writes a key that is removed when the lease ends."""
        return await self._store.put(key, content, lease, expected)

    async def remove(self, key: str, expected: int) -> None:
        """Removes a key if it has the expected revision."""
        await self._store.remove(key, expected)

    async def put_if(
        self, expected: Mapping[str, int], contents: Mapping[str, bytes]
    ) -> int | None:
        """Writes all keys if others have the expected revisions."""
        return await self._store.put_if(expected, contents)

    async def _read(
        self,
        read_directly: Callable[[], Awaitable[StoreView]],
        query: StoreQuery,
    ) -> StoreView:
        """Tries a watcher, then the store, then any host with a link.

        ``query`` gets its number when it is sent.
        """
        view = await self._read_through_watcher(query)
        if view is None and self._probing is None:
            try:
                view = await self._read_directly(read_directly)
            except StoreLostError as lost:
                self._start_probing(lost)
            else:
                self.source = ReadSource.STORE
        if view is None:
            view = await self._read_through_peer(query)
            self.source = ReadSource.PEER
        self._era = max(get_era(view.revision), self._era)
        return view

    async def _read_directly(
        self, read: Callable[[], Awaitable[StoreView]]
    ) -> StoreView:
        """Reads the store, where age counts again if the call is cut.

        The store may cut watches that wait. To read through peers takes longer
        than a second call, and they may have been cut as well.
        """
        try:
            return await read_dated(read, self._clock)
        except CallCutError:
            if self.age_bound is None:
                raise
        return await read_dated(read, self._clock)

    def _start_probing(self, lost: StoreLostError) -> None:
        self.source = ReadSource.NONE
        if self._router.links is None:
            raise lost
        if self._probing is None:
            self._telemetry.log_event('store_shared', reason=lost.message)
            self._unhelpful_links.clear()
            self._probing = asyncio.create_task(
                run_until_done('probing', self._probe, self._telemetry)
            )

    async def _probe(self) -> None:
        """Probes the store until it answers this host again."""
        while True:
            await asyncio.sleep(PROBE_PAUSE_S)
            try:
                await self._store.read_prefix_stale(self._probe_prefix)
            except StoreLostError:
                # The loss was logged when probing started.
                continue
            self._telemetry.log_event('store_direct')
            self._probing = None
            return

    async def _read_through_watcher(
        self, query: StoreQuery
    ) -> StoreView | None:
        """Returns a watcher's answer, None if no watcher gives one."""
        if self._clock.now() < self._watchers_rest_until:
            return None
        links = self._router.links
        link = links.find_watcher() if links is not None else None
        if links is None or link is None:
            self._note_watcher_lost('no usable link to a watcher')
            return None
        costs = self._router.costs
        loans = self._loans
        asked = replace(
            query,
            wait=WATCHER_WAIT,
            costs=costs.list_observed(),
            offer=loans.make_offer(link),
        )
        try:
            reply, view = await self._query_host(link, asked, WATCHER_TIMEOUT_S)
            self._check_age(view)
        except StoreLostError as lost:
            self._note_watcher_lost(lost.message)
            if self.age_bound is not None:
                self._watchers_rest_until = self._clock.now() + WATCHER_REST
            return None
        costs.record(reply.costs)
        loans.record_clock(link, reply.clock)
        if self.source is not ReadSource.WATCHER:
            self.source = ReadSource.WATCHER
            self._telemetry.log_event('store_followed_by_watcher')
        return view

    def _note_watcher_lost(self, reason: str) -> None:
        if self.source is ReadSource.WATCHER:
            self.source = ReadSource.NONE
            self._telemetry.log_event('store_followed_directly', reason=reason)

    async def _read_through_peer(self, query: StoreQuery) -> StoreView:
        links = self._router.links
        unhelpful = self._unhelpful_links
        link = links.find_any_link(unhelpful) if links is not None else None
        if links is None or link is None:
            raise StoreLostError('no usable link to another host')
        if link in unhelpful:
            # None of the others helped either.
            unhelpful.clear()
        if self.age_bound is not None:
            query = replace(query, wait=min(query.wait, WATCHER_WAIT))
        try:
            _, view = await self._query_host(link, query, PEER_TIMEOUT_S)
        except StoreLostError:
            unhelpful.add(link)
            raise
        return view

    async def _query_host(
        self, link: MessageLink, query: StoreQuery, timeout_s: float
    ) -> tuple[StoreReply, StoreView]:
        """Returns another host's answer, and the view in it with its date.

        The date counts from the send of the query: what the reply says of its
        age then makes the view older than it is, never younger.
        """
        links = self._router.links
        if links is None:
            raise StoreLostError('no links to other hosts')
        sent = self._clock.now()
        reply = await _exchange(links, link, query, timeout_s)
        as_of = None if reply.view_age is None else sent - reply.view_age
        view = _read_view(reply)
        known = max(self._era, get_era(query.after or 0))
        # An earlier release may answer from what the store has lost.
        may_be_lost = known > 0 and not reply.knows_eras
        if may_be_lost or get_era(view.revision) < known:
            raise StoreLostError(
                f'another host has not read era {known} of the store yet'
            )
        return reply, replace(view, as_of=as_of)

    def _check_age(self, view: StoreView) -> None:
        """Raises an error if a watcher knows too little to rely on it.

        A watcher of an earlier release does not say what it knows.
        """
        bound = self.age_bound
        if bound is None:
            return
        oldest = self._clock.now() - bound * MAX_AGE_SHARE
        if view.as_of is None or view.as_of < oldest:
            raise StoreLostError('the watcher has not read the store lately')


async def _exchange(
    links: LinkDirectory,
    link: MessageLink,
    query: StoreQuery,
    timeout_s: float,
) -> StoreReply:
    """Returns another host's answer; the timeout starts after the wait."""
    numbered = replace(query, number=links.allocate_number())
    answered: asyncio.Future[LinkMessage | None] = (
        asyncio.get_running_loop().create_future()
    )

    def set_reply(message: LinkMessage | None) -> None:
        if not answered.done():
            answered.set_result(message)

    links.send_query(link, numbered, set_reply)
    try:
        async with asyncio.timeout(query.wait.total_seconds() + timeout_s):
            reply = await answered
    except TimeoutError as late:
        raise StoreLostError('another host did not answer in time') from late
    finally:
        links.forget(link, numbered.number)
    if not isinstance(reply, StoreReply):
        raise StoreLostError('the link to another host was lost')
    return reply


class StoreServer:
    """Reads the store for other hosts."""

    def __init__(
        self,
        store: Store,
        cache: StoreCache,
        clock: Clock,
        costs: CostExchange | None = None,
        loans: LoanExchange | None = None,
    ) -> None:
        """Answers from ``cache`` if it is fresh, else from ``store``.

        ``clock`` dates the answers, like those in ``cache``.

        Gathers in ``costs`` what the hosts that ask have observed of targets,
        and tells them what the others have.
        """
        self._store = store
        self._cache = cache
        self._clock = clock
        self._costs = CostExchange() if costs is None else costs
        self._loans = LoanExchange() if loans is None else loans
        self._tasks: dict[MessageLink, set[asyncio.Task[None]]] = {}
        self._direct_reads = 0

    def receive(self, link: MessageLink, message: LinkMessage) -> None:
        """Answers store queries; ignores other messages."""
        if not isinstance(message, StoreQuery):
            return
        tasks = self._tasks.setdefault(link, set())
        if len(tasks) >= MAX_QUERIES_A_LINK:
            link.send(StoreReply(message.number, StoreOutcome.LOST, NO_VIEW))
            return
        self._costs.record(message.costs)
        task = asyncio.create_task(self._answer(link, message))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def forget(self, link: MessageLink) -> None:
        """Ends the queries of a host whose link has closed."""
        for task in tuple(self._tasks.pop(link, ())):
            task.cancel()

    async def _answer(self, link: MessageLink, query: StoreQuery) -> None:
        arrived = self._clock.now()
        outcome = StoreOutcome.ANSWERED
        view = NO_VIEW
        try:
            view = await self._read(query)
        except StoreLostError:
            # The host that sent the query logs it.
            outcome = StoreOutcome.LOST
        except HistoryLostError:
            outcome = StoreOutcome.HISTORY_LOST
        age = None if view.as_of is None else arrived - view.as_of
        costs = self._costs.list_known()
        clock = self._loans.record_offer(link, query.offer)
        link.send(StoreReply(query.number, outcome, view, age, costs, clock))

    async def _read(self, query: StoreQuery) -> StoreView:
        wait = min(query.wait, MAX_WAIT)
        after = query.after
        if after is not None and not query.knows_eras:
            after = join_revision(self._cache.era, split_revision(after)[1])
        if self._can_use_cache(query.prefix, after):
            return await self._cache.read(after, wait)
        if self._direct_reads >= MAX_DIRECT_READS:
            raise StoreLostError('too many queries of other hosts')
        self._direct_reads += 1
        try:
            return await self._read_directly(query.prefix, after, wait)
        finally:
            self._direct_reads -= 1

    def _can_use_cache(self, prefix: str, after: int | None) -> bool:
        """Whether the cache is as new as what the host that asks knows."""
        if not self._cache.is_fresh() or prefix != self._cache.prefix:
            return False
        return get_era(after or 0) <= self._cache.era

    async def _read_directly(
        self, prefix: str, after: int | None, wait: timedelta
    ) -> StoreView:
        def read() -> Awaitable[StoreView]:
            if after is None:
                return self._store.read_prefix(prefix)
            return self._store.watch(prefix, after, wait)

        return await read_dated(read, self._clock)


def _read_view(reply: StoreReply) -> StoreView:
    if reply.outcome is StoreOutcome.LOST:
        raise StoreLostError('another host got no answer from the store either')
    if reply.outcome is StoreOutcome.HISTORY_LOST:
        raise HistoryLostError('another host found that the history is lost')
    return reply.view
