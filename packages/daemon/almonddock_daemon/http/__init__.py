"""The HTTP interface for callers, operators and the balancer.

:func:`build_application` builds it from :class:`HttpPorts`, and
:func:`build_server` binds it to an address.
"""

from almonddock_daemon.http._application import HttpPorts, build_application
from almonddock_daemon.http._requests import (
    QueryRequest,
    build_query,
    parse_request,
)
from almonddock_daemon.http._responses import format_answer, format_error
from almonddock_daemon.http._server import HttpServer, build_server

__all__ = [
    'HttpPorts',
    'HttpServer',
    'QueryRequest',
    'build_application',
    'build_query',
    'build_server',
    'format_answer',
    'format_error',
    'parse_request',
]
