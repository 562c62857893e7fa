"""Connections of callers and strangers that misuse the ports of a host.

Runs as a process of its own, so that the bytes it sends do not delay the
callers, the targets and the store, which run in the soak's process::

    python -m soak.strangers UNREAD 127.0.0.1 8104 7
"""

import asyncio
import enum
import functools
import random
import struct
import sys
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from almonddock_gateway.links import encode
from almonddock_gateway.relays import Leaving, Ping, Pong, RelayCancel
from almonddock_platform.tests.standins import RequestDraft, encode_request

#: Starts the ids of the requests of strangers, which are not checked.
ID_PREFIX = 'stranger-'

#: Seconds within which a caller wants an answer, in milliseconds.
DEADLINE_MS = 4000

#: The number of connections that are open at the same time. The smallest
#: machine of the users has 4,100 descriptors.
HALF_BODIES = 1500
UNREAD_ANSWERS = 400
HALF_FRAMES = 100
IDLE_LINKS = 1000
IDLE_CALLERS = 4400

#: The largest body that a caller may send, and what it sends of it, in bytes.
BODY_BYTES = 262_144
SENT_BYTES = 250_000

#: The size of an answer that is not read, in bytes.
ANSWER_BYTES = 1_000_000

#: The requests that each of these connections sends in line.
REQUESTS_IN_LINE = 4

#: The largest frame between hosts, in bytes.
FRAME_BYTES = 0x800000

#: The bits of the window of the compressed stream between hosts.
WINDOW_BITS = 13

#: Frames that are mutated: messages as hosts send them, and a packed one that
#: ends too early (docs/incidents/023).
FRAMES = (
    encode(Ping(1)),
    encode(Pong(1)),
    encode(Leaving()),
    encode(RelayCancel(7, (1, 2))),
    bytes.fromhex('010450020101030501'),
)

#: The pause between two connections that send junk, in seconds.
JUNK_PAUSE_S = 0.01

#: One in so many connections sends random bytes, and of the others one in so
#: many frames without compression.
JUNK_KINDS = 5

#: The most bytes of junk on one connection.
MAX_JUNK_BYTES = 2000


class StrangerKind(enum.Enum):
    """What the connections do."""

    HALF_BODY = 'send the most of a body, and stop'
    UNREAD = 'ask for long answers, and read none'
    JUNK = 'send mutated and random frames'
    HALF_FRAME = 'send the most of a compressed frame, and stop'
    IDLE_LINK = 'send nothing, to the port for links'
    IDLE_CALLER = 'send nothing, to the port for callers'


@dataclass(frozen=True, slots=True)
class Port:
    """The port of a host that is misused."""

    host: str
    number: int
    rng: random.Random


def encode_half_body(number: int) -> bytes:
    """Returns a request without the end of its body."""
    draft = RequestDraft(
        '/order/new',
        f'{ID_PREFIX}{number}',
        DEADLINE_MS,
        'POST',
        bytes(BODY_BYTES),
    )
    return encode_request(draft)[: SENT_BYTES - BODY_BYTES]


def encode_long_requests(number: int) -> bytes:
    """Returns requests in line, each for a long answer."""
    return b''.join(
        encode_request(
            RequestDraft(
                f'/one/fetch?padding={ANSWER_BYTES}',
                f'{ID_PREFIX}{number}-{turn}',
                DEADLINE_MS,
            ),
        )
        for turn in range(REQUESTS_IN_LINE)
    )


def compress(sent: bytes) -> bytes:
    """Returns the start of a stream between hosts."""
    compressor = zlib.compressobj(wbits=-WINDOW_BITS)
    return compressor.compress(sent) + compressor.flush(zlib.Z_SYNC_FLUSH)


@functools.cache
def encode_half_frame() -> bytes:
    """Returns the start of a stream with a frame that does not end."""
    prefix = struct.pack('>I', FRAME_BYTES)
    return compress(prefix + bytes(FRAME_BYTES - 1))


def draw_junk(rng: random.Random) -> bytes:
    """Returns mutated frames, with or without compression, or random bytes."""
    if rng.randrange(JUNK_KINDS) == 0:
        return rng.randbytes(rng.randrange(1, MAX_JUNK_BYTES))
    frame = bytearray(rng.choice(FRAMES) + bytes(rng.randrange(20)))
    for _ in range(rng.randrange(4)):
        frame[rng.randrange(len(frame))] = rng.randrange(256)
    cut = bytes(frame[: rng.randrange(1, len(frame) + 1)])
    framed = struct.pack('>I', len(cut)) + cut
    return compress(framed) if rng.randrange(JUNK_KINDS) else framed


async def hold_connections(
    port: Port, count: int, encode: Callable[[int], bytes]
) -> None:
    """Opens connections that send something, read nothing and stay open."""
    # Keeps the writers, which would close their connections at their end.
    held = await asyncio.gather(
        *(_hold(port, encode(number)) for number in range(count)),
        return_exceptions=True,
    )
    await asyncio.Event().wait()
    del held


async def send_junk(port: Port) -> None:
    """Opens connections that send junk, one after the other."""
    while True:
        try:
            writer = await _hold(port, draw_junk(port.rng))
        except OSError:
            # The process ended or was killed: it is started again.
            await asyncio.sleep(JUNK_PAUSE_S)
            continue
        await asyncio.sleep(JUNK_PAUSE_S)
        writer.close()


def _send_nothing(number: int) -> bytes:
    return b''


async def _hold(port: Port, sent: bytes) -> asyncio.StreamWriter:
    _, writer = await asyncio.open_connection(port.host, port.number)
    # The stream reads no more than its limit, and then leaves the rest to the
    # buffers of the kernel.
    writer.write(sent)
    return writer


#: The number of connections of each kind that are held, and what each sends.
_HELD: Mapping[StrangerKind, tuple[int, Callable[[int], bytes]]] = (
    MappingProxyType(
        {
            StrangerKind.HALF_BODY: (HALF_BODIES, encode_half_body),
            StrangerKind.UNREAD: (UNREAD_ANSWERS, encode_long_requests),
            StrangerKind.HALF_FRAME: (
                HALF_FRAMES,
                lambda _: encode_half_frame(),
            ),
            StrangerKind.IDLE_LINK: (IDLE_LINKS, _send_nothing),
            StrangerKind.IDLE_CALLER: (IDLE_CALLERS, _send_nothing),
        },
    )
)


def main(name: str, host: str, number: str, seed: str) -> None:
    """Misuses a port until the process is killed."""
    kind = StrangerKind[name]
    port = Port(host, int(number), random.Random(seed))
    if kind is StrangerKind.JUNK:
        asyncio.run(send_junk(port))
    else:
        asyncio.run(hold_connections(port, *_HELD[kind]))


if __name__ == '__main__':
    main(*sys.argv[1:])
