"""The baseline: every host dials with a fixed share of slots, no hedging."""

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
    """What one host may send to one target."""

    free: int
    waiting: deque[Callable[[], None]]


class FixedShares:
    """Sends each sub-query to one replica, over a share of its slots.

    A refused sub-query is sent again after a short time. ``spread`` takes a
    random replica instead of the first one, which makes a harder baseline.
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
            collect = partial(self._collect, replies, done)
            self._enqueue(host, sub, collect)

    def _collect(
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
        collect: Callable[[SubReply], None],
    ) -> None:
        share = self._shares.get((host, sub.target))
        if share is None:
            slots = self._tier.shape.slots
            share = _Share(-(-slots // len(self._tier.hosts)), deque())
            self._shares[host, sub.target] = share
        share.waiting.append(
            partial(self._dial, host, sub, partial(self._end, share, collect)),
        )
        self._pump(share)

    def _pump(self, share: _Share) -> None:
        if share.free and share.waiting:
            share.free -= 1
            share.waiting.popleft()()

    def _dial(
        self,
        host: HostId,
        sub: SubQuery,
        collect: Callable[[SubReply], None],
    ) -> None:
        self._tier.links.call_target(
            host,
            sub.target,
            partial(
                self._tier.fakes[sub.target].start,
                sub,
                partial(self._respond, host, sub, collect),
            ),
        )

    def _respond(
        self,
        host: HostId,
        sub: SubQuery,
        collect: Callable[[SubReply], None],
        reply: SubReply,
    ) -> None:
        if reply.status is ReplyStatus.OK:
            self._tier.links.call_target(
                host, sub.target, partial(collect, reply)
            )
        else:
            again = partial(self._dial, host, sub, collect)
            self._tier.loop.call_after(BACKOFF, again)

    def _end(
        self,
        share: _Share,
        collect: Callable[[SubReply], None],
        reply: SubReply,
    ) -> None:
        share.free += 1
        collect(reply)
        self._pump(share)
