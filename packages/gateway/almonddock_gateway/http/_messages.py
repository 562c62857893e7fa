"""Helpers for HTTP/1.1 messages."""

import http
from collections.abc import Iterable, Iterator, Sequence
from types import MappingProxyType

#: Pairs of header name, in lower case, and content, in the order received.
Headers = Sequence[tuple[bytes, bytes]]

#: Hop-by-hop headers (RFC 9110, 7.6.1), ``expect``, which is answered here, and
#: the content length, which is set again because bodies are forwarded whole.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)

STATUS_LINES = MappingProxyType(
    {
        int(status): f'HTTP/1.1 {int(status)} {status.phrase}\r\n'.encode()
        for status in http.HTTPStatus
    },
)

#: How many received bytes are parsed between two checks of the limits.
PARSED_AT_ONCE_BYTES = 0x1000

NO_BODY_STATUSES = frozenset((204, 304))


def drop_hop_by_hop_headers(
    headers: Headers,
    dropped: frozenset[bytes] = frozenset(),
) -> list[tuple[bytes, bytes]]:
    """Returns the headers to forward, without those in ``dropped``."""
    named = frozenset(
        name.strip().lower()
        for field, content in headers
        if field == b'connection'
        for name in content.split(b',')
    )
    unwanted = HOP_BY_HOP_HEADERS | named | dropped
    return [pair for pair in headers if pair[0] not in unwanted]


def format_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Returns the header lines without the final empty line."""
    return b''.join(
        b'%b: %b\r\n' % (name, content) for name, content in headers
    )


def format_response(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    *,
    close: bool,
    with_body: bool = True,
) -> bytes:
    """Returns a complete response; ``with_body`` is false for HEAD."""
    line = STATUS_LINES.get(status) or b'HTTP/1.1 %d Unknown\r\n' % status
    length = b''
    if status not in NO_BODY_STATUSES:
        length = b'content-length: %d\r\n' % len(body)
    ending = b'connection: close\r\n\r\n' if close else b'\r\n'
    sent = body if with_body and length else b''
    return b''.join((line, format_headers(headers), length, ending, sent))


def split_received(received: bytes) -> Iterator[bytes]:
    """Yields the pieces to parse: a read can be larger than a head may be."""
    for start in range(0, len(received), PARSED_AT_ONCE_BYTES):
        yield received[start : start + PARSED_AT_ONCE_BYTES]
