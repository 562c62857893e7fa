"""What control costs one host: processor time, memory and bytes."""

import gc
import random
import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import timedelta

from almonddock_core.configuration import (
    HEAD_KEY,
    Announce,
    ConfigurationAction,
    ConfigurationSettings,
    ConfigurationState,
    DocumentReply,
    DocumentRequest,
    Fetch,
)
from almonddock_core.membership import (
    Membership,
    MembershipSettings,
    Probe,
    ProbeReply,
    Send,
)
from almonddock_core.model import HostId, Incarnation, Member
from almonddock_core.tests.configuration_store import FakeStore
from almonddock_wire import Message, decode, encode
from bench import experiment
from bench.measurement import Measurement, Subject, limit_value, note_value
from bench.state.fleets import (
    LETTER_HOSTS,
    LETTER_TARGETS,
    build_bodies,
    build_service,
    name_data_centre,
    publish_bodies,
)

SEED = 1
#: Hosts, with the targets of their deployment.
SIZES = ((4, 110), (100, 1000), (400, 2800), (LETTER_HOSTS, LETTER_TARGETS))
#: The letter's bounds.
CORE_PERCENT = 1.6
MEGABYTES = 32
BYTES_PER_SECOND = 9000
#: TCP and IP headers of a frame and its length prefix.
HEADER_BYTES = 44
SECONDS = 60
CHANGES = 2
TICKS_PER_SECOND = 10
THOUSAND = 1000
MILLION = 1_000_000
PERCENT = 100


@dataclass(slots=True)
class Traffic:
    """Frames that the host under test sent and received."""

    octets: int = 0
    frames: int = 0

    def count(self, encoded: bytes) -> bytes:
        """Counts one frame and returns it."""
        self.octets += len(encoded) + HEADER_BYTES
        self.frames += 1
        return encoded


class Subjected:
    """One host whose peers answer each probe and probe it as often."""

    def __init__(self, hosts: int, store: FakeStore) -> None:
        self.now = timedelta(seconds=1)
        self.random = random.Random(SEED)
        self.store = store
        self.traffic = Traffic()
        self.peers = [
            Member(
                HostId(f'host-{number:04}'),
                name_data_centre(number, hosts),
                f'10.0.{number // 250}.{number % 250}:7000',
                Incarnation(1 << 60),
            )
            for number in range(hosts)
        ]
        own = self.peers[0]
        self.configuration = ConfigurationState(
            ConfigurationSettings(own.host, own.data_centre),
            self.random,
            self.now,
        )
        self.membership = Membership(
            own,
            MembershipSettings(),
            self.random,
            self.now,
            self.configuration.describe_head,
        )
        self.membership.read_host_list(self.peers, self.now)
        self.configuration.see_members(self.membership.view)

    def hear_change(self) -> None:
        """Lets the host take the store's head, with documents from peers."""
        content = self.store.values[HEAD_KEY].value
        actions = self.configuration.hear_store(content, self.now)
        self._settle(actions)

    def run_second(self) -> None:
        """Handles the messages of one second."""
        for _ in range(TICKS_PER_SECOND):
            self.now += timedelta(seconds=1) / TICKS_PER_SECOND
            self.configuration.tick(self.now)
            for action in self.membership.tick(self.now):
                if isinstance(action, Send):
                    self._exchange(action)

    def _exchange(self, action: Send) -> None:
        message = action.message
        self._transfer(message)
        if isinstance(message, Probe):
            head = self.configuration.describe_head(self.now)
            news = self._make_news()
            reply = ProbeReply(message.number, action.host, head, news)
            self._receive(reply)
            self._receive(Probe(1, action.host, head, news))

    def _make_news(self) -> tuple[Member, ...]:
        # Every message carries as much news as it may.
        count = min(len(self.peers) - 1, MembershipSettings().max_news + 1)
        chosen = self.random.sample(range(1, len(self.peers)), count)
        for number in chosen[:1]:
            peer = self.peers[number]
            larger = Incarnation(peer.incarnation + 1)
            self.peers[number] = replace(peer, incarnation=larger)
        return tuple(self.peers[number] for number in chosen)

    def _receive(self, message: Probe | ProbeReply) -> None:
        decoded = self._transfer(message)
        assert isinstance(decoded, Probe | ProbeReply)
        self.configuration.hear_peer(decoded.sender, decoded.head, self.now)
        for action in self.membership.receive(decoded, self.now):
            if isinstance(action, Send):
                self._transfer(action.message)

    def _transfer(self, message: Message) -> Message:
        # One encoding and one decoding, of which the host does one.
        encoded = self.traffic.count(encode(message, self.now))
        return decode(encoded, self.now)

    def _settle(self, actions: list[ConfigurationAction]) -> None:
        while actions:
            action = actions.pop(0)
            match action:
                case Fetch():
                    request = DocumentRequest(action.digests)
                    self._transfer(request)
                    reply = DocumentReply(
                        tuple(
                            self.store.read_document(one)
                            for one in action.digests
                        ),
                    )
                    self._transfer(reply)
                    actions += self.configuration.receive(
                        action.source,
                        reply,
                        self.now,
                    )
                case Announce():
                    self._serve(action)

    def _serve(self, announcement: Announce) -> None:
        # Each host that is told asks for the root, a bucket and a body.
        root = DocumentRequest((announcement.head.digest,))
        for _ in announcement.hosts:
            self._transfer(announcement.head)
            self._transfer(root)
            for _ in range(3):
                self._transfer(self.configuration.answer(root))


def build_store(targets: int) -> tuple[FakeStore, dict[str, bytes]]:
    """Returns a store with a configuration of so many targets."""
    store = FakeStore()
    bodies = build_bodies(targets)
    publish_bodies(store, 'first', bodies)
    return store, bodies


def measure_size(hosts: int, targets: int) -> Iterator[Measurement]:
    """Yields the figures of one host in a fleet."""
    where = f'{hosts} hosts, {targets} targets'
    store, bodies = build_store(targets)
    gc.collect()
    tracemalloc.start()
    subject = Subjected(hosts, store)
    subject.hear_change()
    gc.collect()
    megabytes = tracemalloc.get_traced_memory()[0] / MILLION
    tracemalloc.stop()
    subject.traffic = Traffic()
    spent, install = measure_processor(subject, bodies)
    yield limit_value(
        Subject('state.cost.processor', where, SEED),
        PERCENT * spent / SECONDS,
        '% of a core',
        bound=CORE_PERCENT,
    )
    yield limit_value(
        Subject('state.cost.memory', where, SEED),
        megabytes,
        'MB',
        bound=MEGABYTES,
    )
    yield limit_value(
        Subject('state.cost.bytes', where, SEED),
        subject.traffic.octets / SECONDS,
        'bytes/s',
        bound=BYTES_PER_SECOND,
    )
    yield note_value(
        Subject('state.cost.install', where, SEED),
        install * THOUSAND,
        'ms',
    )
    yield note_value(
        Subject('state.cost.frames', where, SEED),
        subject.traffic.frames / SECONDS,
        'frames/s',
    )


def measure_processor(
    subject: Subjected,
    bodies: dict[str, bytes],
) -> tuple[float, float]:
    """Returns processor seconds: of a minute with two changes, of one."""
    spent: list[float] = []
    installs: list[float] = []
    for number in range(CHANGES):
        bodies['desk-0003'] = build_service(3, 400 + number)
        publish_bodies(subject.store, f'change-{number}', bodies)
        began = time.process_time()
        subject.hear_change()
        installs.append(time.process_time() - began)
        for _ in range(SECONDS // CHANGES):
            subject.run_second()
        spent.append(time.process_time() - began)
    return sum(spent), max(installs)


@experiment('state.cost', seconds=60)
def measure_cost() -> Iterator[Measurement]:
    """Processor time, memory and bytes of control on one host."""
    for hosts, targets in SIZES:
        yield from measure_size(hosts, targets)
