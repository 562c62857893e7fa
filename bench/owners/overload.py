"""Goodput and worth of one owned target at twice its capacity."""

import heapq
import itertools
import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import replace
from datetime import timedelta

from almonddock_core.model import AttemptId, ReplyStatus, SubQuery, Urgency
from almonddock_core.owners import (
    Dispatch,
    OwnedTarget,
    OwnerAction,
    OwnerSettings,
    Reply,
)
from almonddock_core.tests.owner_cases import (
    START,
    make_reply,
    make_sub,
    make_target,
)
from bench import Measurement, Subject, experiment, limit_value, require_value

SEEDS = range(1, 4)
SLOTS = 3
RUN_S = 20
DEADLINE = timedelta(milliseconds=300)

#: Lognormal service with a median of 10 ms.
MEDIAN_S = 0.01
SIGMA = 0.5
MEAN_S = MEDIAN_S * math.exp(SIGMA**2 / 2)
URGENT_SHARE = 0.2
WORTHS = (1, 2, 5)

#: The required limits at twice the capacity.
MIN_GOODPUT = 0.95
MIN_WORTH = 0.9
MAX_URGENT_LOST = 0.01


@experiment('owner-overload')
def measure_overload() -> Iterator[Measurement]:
    """Goodput, urgent losses and worth of one target at twice its capacity."""
    for seed in SEEDS:
        full = OfferedLoad(seed, 1)
        double = OfferedLoad(seed, 2)
        urgent = [sub for sub in double.offered if _is_urgent(sub)]
        answered = sum(_is_urgent(sub) for sub in double.answered)
        lost = 1 - answered / len(urgent)
        goodput = len(double.answered) / len(full.answered)
        worth = sum(sub.worth for sub in double.answered)
        best = sum(sub.worth for sub in _choose_best(double.offered))
        yield require_value(
            Subject('owner-overload.goodput', '1 target', seed),
            goodput,
            'x goodput at capacity',
            bound=MIN_GOODPUT,
        )
        yield limit_value(
            Subject('owner-overload.urgent-lost', '1 target', seed),
            lost,
            'share',
            bound=MAX_URGENT_LOST,
        )
        yield require_value(
            Subject('owner-overload.worth', '1 target', seed),
            worth / best,
            'x oracle',
            bound=MIN_WORTH,
        )


class OfferedLoad:
    """Offers a multiple of the capacity to one target in virtual time."""

    def __init__(self, seed: int, load: float) -> None:
        self.offered: list[SubQuery] = []
        self.answered: list[SubQuery] = []
        self._random = random.Random(seed)
        self._count = itertools.count()
        self._events: list[tuple[timedelta, int, bool, SubQuery]] = []
        self._subs: dict[AttemptId, SubQuery] = {}
        self._owned = OwnedTarget(
            make_target(SLOTS),
            OwnerSettings(),
            START,
            taken_over=False,
        )
        self._offer_all(SLOTS / MEAN_S * load)
        while self._events:
            now, _, arrives, sub = heapq.heappop(self._events)
            if arrives:
                actions = self._owned.offer(sub, now)
            else:
                actions = self._owned.receive_reply(make_reply(sub), now)
            self._execute(actions, now)

    def _offer_all(self, rate: float) -> None:
        at = START
        while at < START + timedelta(seconds=RUN_S):
            at += timedelta(seconds=self._random.expovariate(rate))
            urgent = self._random.random() < URGENT_SHARE
            sub = make_sub(
                next(self._count),
                urgency=Urgency.URGENT if urgent else Urgency.NORMAL,
                worth=self._random.choice(WORTHS),
            )
            sub = replace(sub, deadline=at + DEADLINE)
            self.offered.append(sub)
            self._subs[sub.attempt_id] = sub
            self._push(at, sub, arrives=True)

    def _push(self, at: timedelta, sub: SubQuery, *, arrives: bool) -> None:
        event = (at, next(self._count), arrives, sub)
        heapq.heappush(self._events, event)

    def _execute(
        self,
        actions: Iterable[OwnerAction],
        now: timedelta,
    ) -> None:
        for action in actions:
            if isinstance(action, Dispatch):
                drawn = self._random.lognormvariate(math.log(MEDIAN_S), SIGMA)
                ends = now + timedelta(seconds=drawn)
                self._push(ends, action.sub, arrives=False)
            elif isinstance(action, Reply):
                sub = self._subs.pop(action.reply.attempt_id)
                complete = action.reply.status is ReplyStatus.OK
                if complete and now <= sub.deadline:
                    self.answered.append(sub)


def _is_urgent(sub: SubQuery) -> bool:
    return sub.urgency is Urgency.URGENT


def _choose_best(offered: list[SubQuery]) -> list[SubQuery]:
    """Returns what an oracle runs: urgent ones first, then by worth."""
    capacity = int(RUN_S * SLOTS / MEAN_S)
    ranked = sorted(offered, key=lambda sub: (sub.urgency, -sub.worth))
    return ranked[:capacity]
