"""Calls hosts over HTTP.

The entry host of a query is the one to which the caller sent it.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import httpx

TIMEOUT_S = 15


@dataclass(frozen=True, slots=True)
class HostReply:
    """The response of one host, or why there is none."""

    url: str
    #: The parsed body; empty when the host did not answer in JSON.
    body: dict[str, Any]
    #: The HTTP status; 0 when the host did not answer in JSON.
    status: int = 0
    #: Why there is no answer; empty when there is one.
    error: str = ''
    #: Whether the host may have received the request.
    sent: bool = True


def call_host(
    method: str,
    url: str,
    path: str,
    document: dict[str, Any] | None = None,
) -> HostReply:
    """Calls one host; failures are returned in the reply, not raised."""
    try:
        response = httpx.request(
            method,
            f'{url.rstrip("/")}{path}',
            json=document,
            timeout=TIMEOUT_S,
            trust_env=False,
        )
        return HostReply(url, response.json(), response.status_code)
    except (httpx.ConnectError, httpx.ConnectTimeout) as refused:
        return HostReply(url, {}, error=repr(refused), sent=False)
    except (httpx.HTTPError, ValueError) as error:
        return HostReply(url, {}, error=repr(error))


def call_first(
    method: str,
    urls: Sequence[str],
    path: str,
    document: dict[str, Any] | None = None,
) -> HostReply:
    """Calls the hosts in turn until one answers."""
    reply = HostReply('', {}, error='no host was named')
    for url in urls:
        reply = call_host(method, url, path, document)
        if reply.status:
            break
    return reply
