"""The baseline: hosts call targets directly, without hedging.

Every host has a fixed share of the slots of each target.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from almonddock_core.model import (
    AttemptId,
    HostId,
    Query,
    ReplyStatus,
    ScatterResult,
    ShardId,
    SubQuery,
    SubReply,
    TargetId,
)
from bench.tail.tier import Done, Tier

BACKOFF = timedelta(milliseconds=1)


@dataclass(slots=True)
class _Share:
    """The share of the slots of one target that one host may use."""

    free: int
    waiting: deque[Callable[[], None]]


class FixedShares:
    """Sends each sub-query to one replica, over a share of its slots.

    A refused sub-query is sent again after a short time. ``spread`` takes a
    random replica instead of the first one, which is harder to beat.
    """

    def __init__(self, tier: Tier, seed: int, *, spread: bool) -> None:
        self._tier = tier
        self._spread = spread
        self._random = random.Random(seed)
        self._shares: dict[tuple[HostId, TargetId], _Share] = {}

    def submit(self, host: HostId, query: Query, done: Done) -> None:
        """Starts a query at one host."""
        replies: dict[ShardId, SubReply] = {}
        for shard, candidates in self._tier.plan.candidates.items():
            target = candidates[0].target
            if self._spread:
                target = self._random.choice(candidates).target
            sub = SubQuery(
                AttemptId(f'{query.request_id}:{shard}'),
                query.request_id,
                shard,
                target,
                self._tier.plan.version,
                query.body,
                query.deadline,
            )
            receive = partial(self._gather, replies, done)
            self._enqueue(host, sub, receive)

    def _gather(
        self,
        replies: dict[ShardId, SubReply],
        done: Done,
        reply: SubReply,
    ) -> None:
        replies[reply.shard] = reply
        if len(replies) == len(self._tier.plan.shards):
            done(ScatterResult(replies, {}))

    def _enqueue(
        self,
        host: HostId,
        sub: SubQuery,
        receive: Callable[[SubReply], None],
    ) -> None:
        share = self._shares.get((host, sub.target))
        if share is None:
            slots = self._tier.shape.slots
            share = _Share(-(-slots // len(self._tier.hosts)), deque())
            self._shares[host, sub.target] = share
        share.waiting.append(
            partial(
                self._call_target,
                host,
                sub,
                partial(self._release_slot, share, receive),
            ),
        )
        self._start_next(share)

    def _start_next(self, share: _Share) -> None:
        if share.free and share.waiting:
            share.free -= 1
            share.waiting.popleft()()

    def _call_target(
        self,
        host: HostId,
        sub: SubQuery,
        receive: Callable[[SubReply], None],
    ) -> None:
        self._tier.links.call_target(
            host,
            sub.target,
            partial(
                self._tier.fakes[sub.target].start,
                sub,
                partial(self._receive, host, sub, receive),
            ),
        )

    def _receive(
        self,
        host: HostId,
        sub: SubQuery,
        receive: Callable[[SubReply], None],
        reply: SubReply,
    ) -> None:
        if reply.status is ReplyStatus.OK:
            self._tier.links.call_target(
                host, sub.target, partial(receive, reply)
            )
        else:
            again = partial(self._call_target, host, sub, receive)
            self._tier.loop.call_after(BACKOFF, again)

    def _release_slot(
        self,
        share: _Share,
        receive: Callable[[SubReply], None],
        reply: SubReply,
    ) -> None:
        share.free += 1
        receive(reply)
        self._start_next(share)
