"""Requests that go straight to a target, without the tier."""

import secrets
from collections.abc import Mapping

ID_BYTES = 8
BODY = b'{"text":"reed"}'
PATH = '/v1/sub-query'


def build_headers(shard: str) -> Mapping[str, str]:
    """Returns the headers of one sub-query."""
    return {
        'x-request-id': secrets.token_hex(ID_BYTES),
        'x-attempt-id': secrets.token_hex(ID_BYTES),
        'x-shard': shard,
        'x-index-version': '1',
        'x-remaining-ms': '1000',
        'content-type': 'application/json',
    }


def format_request(shard: str) -> bytes:
    """Returns the bytes of the HTTP request for one sub-query."""
    headers = ''.join(
        f'{name}: {text}\r\n' for name, text in build_headers(shard).items()
    )
    head = (
        f'POST {PATH} HTTP/1.1\r\n{headers}content-length: {len(BODY)}\r\n\r\n'
    )
    return head.encode() + BODY
