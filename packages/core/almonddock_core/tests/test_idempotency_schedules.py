"""Random fault schedules over partition logs; ``bench/truth`` runs more."""

import heapq
import random
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

from almonddock_core.idempotency import (
    CallLost,
    Claim,
    ClaimClient,
    ClientAction,
    Decision,
    KeyDigest,
    LogAction,
    LogSettings,
    PartitionId,
    PartitionLog,
    Read,
    ReadDone,
    Recorded,
    Refuse,
    Repeat,
    SendClaim,
    SendFinish,
    StoreEntry,
    StoreReply,
    Write,
    WriteConflict,
    WriteDone,
)
from almonddock_core.model import HostId, Outcome, RequestId

MS = timedelta(milliseconds=1)
HOSTS = tuple(HostId(f'h{number}') for number in range(3))
KEYS = tuple(KeyDigest(f'{number:032x}') for number in range(3))
SCHEDULES = 2000

#: The longest deadline of a claim.
MAX_CLAIM_DEADLINE = 300 * MS


#: The time of an event, a sequence number to break ties, and the callback.
Event = tuple[timedelta, int, Callable[[], None]]


class FakeStore:
    """A map with compare-and-swap; every write has its own revision."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, StoreEntry] = {}

    def apply(self, call: Read | Write) -> StoreReply:
        if isinstance(call, Read):
            found = (
                entry
                for key, entry in sorted(self.entries.items())
                if key.startswith(call.prefix)
            )
            return ReadDone(call.call_number, tuple(found))
        current = self.entries.get(call.key, StoreEntry('', b'', 0))
        if current.revision != call.expected:
            return WriteConflict(call.call_number)
        self.revision += 1
        self.entries[call.key] = StoreEntry(call.key, call.value, self.revision)
        return WriteDone(call.call_number, self.revision)


@dataclass(slots=True)
class World:
    """Simulated hosts, their store and callers under one random schedule."""

    rng: random.Random
    settings: LogSettings
    faults: bool = True
    now: timedelta = timedelta()
    store: FakeStore = field(default_factory=FakeStore)
    events: list[Event] = field(default_factory=list)
    number: int = 0
    outage_ends: timedelta = timedelta()
    logs: dict[HostId, PartitionLog] = field(default_factory=dict)
    clients: dict[HostId, ClaimClient] = field(default_factory=dict)
    paused_until: dict[HostId, timedelta] = field(default_factory=dict)
    #: The owner of the partition, in the view of each host.
    views: dict[HostId, HostId] = field(default_factory=dict)
    #: The requests that ran, by key.
    runs: dict[KeyDigest, list[RequestId]] = field(default_factory=dict)
    run_at: dict[RequestId, timedelta] = field(default_factory=dict)
    claimed_at: dict[RequestId, timedelta] = field(default_factory=dict)
    reported_not_run: set[RequestId] = field(default_factory=set)
    counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        for host in HOSTS:
            self.start_host(host)
            self.views[host] = HOSTS[0]

    def start_host(self, host: HostId) -> None:
        """Starts a host, or replaces it by one with empty state."""
        self.number += 1
        log = PartitionLog(
            PartitionId(0), f'{host}.{self.number}', self.settings
        )
        self.logs[host] = log
        self.clients[host] = ClaimClient(lambda _key: self.views[host])
        self.act(host, log, log.tick(self.now))

    def after(self, wait: timedelta, event: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (self.now + wait, self.number, event))

    def at_host(self, host: HostId, event: Callable[[], None]) -> None:
        """Runs an event as soon as the host is not paused."""
        if self.paused_until.get(host, self.now) > self.now:
            pause = self.paused_until[host] - self.now
            self.after(pause, lambda: self.at_host(host, event))
        else:
            event()

    def pick_duration(self, low: int, high: int) -> timedelta:
        return self.rng.randint(low, high) * MS

    def chance(self, share: float) -> bool:
        return self.faults and self.rng.random() < share

    def run(self) -> None:
        while self.events:
            at, _number, event = heapq.heappop(self.events)
            self.now = at
            event()

    def act(
        self, host: HostId, log: PartitionLog, actions: list[LogAction]
    ) -> None:
        for action in actions:
            if isinstance(action, (Read, Write)):
                self.call_store(host, log, action)
            else:
                self.send_decision(action)
        wake = log.next_wake()
        if wake is not None:
            wait = max(wake - self.now, MS)
            self.after(wait, lambda: self.tick(host, log))

    def tick(self, host: HostId, log: PartitionLog) -> None:
        wake = log.next_wake()
        if self.logs[host] is log and wake is not None and wake <= self.now:
            self.at_host(host, lambda: self.deliver_to_log(host, log, log.tick))

    def deliver_to_log(
        self,
        host: HostId,
        log: PartitionLog,
        event: Callable[[timedelta], list[LogAction]],
    ) -> None:
        if self.logs[host] is log:
            self.act(host, log, event(self.now))

    def call_store(
        self, host: HostId, log: PartitionLog, call: Read | Write
    ) -> None:
        """Applies a call now, later, after its timeout or never."""
        down = self.now < self.outage_ends
        lost = self.chance(0.15) or (down and self.chance(0.7))
        applied = not down or self.chance(0.2)

        def reply(answer: StoreReply) -> None:
            self.at_host(
                host,
                lambda: self.deliver_to_log(
                    host, log, lambda now: log.receive_reply(answer, now)
                ),
            )

        def apply() -> None:
            answer = self.store.apply(call)
            if not lost:
                self.after(self.pick_duration(1, 3), lambda: reply(answer))

        if applied and not (lost and self.chance(0.4)):
            self.after(self.pick_duration(1, 150 if lost else 3), apply)
        if lost or not applied:
            self.after(
                self.pick_duration(30, 60),
                lambda: reply(CallLost(call.call_number)),
            )

    def send_decision(self, decision: Decision) -> None:
        request_id = decision.claim.request_id
        entry = HostId(request_id.split(':')[0])
        self.deliver(entry, partial(self.decide, entry, decision))

    def deliver(self, host: HostId, event: Callable[[], None]) -> None:
        """Delivers a message, possibly delayed, duplicated or dropped."""
        for _ in range(1 + self.chance(0.1)):
            if not self.chance(0.05):
                wait = self.pick_duration(1, 40 if self.chance(0.1) else 3)
                self.after(wait, partial(self.at_host, host, event))

    def decide(self, entry: HostId, decision: Decision) -> None:
        self.act_on_client(
            entry, self.clients[entry].receive(decision, self.now)
        )

    def act_on_client(self, entry: HostId, actions: list[ClientAction]) -> None:
        for action in actions:
            if isinstance(action, (SendClaim, SendFinish)):
                self.send_to_owner(action)
            else:
                self.settle(entry, action.decision)

    def send_to_owner(self, action: SendClaim | SendFinish) -> None:
        owner = action.owner

        def arrive() -> None:
            log = self.logs[owner]
            if isinstance(action, SendClaim):
                self.deliver_to_log(
                    owner, log, partial(log.claim, action.claim)
                )
            else:
                self.deliver_to_log(
                    owner, log, partial(log.finish, action.finish)
                )

        self.deliver(owner, arrive)

    def request(
        self, entry: HostId, key: KeyDigest, shortest: int = 20
    ) -> None:
        """Sends a caller's request with a key to an entry host.

        Its deadline is at least ``shortest`` milliseconds.
        """
        self.number += 1
        request_id = RequestId(f'{entry}:{self.number}')
        deadline = self.now + self.pick_duration(shortest, 300)
        claim = Claim(key, request_id, 'same', deadline)
        self.claimed_at[request_id] = self.now
        client = self.clients[entry]
        self.act_on_client(entry, client.claim(claim, self.now))

        def expire() -> None:
            if self.clients[entry] is client:
                self.act_on_client(entry, client.tick(self.now))

        self.after(deadline - self.now, lambda: self.at_host(entry, expire))

    def settle(self, entry: HostId, decision: Decision) -> None:
        """Runs a granted request, or checks the other decisions."""
        claim = decision.claim
        self.counts[type(decision).__name__] += 1
        if isinstance(decision, Repeat):
            ran = self.runs.get(claim.key, [])
            if decision.recorded.answer.decode() not in ran:
                self.violations.append(
                    f'no request with this key gave the answer: {decision}'
                )
        elif isinstance(decision, Refuse):
            if decision.outcome is Outcome.NOT_RUN:
                self.reported_not_run.add(claim.request_id)
            else:
                self.counts['doubtful'] += 1
        elif self.chance(0.15):
            self.finish(entry, claim, ran=False)
        else:
            self.record_run(claim)
            self.after(
                self.pick_duration(1, 80),
                lambda: self.at_host(
                    entry, lambda: self.finish(entry, claim, ran=True)
                ),
            )

    def record_run(self, claim: Claim) -> None:
        earlier = self.runs.setdefault(claim.key, [])
        # A claim may be granted as late as its deadline, when the record of an
        # earlier claim may have expired.
        limit = self.settings.retention - MAX_CLAIM_DEADLINE
        for other in earlier:
            age = self.claimed_at[claim.request_id] - self.claimed_at[other]
            if abs(age) < limit:
                self.violations.append(f'key ran twice: {claim} after {other}')
        earlier.append(claim.request_id)

    def finish(self, entry: HostId, claim: Claim, *, ran: bool) -> None:
        answer = claim.request_id.encode()
        recorded = Recorded(Outcome.ANSWERED, answer) if ran else None
        client = self.clients[entry]
        if not self.chance(0.1):
            try:
                actions = client.finish(claim.request_id, recorded)
            except KeyError:  # The entry host has been replaced.
                return
            self.act_on_client(entry, actions)

    def inject_fault(self) -> None:
        """Injects one random fault."""
        host = self.rng.choice(HOSTS)
        fault = self.rng.randrange(5)
        if fault == 0:
            self.paused_until[host] = self.now + self.pick_duration(10, 2000)
        elif fault == 1:
            self.start_host(host)
        elif fault == 2:
            self.outage_ends = self.now + self.pick_duration(20, 400)
        else:
            owner = self.rng.choice(HOSTS)
            viewers = HOSTS if fault == 3 else (host,)
            for viewer in viewers:
                self.views[viewer] = owner

    def check_recovery(self) -> None:
        """Checks that an unused key is granted once the faults have ended."""
        self.faults = False
        ends = (self.now, self.outage_ends, *self.paused_until.values())
        self.now = max(ends) + self.settings.max_backoff
        granted = self.counts['Grant']
        self.request(HOSTS[0], KeyDigest('f' * 32), shortest=100)
        self.run()
        if self.counts['Grant'] != granted + 1:
            self.violations.append('an unused key was not granted')

    def check_not_run(self) -> None:
        for ran in self.runs.values():
            for request_id in ran:
                if request_id in self.reported_not_run:
                    self.violations.append(
                        f'ran but was reported as not run: {request_id}'
                    )


def run_schedule(seed: int) -> World:
    """Runs one schedule and checks its invariants."""
    rng = random.Random(seed)
    small = rng.choice((True, False))
    settings = LogSettings(
        retention=timedelta(seconds=rng.choice((1, 60))),
        segment_bytes=300 if small else 65_536,
        max_segments=rng.choice((2, 3, 50)) if small else 1024,
        max_value_bytes=1200 if small else 900_000,
        max_answer_bytes=60,
        claim_timeout=timedelta(seconds=0.2),
        outcome_linger=rng.choice((1, 50)) * MS,
        min_backoff=10 * MS,
        max_backoff=100 * MS,
    )
    world = World(rng, settings)
    span = rng.choice((300, 3000))
    for _ in range(rng.randint(6, 16)):
        entry, key = rng.choice(HOSTS), rng.choice(KEYS)
        request = partial(world.request, entry, key)
        world.after(
            world.pick_duration(0, span), partial(world.at_host, entry, request)
        )
    for _ in range(rng.randint(0, 8)):
        world.after(world.pick_duration(0, span), world.inject_fault)
    world.run()
    world.check_not_run()
    if not small:
        world.check_recovery()
    return world


class ScheduleTest(unittest.TestCase):
    def test_no_schedule_violates_at_most_once(self) -> None:
        counts: Counter[str] = Counter()
        for seed in range(SCHEDULES):
            world = run_schedule(seed)
            counts += world.counts
            self.assertEqual(world.violations, [], f'seed {seed}')
        for kind in ('Grant', 'Refuse', 'Repeat', 'doubtful'):
            self.assertGreater(counts[kind], SCHEDULES // 4, counts)
