"""Simulates requests with idempotency keys against partition logs."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

from almonddock_core.idempotency import (
    Claim,
    Finish,
    Grant,
    KeyDigest,
    LogAction,
    LogSettings,
    PartitionId,
    PartitionLog,
    Read,
    ReadDone,
    Recorded,
    StoreReply,
    Write,
    WriteDone,
)
from almonddock_core.model import Outcome, RequestId

#: How long a request runs once it is granted.
RUN_TIME = timedelta(milliseconds=30)


@dataclass(frozen=True, slots=True)
class Load:
    """The load and the store of one simulation."""

    #: Requests per second over all partitions.
    rate: int
    partitions: int
    round_trip: timedelta
    #: Sigma of the lognormal round trip; 0 for a constant one.
    sigma: float = 0
    seconds: int = 20
    #: How long a claim waits to be written with others, in round trips.
    linger_round_trips: float = 1.9


@dataclass(slots=True)
class Figures:
    """The figures of one simulation."""

    requests: int = 0
    writes: int = 0
    bytes_written: int = 0
    #: The latency that recording adds, by request.
    added: list[timedelta] = field(default_factory=list)

    @property
    def p99(self) -> timedelta:
        """The 99th percentile of the latency that recording adds."""
        return sorted(self.added)[int(len(self.added) * 0.99)]


class LogSimulation:
    """Simulates one load in virtual time, with a store that never fails."""

    def __init__(self, load: Load, seed: int) -> None:
        self.figures = Figures()
        self._load = load
        self._random = random.Random(seed)
        self._now = timedelta()
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._number = 0
        self._revision = 0
        self._claimed: dict[RequestId, timedelta] = {}
        settings = LogSettings(linger_round_trips=load.linger_round_trips)
        self._logs = [
            PartitionLog(PartitionId(number), f'w{number}', settings)
            for number in range(load.partitions)
        ]

    def run(self) -> Figures:
        """Runs to the end and returns the figures."""
        for log in self._logs:
            self._execute(log, log.tick(self._now))
        self._submit_request()
        while self._events:
            at, _number, event = heapq.heappop(self._events)
            self._now = at
            event()
        self.figures.writes = sum(log.calls.writes for log in self._logs)
        return self.figures

    def _schedule(self, wait: timedelta, event: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (self._now + wait, self._number, event))

    def _submit_request(self) -> None:
        self._number += 1
        request_id = RequestId(f'{self._number:032x}')
        key = KeyDigest(f'{self._random.getrandbits(128):032x}')
        log = self._logs[int(key, 16) % len(self._logs)]
        deadline = self._now + timedelta(seconds=1)
        claim = Claim(key, request_id, 'f' * 16, deadline)
        self._claimed[request_id] = self._now
        self.figures.requests += 1
        self._execute(log, log.claim(claim, self._now))
        gap = self._random.expovariate(self._load.rate)
        if self._now < timedelta(seconds=self._load.seconds):
            self._schedule(timedelta(seconds=gap), self._submit_request)

    def _execute(self, log: PartitionLog, actions: list[LogAction]) -> None:
        for action in actions:
            if isinstance(action, (Read, Write)):
                self._call_store(log, action)
            elif isinstance(action, Grant):
                self._grant(log, action.claim)
            else:
                raise AssertionError(f'unexpected {action}')
        wake = log.next_wake()
        if wake is not None:
            wait = max(wake - self._now, timedelta())
            self._schedule(wait, partial(self._tick, log))

    def _tick(self, log: PartitionLog) -> None:
        wake = log.next_wake()
        if wake is not None and wake <= self._now:
            self._execute(log, log.tick(self._now))

    def _call_store(self, log: PartitionLog, call: Read | Write) -> None:
        reply: StoreReply = ReadDone(call.call_number, ())
        if isinstance(call, Write):
            self._revision += 1
            self.figures.bytes_written += len(call.value)
            reply = WriteDone(call.call_number, self._revision)
        factor = self._random.lognormvariate(0, self._load.sigma)
        self._schedule(
            self._load.round_trip * factor,
            partial(self._reply, log, reply),
        )

    def _reply(self, log: PartitionLog, reply: StoreReply) -> None:
        self._execute(log, log.receive_reply(reply, self._now))

    def _grant(self, log: PartitionLog, claim: Claim) -> None:
        self.figures.added.append(self._now - self._claimed[claim.request_id])
        self._schedule(RUN_TIME, partial(self._finish, log, claim))

    def _finish(self, log: PartitionLog, claim: Claim) -> None:
        recorded = Recorded(Outcome.ANSWERED, b'{"rows":"[1]"}')
        finish = Finish(claim.key, claim.request_id, recorded)
        self._execute(log, log.finish(finish, self._now))


def simulate_record_per_request(load: Load, seed: int) -> Figures:
    """Simulates the baseline: each request writes a record of its own twice.

    One write creates the record, the other updates it.
    """
    source = random.Random(seed)
    figures = Figures()
    now = timedelta()
    while now < timedelta(seconds=load.seconds):
        figures.requests += 1
        figures.writes += 2
        factor = source.lognormvariate(0, load.sigma)
        figures.added.append(load.round_trip * factor)
        now += timedelta(seconds=source.expovariate(load.rate))
    return figures
