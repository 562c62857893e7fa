"""Free loopback ports, so that several runs fit on one machine."""

import contextlib
import random
import socket

LOOPBACK = '127.0.0.1'
#: Below the ephemeral port range of the system.
FIRST_PORT = 10_000
LAST_PORT = 20_000


#: Every port once, so that no port is handed out twice.
_PORTS = iter(
    random.SystemRandom().sample(
        range(FIRST_PORT, LAST_PORT),
        LAST_PORT - FIRST_PORT,
    ),
)


def draw_addresses(count: int) -> list[str]:
    """Returns addresses on which nothing listens now."""
    found: list[str] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            port = next(_PORTS)
            if _bind(stack, port):
                found.append(f'{LOOPBACK}:{port}')
    return found


def _bind(stack: contextlib.ExitStack, port: int) -> bool:
    probe = stack.enter_context(socket.socket())
    try:
        probe.bind((LOOPBACK, port))
    except OSError:
        return False
    return True
