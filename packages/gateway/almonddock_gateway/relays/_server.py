"""Runs queries on targets of this data centre for hosts of others."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.dispatch import (
    Failure,
    ReplyKind,
    TargetReply,
    find_threshold,
    merge_records,
)
from almonddock_core.memory import Candidate, HostMemory, PartLimits
from almonddock_core.model import Clock
from almonddock_core.routing import Costs, KnownTarget, TargetTable
from almonddock_gateway.http import HttpReply, ReplyMatch
from almonddock_gateway.relays._loans import LoanExchange
from almonddock_gateway.relays._messages import (
    GrantQuery,
    GrantReply,
    LinkMessage,
    MessageLink,
    PartFailure,
    RelayCancel,
    RelayQuery,
    RelayReply,
)
from almonddock_gateway.relays._router import CostExchange
from almonddock_gateway.settings import HeaderNames
from almonddock_gateway.targets import (
    TargetAttempt,
    TargetPool,
    TargetPools,
    format_attempt,
    match_reply,
    read_reply,
)

#: A host that has not run for this long was paused, or had no processor time.
#: Queries that it then reads may have waited as long, and their callers may
#: have left: the deadlines that targets would get are too late.
STALL_MS = 300
STALL = timedelta(milliseconds=STALL_MS)

#: Replies that come after the first message are gathered for this share of its
#: delay: each message takes the host that reads it longer than one more part.
GATHER_SHARE = 0.1

#: What a sub-query takes besides its request, in bytes.
PART_BYTES = 0x800

#: The most bytes of the sub-queries in progress; further queries are refused,
#: and their sender asks the targets itself.
MAX_RELAYED_BYTES = 0x2000000


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """The dependencies that all relayed queries share."""

    names: HeaderNames
    targets: TargetTable
    pools: TargetPools
    clock: Clock
    costs: CostExchange = field(default_factory=CostExchange)
    loans: LoanExchange = field(default_factory=LoanExchange)


@dataclass(slots=True)
class _SubQuery:
    """One sub-query, with what this host learns of its target by it."""

    target: KnownTarget
    pool: TargetPool
    #: When it was handed to the pool, or sent.
    started: timedelta
    typical_latency: timedelta
    attempt: TargetAttempt | None = None

    def begin(self) -> None:
        """Counts the sub-query as in flight."""
        self.target.health.in_flight += 1

    def end(
        self, outcome: TargetReply | Failure | None, now: timedelta
    ) -> None:
        """Records an outcome; None if the sub-query was cancelled."""
        health = self.target.health
        health.in_flight -= 1
        slowness = 1.0
        if self.typical_latency:
            slowness = (now - self.started) / self.typical_latency
        if outcome is None:
            health.observe_cancellation(slowness, now)
        elif isinstance(outcome, Failure):
            if outcome is not Failure.WITHDRAWN:
                health.observe_connection_failure(now)
        elif outcome.kind is ReplyKind.SUCCESS:
            health.observe_reply(slowness, now)
        else:
            health.observe_failure(now)
            if outcome.kind is ReplyKind.MISDIRECTED:
                self.target.replaced = True


@dataclass(slots=True)
class _RelayedQuery:
    """The state of one query in progress."""

    link: MessageLink
    query: RelayQuery
    arrived: timedelta
    #: Parts without an outcome yet.
    pending: dict[int, _SubQuery] = field(default_factory=dict)
    #: Outcomes that are not sent yet.
    replies: dict[int, tuple[TargetReply, timedelta]] = field(
        default_factory=dict,
    )
    failures: list[tuple[int, PartFailure]] = field(default_factory=list)
    #: Whether ``flush_after`` has passed: outcomes are then gathered for a
    #: short time only.
    flushed: bool = False
    #: Whether outcomes are being gathered.
    gathering: bool = False
    #: The greatest records sent so far.
    sent_records: bytes = b''

    @property
    def size(self) -> int:
        """The bytes that its sub-queries take."""
        request = len(self.query.head) + len(self.query.body)
        return len(self.query.targets) * (PART_BYTES + request)

    def merge(self) -> bytes:
        """Returns the records to send: those that may be in the answer."""
        top = self.query.top
        threshold = max(
            self.query.threshold, find_threshold(self.sent_records, top)
        )
        bodies = (reply.body for reply, _ in self.replies.values())
        merged = merge_records(bodies, top, threshold)
        self.sent_records = merge_records((self.sent_records, merged), top)
        return merged


class RelayServer:
    """Runs the queries that arrive over links."""

    def __init__(self, settings: RelaySettings, memory: HostMemory) -> None:
        self._settings = settings
        self._running: dict[tuple[MessageLink, int], _RelayedQuery] = {}
        #: The bytes that all queries in progress take.
        self.held = 0
        self._share = memory.register(
            self, PartLimits('relayed_queries', MAX_RELAYED_BYTES)
        )
        self._alive_at = settings.clock.now()
        #: The costs that were last sent over each link.
        self._sent_costs: dict[MessageLink, Costs] = {}

    @property
    def busy(self) -> bool:
        """Whether a query of another host is in progress."""
        return bool(self._running)

    def find_candidate(self) -> Candidate | None:
        """Returns nothing: queries in progress end by themselves."""

    def record_alive(self) -> None:
        """Records that this host runs; called a few times within a stall."""
        self._alive_at = self._settings.clock.now()

    def receive(self, link: MessageLink, message: LinkMessage) -> None:
        """Starts a query, or cancels some parts of one."""
        if isinstance(message, RelayQuery):
            if self._settings.clock.now() - self._alive_at > STALL:
                _refuse(link, message)
            else:
                self._start(link, message)
        elif isinstance(message, RelayCancel):
            relayed = self._running.get((link, message.number))
            if relayed is not None:
                self._cancel(relayed, message.parts)
        elif isinstance(message, GrantQuery):
            granted = self._settings.loans.grant(message.services)
            link.send(GrantReply(message.number, granted))

    def forget(self, link: MessageLink) -> None:
        """Cancels the queries of a host whose link has closed."""
        self._sent_costs.pop(link, None)
        for relayed in tuple(self._running.values()):
            if relayed.link is link:
                self._cancel(relayed, tuple(relayed.pending))
                self._end(relayed)

    def _start(self, link: MessageLink, query: RelayQuery) -> None:
        relayed = _RelayedQuery(link, query, self._settings.clock.now())
        is_repeated = (link, query.number) in self._running
        if is_repeated or not self._share.has_room(relayed.size):
            _refuse(link, query)
            return
        self._running[(link, query.number)] = relayed
        self.held += relayed.size
        for part, target_id in enumerate(query.targets):
            self._send_to_target(relayed, part, target_id)
        self._send_if_due(relayed)
        if not relayed.pending:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            query.flush_after.total_seconds(),
            self._flush,
            relayed,
        )
        loop.call_later(
            query.remaining.total_seconds(),
            self._expire,
            relayed,
        )

    def _send_to_target(
        self, relayed: _RelayedQuery, part: int, target_id: str
    ) -> None:
        settings = self._settings
        now = settings.clock.now()
        target = settings.targets.find_usable(target_id, now)
        if target is None or target.health.unreachable:
            relayed.failures.append((part, PartFailure.UNSENT))
            return
        query = relayed.query
        give_up = relayed.arrived + query.remaining
        pool = settings.pools.get(target)
        sub_query = _SubQuery(target, pool, now, query.typical_latency)

        def encode() -> bytes:
            sub_query.started = settings.clock.now()
            left = give_up - sub_query.started
            head = format_attempt(query.head, target_id, left, settings.names)
            return head + query.body

        def receive(raw: HttpReply) -> ReplyMatch:
            match = match_reply(raw, query.attempt_id, settings.names)
            if match is ReplyMatch.ACCEPTED:
                reply = read_reply(raw, settings.names)
                self._record_reply(relayed, part, reply)
            return match

        def fail(failure: Failure) -> None:
            self._record_failure(relayed, part, failure)

        attempt = TargetAttempt(
            encode,
            receive,
            fail,
            fresh_only=False,
            priority=query.priority,
            turn=_find_turn(relayed),
        )
        sub_query.attempt = attempt
        sub_query.begin()
        relayed.pending[part] = sub_query
        pool.submit(attempt)

    def _record_reply(
        self,
        relayed: _RelayedQuery,
        part: int,
        reply: TargetReply,
    ) -> None:
        sub_query = relayed.pending.pop(part, None)
        if sub_query is None:
            return
        now = self._settings.clock.now()
        sub_query.end(reply, now)
        if reply.kind is ReplyKind.SUCCESS:
            relayed.replies[part] = (reply, now - sub_query.started)
        else:
            relayed.failures.append((part, PartFailure[reply.kind.name]))
        self._send_if_due(relayed)

    def _record_failure(
        self,
        relayed: _RelayedQuery,
        part: int,
        failure: Failure,
    ) -> None:
        sub_query = relayed.pending.pop(part, None)
        if sub_query is not None:
            sub_query.end(failure, self._settings.clock.now())
            is_lost = failure is Failure.LOST
            part_failure = PartFailure.LOST if is_lost else PartFailure.UNSENT
            relayed.failures.append((part, part_failure))
            self._send_if_due(relayed)

    def _cancel(self, relayed: _RelayedQuery, parts: tuple[int, ...]) -> None:
        """Cancels parts, and drops their replies that are not sent yet."""
        for part in parts:
            relayed.replies.pop(part, None)
            sub_query = relayed.pending.pop(part, None)
            if sub_query is not None and sub_query.attempt is not None:
                sub_query.end(None, self._settings.clock.now())
                sub_query.pool.cancel(sub_query.attempt)
        self._send_if_due(relayed)

    def _flush(self, relayed: _RelayedQuery) -> None:
        self._send(relayed)
        relayed.flushed = True

    def _expire(self, relayed: _RelayedQuery) -> None:
        """Cancels the remaining parts when the request is given up."""
        self._cancel(relayed, tuple(relayed.pending))

    def _send_if_due(self, relayed: _RelayedQuery) -> None:
        """Sends the outcomes after a failure, a flush or the last outcome."""
        if relayed.failures or not relayed.pending:
            self._send(relayed)
        elif relayed.flushed and relayed.replies and not relayed.gathering:
            relayed.gathering = True
            gather_time = relayed.query.flush_after * GATHER_SHARE
            asyncio.get_running_loop().call_later(
                gather_time.total_seconds(), self._send_gathered, relayed
            )
        if not relayed.pending:
            self._end(relayed)

    def _send_gathered(self, relayed: _RelayedQuery) -> None:
        relayed.gathering = False
        self._send(relayed)

    def _end(self, relayed: _RelayedQuery) -> None:
        if self._running.pop((relayed.link, relayed.query.number), None):
            self.held -= relayed.size

    def _send(self, relayed: _RelayedQuery) -> None:
        if not (relayed.replies or relayed.failures):
            return
        replies = relayed.replies
        relayed.link.send(
            RelayReply(
                number=relayed.query.number,
                parts=tuple(replies),
                stamps=tuple(
                    reply.stamp or b'' for reply, _ in replies.values()
                ),
                elapsed=tuple(elapsed for _, elapsed in replies.values()),
                records=relayed.merge(),
                failures=tuple(relayed.failures),
                costs=self._list_new_costs(relayed.link),
            ),
        )
        relayed.replies = {}
        relayed.failures = []

    def _list_new_costs(self, link: MessageLink) -> Costs:
        """Returns the costs to send, none if the link has carried them."""
        costs = self._settings.costs.list_near()
        if self._sent_costs.get(link) is costs:
            return ()
        self._sent_costs[link] = costs
        return costs


def _find_turn(relayed: _RelayedQuery) -> float:
    if relayed.query.delay is None:
        return 0
    return (relayed.arrived + relayed.query.delay).total_seconds()


def _refuse(link: MessageLink, query: RelayQuery) -> None:
    """Reports that no part of a query was sent to its target."""
    unsent = tuple(
        (part, PartFailure.UNSENT) for part in range(len(query.targets))
    )
    link.send(RelayReply(query.number, (), (), (), b'', unsent))
