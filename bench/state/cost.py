"""Cost of control on one host: processor time, memory and bytes.

Control here is configuration and membership.
"""

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
    PLANNED_HOSTS,
    PLANNED_TARGETS,
    build_bodies,
    build_service,
    name_data_centre,
    publish_bodies,
)

SEED = 1
#: Hosts, with the targets of their deployment.
SIZES = ((4, 110), (100, 1000), (400, 2800), (PLANNED_HOSTS, PLANNED_TARGETS))
#: The required limits of control on one host.
CORE_PERCENT = 1.6
MEGABYTES = 32
BYTES_PER_SECOND = 9000
#: TCP and IP headers of a frame and its length prefix.
HEADER_BYTES = 44
SECONDS = 60
CHANGES = 2
TICKS_PER_SECOND = 10
MILLISECONDS = 1000
BYTES_PER_MEGABYTE = 1_000_000
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


class HostUnderTest:
    """One host, with peers that answer each of its probes and probe it back."""

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
        self.configuration.update_members(self.membership.view)

    def apply_change(self) -> None:
        """Applies the head in the store, with documents fetched from peers."""
        content = self.store.values[HEAD_KEY].value
        actions = self.configuration.receive_stored_head(content, self.now)
        self._execute(actions)

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
            updates = self._choose_updates()
            reply = ProbeReply(message.number, action.host, head, updates)
            self._receive(reply)
            self._receive(Probe(1, action.host, head, updates))

    def _choose_updates(self) -> tuple[Member, ...]:
        # Every message carries the maximum number of member updates, one
        # of them new to the host.
        count = min(len(self.peers) - 1, MembershipSettings().max_updates + 1)
        chosen = self.random.sample(range(1, len(self.peers)), count)
        for number in chosen[:1]:
            peer = self.peers[number]
            larger = Incarnation(peer.incarnation + 1)
            self.peers[number] = replace(peer, incarnation=larger)
        return tuple(self.peers[number] for number in chosen)

    def _receive(self, message: Probe | ProbeReply) -> None:
        decoded = self._transfer(message)
        assert isinstance(decoded, Probe | ProbeReply)
        self.configuration.receive_head(decoded.sender, decoded.head, self.now)
        for action in self.membership.receive(decoded, self.now):
            if isinstance(action, Send):
                self._transfer(action.message)

    def _transfer(self, message: Message) -> Message:
        # A real host either encodes or decodes a message; this does both.
        encoded = self.traffic.count(encode(message, self.now))
        return decode(encoded, self.now)

    def _execute(self, actions: list[ConfigurationAction]) -> None:
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
                    self._serve_documents(action)

    def _serve_documents(self, announcement: Announce) -> None:
        # Each host that gets the head requests the root, a bucket and a body.
        # Three replies with the root stand for these; one request is counted.
        root = DocumentRequest((announcement.head.digest,))
        for _ in announcement.hosts:
            self._transfer(announcement.head)
            self._transfer(root)
            for _ in range(3):
                self._transfer(self.configuration.answer(root))


def build_store(targets: int) -> tuple[FakeStore, dict[str, bytes]]:
    """Returns a store with a configuration of ``targets`` targets."""
    store = FakeStore()
    bodies = build_bodies(targets)
    publish_bodies(store, 'first', bodies)
    return store, bodies


def measure_size(hosts: int, targets: int) -> Iterator[Measurement]:
    """Yields the figures of one host in a fleet."""
    size = f'{hosts} hosts, {targets} targets'
    store, bodies = build_store(targets)
    gc.collect()
    tracemalloc.start()
    host = HostUnderTest(hosts, store)
    host.apply_change()
    gc.collect()
    megabytes = tracemalloc.get_traced_memory()[0] / BYTES_PER_MEGABYTE
    tracemalloc.stop()
    host.traffic = Traffic()
    spent, install = measure_processor(host, bodies)
    yield limit_value(
        Subject('state.cost.processor', size, SEED),
        PERCENT * spent / SECONDS,
        '% of a core',
        bound=CORE_PERCENT,
    )
    yield limit_value(
        Subject('state.cost.memory', size, SEED),
        megabytes,
        'MB',
        bound=MEGABYTES,
    )
    yield limit_value(
        Subject('state.cost.bytes', size, SEED),
        host.traffic.octets / SECONDS,
        'bytes/s',
        bound=BYTES_PER_SECOND,
    )
    yield note_value(
        Subject('state.cost.install', size, SEED),
        install * MILLISECONDS,
        'ms',
    )
    yield note_value(
        Subject('state.cost.frames', size, SEED),
        host.traffic.frames / SECONDS,
        'frames/s',
    )


def measure_processor(
    host: HostUnderTest,
    bodies: dict[str, bytes],
) -> tuple[float, float]:
    """Returns the processor seconds of a minute, and of its slower change.

    The minute has two changes.
    """
    spent: list[float] = []
    installs: list[float] = []
    for number in range(CHANGES):
        bodies['desk-0003'] = build_service(3, 400 + number)
        publish_bodies(host.store, f'change-{number}', bodies)
        started = time.process_time()
        host.apply_change()
        installs.append(time.process_time() - started)
        for _ in range(SECONDS // CHANGES):
            host.run_second()
        spent.append(time.process_time() - started)
    return sum(spent), max(installs)


@experiment('state.cost', seconds=60)
def measure_cost() -> Iterator[Measurement]:
    """Processor time, memory and bytes of control on one host."""
    for hosts, targets in SIZES:
        yield from measure_size(hosts, targets)
