"""Parses and routes the requests of callers."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.routing import Organisation, Route, RoutingTable
from almonddock_gateway.entry._access import hide_credentials
from almonddock_gateway.http import CallerRequest, drop_hop_by_hop_headers
from almonddock_gateway.settings import HeaderNames

BAD_REQUEST = 400
NOT_FOUND = 404

#: The longest deadline, also for a request without one. The timeout of its
#: route may end a request earlier.
MAX_DEADLINE = timedelta(hours=1)


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request that is invalid or has no route."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route, id and timeout."""

    #: The attempt id that the caller sent.
    request_id: str
    route: Route
    #: How long the caller waits, counted from now.
    timeout: timedelta


def route_request(
    request: CallerRequest,
    table: RoutingTable,
    names: HeaderNames,
) -> RoutedRequest | Rejection:
    """Returns the request with its route, or why it is rejected."""
    request_id = request.find(names.attempt_id)
    host, path = _parse_host_and_path(request)
    if not request_id or not host or not path.startswith('/'):
        return Rejection(BAD_REQUEST, 'id, host or path is missing')
    stated = request.find(names.deadline)
    if stated is not None and not stated.isdigit():
        return Rejection(BAD_REQUEST, 'the deadline is not a number')
    route = table.find_route(host, path)
    if route is None:
        return Rejection(NOT_FOUND, 'no route')
    timeout = MAX_DEADLINE
    if stated is not None:
        timeout = min(timedelta(milliseconds=int(stated[:9])), MAX_DEADLINE)
    return RoutedRequest(request_id.decode('latin-1'), route, timeout)


def format_head(
    request: CallerRequest,
    names: HeaderNames,
    *,
    keyed: bool = False,
    organisation: Organisation | None = None,
) -> bytes:
    """Returns the start line and the headers that every target gets.

    ``keyed`` says that the configuration names organisations: targets get the
    name of the caller's, never its credentials.
    """
    kept = drop_hop_by_hop_headers(
        hide_credentials(request.headers, names) if keyed else request.headers,
        frozenset((names.deadline, names.expected_target)),
    )
    if organisation is not None:
        kept.append((names.organisation, organisation.name.encode()))
    lines = [b'%b: %b\r\n' % pair for pair in kept]
    if request.body or request.find(b'content-length') is not None:
        lines.append(b'content-length: %d\r\n' % len(request.body))
    elif request.find(b'transfer-encoding') is not None:
        lines.append(b'content-length: 0\r\n')
    start = b'%b %b HTTP/1.1\r\n' % (request.method, request.url)
    return start + b''.join(lines)


def _parse_host_and_path(request: CallerRequest) -> tuple[str, str]:
    """Returns the host in lower case without its port, and the path."""
    host = (request.find(b'host') or b'').decode('latin-1')
    url = request.url.decode('latin-1')
    if url.startswith('http://'):
        host, _, rest = url.removeprefix('http://').partition('/')
        url = f'/{rest}'
    name = host.rpartition(':')[0] if ':' in host else host
    return name.lower(), url.partition('?')[0]
