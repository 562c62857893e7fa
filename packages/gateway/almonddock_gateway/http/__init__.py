"""HTTP/1.1 on asyncio protocols, parsed with httptools."""

from almonddock_gateway.http._caller_connection import (
    CallerConnection,
    ConnectionSettings,
    Exchange,
)
from almonddock_gateway.http._client_connection import (
    ClientConnection,
    HttpReply,
    ReplyMatch,
)
from almonddock_gateway.http._connection_limit import ConnectionLimit
from almonddock_gateway.http._messages import (
    Headers,
    drop_hop_by_hop_headers,
    format_headers,
    format_response,
)
from almonddock_gateway.http._reply_memory import ReplyMemory
from almonddock_gateway.http._request_memory import RequestMemory
from almonddock_gateway.http._request_reader import CallerRequest

__all__ = [
    'CallerConnection',
    'CallerRequest',
    'ClientConnection',
    'ConnectionLimit',
    'ConnectionSettings',
    'Exchange',
    'Headers',
    'HttpReply',
    'ReplyMatch',
    'ReplyMemory',
    'RequestMemory',
    'drop_hop_by_hop_headers',
    'format_headers',
    'format_response',
]
