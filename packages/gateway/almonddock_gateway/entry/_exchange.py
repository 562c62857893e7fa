"""Performs the actions that the dispatch of one request decides on."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.dispatch import (
    Action,
    Answer,
    Cancel,
    Dispatch,
    Failure,
    Finish,
    Send,
    TargetReply,
    find_threshold,
    is_answer_due,
    merge_replies,
    trim_reply,
)
from almonddock_core.model import Clock
from almonddock_core.routing import KnownTarget
from almonddock_gateway.entry._timer import WakeTimer, call_after_reads
from almonddock_gateway.http import CallerRequest, HttpReply, ReplyMatch
from almonddock_gateway.relays import (
    MessageLink,
    ReceiveGrants,
    Relay,
    RelayQuery,
    RelayRouter,
)
from almonddock_gateway.settings import HeaderNames
from almonddock_gateway.targets import (
    TargetAttempt,
    TargetPool,
    TargetPools,
    format_attempt,
    match_reply,
    read_reply,
)

#: A relaying host sends the replies it has at this fraction of the hedge delay,
#: so that hedges go only to shards that are late.
FLUSH_SHARE = 0.8

#: The same fraction for hedges, whose replies are already overdue.
HEDGE_FLUSH_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class ExchangeSettings:
    """The dependencies that all exchanges of a host share."""

    names: HeaderNames
    pools: TargetPools
    clock: Clock
    relays: RelayRouter
    #: Asks a watcher for attempts that this host's budget does not allow.
    ask_for_grants: Callable[[Sequence[str], ReceiveGrants], None] = (
        lambda services, receive: None
    )


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """The parts of a request that are the same for all targets."""

    #: Start line and headers, without those that differ between targets.
    head: bytes
    body: bytes
    attempt_id: bytes
    method: bytes


class TargetExchange:
    """Runs one dispatch over targets and relaying hosts."""

    def __init__(
        self,
        dispatch: Dispatch,
        outgoing: OutgoingRequest,
        settings: ExchangeSettings,
        finish: 'Callable[[TargetExchange, Answer | None], None]',
    ) -> None:
        self.dispatch = dispatch
        #: The size of the answer, once it has been sent.
        self.answer_bytes = 0
        self._outgoing = outgoing
        self._settings = settings
        self._finish = finish
        self._attempts: dict[int, tuple[TargetPool, TargetAttempt]] = {}
        self._relays: list[Relay] = []
        #: The relay queries that attempts were sent in, by attempt.
        self._relay_of: dict[int, Relay] = {}
        #: Those with cancelled parts that the other host was not told of.
        self._cancelled: list[Relay] = []
        #: The links over which services were asked in relay queries.
        self._relay_links: dict[str, MessageLink] = {}
        self._timer = WakeTimer(settings.clock)
        #: Whether the caller has left; later calls change nothing then.
        self._is_abandoned = False

    def start(self) -> None:
        """Sends the first attempts."""
        actions = self.dispatch.start(self._settings.clock.now())
        self._run(self._relay_sends(actions, FLUSH_SHARE))
        if self.dispatch.request.route.shards and self.dispatch.answer is None:
            self.dispatch.record_handed_over(self._settings.clock.now())
            self._timer.set(self.dispatch.wake_at, self._wake)

    def abandon(self) -> None:
        """Cancels all attempts, because the caller has disconnected."""
        if self._is_abandoned or self.dispatch.answer is not None:
            return
        self._is_abandoned = True
        self._run(self.dispatch.abandon(self._settings.clock.now()))
        self._timer.stop()
        self._end_relays()
        self._finish(self, None)

    def give_up(self) -> None:
        """Answers with what is known, because the process ends."""
        self._run(self.dispatch.give_up(self._settings.clock.now()))

    def _run(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Finish):
                self._timer.stop()
                self._finish(self, action.answer)
            elif isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Cancel):
                self._cancel(action.attempt)
            else:
                self._withdraw_if_unsent(action.attempt)
        if self.dispatch.answer is not None:
            self._end_relays()
            return
        for relay in self._cancelled:
            relay.send_cancelled()
        self._cancelled = []
        self._timer.set(self.dispatch.wake_at, self._wake)

    def _relay_sends(
        self,
        actions: list[Action],
        flush_share: float,
    ) -> list[Action]:
        """Sends sub-queries through hosts of other data centres, and homes.

        Returns the remaining actions.
        """
        settings = self._settings
        dispatch = self.dispatch
        if not dispatch.request.route.shards:
            return actions
        groups = settings.relays.group(
            actions, dispatch.request.route.shards, self._relay_links
        )
        threshold = _find_threshold(dispatch) if groups else b''
        flush_after = dispatch.timing.hedge_after * flush_share
        for link, sends in groups:
            self._send_relay_query(link, sends, threshold, flush_after)
        relayed = {send.attempt for _, sends in groups for send in sends}
        return [
            action
            for action in actions
            if not (isinstance(action, Send) and action.attempt in relayed)
        ]

    def _send_relay_query(
        self,
        link: MessageLink,
        sends: Sequence[Send],
        threshold: bytes,
        flush_after: timedelta,
    ) -> None:
        """Sends a group of sub-queries to another host as one query."""
        settings = self._settings
        dispatch = self.dispatch
        relay = Relay(
            settings.relays,
            link,
            tuple(send.attempt for send in sends),
            self._receive_group,
        )
        self._relays.append(relay)
        for send in sends:
            self._relay_of[send.attempt] = relay
            self._relay_links[send.target.entry.service] = link
        relay.send_query(
            RelayQuery(
                number=relay.number,
                head=self._outgoing.head,
                body=self._outgoing.body,
                attempt_id=self._outgoing.attempt_id,
                remaining=dispatch.timing.give_up_at - settings.clock.now(),
                flush_after=flush_after,
                top=dispatch.request.route.top_records,
                threshold=threshold,
                priority=dispatch.request.priority,
                delay=dispatch.request.delay,
                targets=tuple(send.target.entry.target_id for send in sends),
                typical_latency=timedelta(seconds=dispatch.latency.seconds),
            ),
        )

    def _receive_group(
        self,
        outcomes: list[tuple[int, TargetReply | Failure]],
    ) -> None:
        now = self._settings.clock.now()
        self._run(self.dispatch.receive_group(outcomes, now))

    def _end_relays(self) -> None:
        for relay in self._relays:
            relay.end()
        self._relays = []

    def _send(self, action: Send) -> None:
        """Sends an attempt, through another home if its first one was."""
        service = action.target.entry.service
        asked = self._relay_links.get(service)
        link = None
        if asked is not None:
            shards = self.dispatch.request.route.shards
            relays = self._settings.relays
            link = relays.find_other_home(service, shards, asked)
        if link is None:
            self._send_directly(action)
        else:
            # Alone, so that its records can be told from those of others.
            self._send_relay_query(link, (action,), b'', timedelta())

    def _send_directly(self, action: Send) -> None:
        target = action.target
        number = action.attempt
        pool = self._settings.pools.get(target)
        request = self.dispatch.request
        attempt = TargetAttempt(
            encode=lambda: self._encode(target),
            receive=lambda reply: self._receive(number, reply),
            fail=lambda failure: self._fail(number, failure),
            fresh_only=not request.route.idempotent,
            priority=request.priority,
            turn=request.waits_until.total_seconds(),
            without_body=self._outgoing.method == b'HEAD',
        )
        self._attempts[number] = (pool, attempt)
        pool.submit(attempt)

    def _cancel(self, number: int) -> None:
        found = self._attempts.pop(number, None)
        if found is not None:
            pool, attempt = found
            pool.cancel(attempt)
            return
        relay = self._relay_of.get(number)
        if relay is not None:
            relay.cancel(number)
            self._cancelled.append(relay)

    def _withdraw_if_unsent(self, number: int) -> None:
        found = self._attempts.get(number)
        if found is None or found[1].connection is not None:
            return
        self._cancel(number)
        self._fail(number, Failure.UNSENT)

    def _encode(self, target: KnownTarget) -> bytes:
        names = self._settings.names
        left = self.dispatch.timing.give_up_at - self._settings.clock.now()
        target_id = target.entry.target_id
        head = format_attempt(self._outgoing.head, target_id, left, names)
        return head + self._outgoing.body

    def _receive(self, number: int, raw: HttpReply) -> ReplyMatch:
        names = self._settings.names
        match = match_reply(
            raw,
            self._outgoing.attempt_id,
            names,
            needs_id=not self.dispatch.request.route.idempotent,
        )
        if match is not ReplyMatch.ACCEPTED:
            return match
        reply = read_reply(raw, names)
        route = self.dispatch.request.route
        if route.shards:
            # The other shards may take long.
            reply = trim_reply(reply, route.top_records)
        self._attempts.pop(number, None)
        now = self._settings.clock.now()
        self._run(self.dispatch.receive(number, reply, now))
        return ReplyMatch.ACCEPTED

    def _fail(self, number: int, failure: Failure) -> None:
        self._attempts.pop(number, None)
        now = self._settings.clock.now()
        self._run(self.dispatch.fail(number, failure, now))

    def _wake(self) -> None:
        """Answers, or hedges once the replies that have arrived are read."""
        dispatch = self.dispatch
        now = self._settings.clock.now()
        if is_answer_due(dispatch.request, dispatch.timing, now):
            self._tick()
        else:
            call_after_reads(self._tick)

    def _tick(self, funded: Collection[str] = ()) -> None:
        if self._is_abandoned or self.dispatch.answer is not None:
            return
        due = self.dispatch.wake_at
        actions = self.dispatch.tick(self._settings.clock.now(), funded)
        self._run(self._relay_sends(actions, HEDGE_FLUSH_SHARE))
        unfunded = self.dispatch.unfunded
        if unfunded and self.dispatch.answer is None:
            self.dispatch.unfunded = []
            self._settings.ask_for_grants(unfunded, self._tick)
        if self.dispatch.answer is not None:
            # The answer leaves the host at the end of this turn of the loop.
            loop = asyncio.get_running_loop()
            loop.call_soon(_observe_sending, self, due, self._settings.clock)


def _observe_sending(
    exchange: TargetExchange, due: timedelta, clock: Clock
) -> None:
    """Records how late an answer that was due has left, and its bytes."""
    delay = clock.now() - due
    exchange.dispatch.observe_sending(delay, exchange.answer_bytes)


def _find_threshold(dispatch: Dispatch) -> bytes:
    """Returns the record that further records must exceed to count."""
    top = dispatch.request.route.top_records
    return find_threshold(merge_replies(dispatch.list_replies(), top), top)


def build_outgoing(
    request: CallerRequest,
    head: bytes,
    attempt_id: bytes,
) -> OutgoingRequest:
    """Returns the parts of a caller's request that all targets get."""
    return OutgoingRequest(
        head=head,
        body=request.body,
        attempt_id=attempt_id,
        method=request.method,
    )
