"""Consecutive free loopback ports, below the ephemeral port range."""

import contextlib
import random
import socket

LOOPBACK = '127.0.0.1'
FIRST_PORT = 20_000
LAST_PORT = 32_000
MAX_TRIES = 100


def find_ports(count: int) -> range:
    """Returns free ports; another process may still take one of them."""
    chooser = random.SystemRandom()
    for _ in range(MAX_TRIES):
        first = chooser.randrange(FIRST_PORT, LAST_PORT - count)
        ports = range(first, first + count)
        if _are_free(ports):
            return ports
    raise OSError(f'found no {count} consecutive free ports')


def _are_free(ports: range) -> bool:
    with contextlib.ExitStack() as stack:
        for port in ports:
            listener = stack.enter_context(socket.socket())
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                listener.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
