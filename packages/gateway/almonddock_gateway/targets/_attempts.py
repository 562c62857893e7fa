"""One attempt to send a request to one target."""

from collections.abc import Callable
from dataclasses import dataclass

from almonddock_core.dispatch import Failure
from almonddock_gateway.http import ClientConnection, HttpReply, ReplyMatch


@dataclass(eq=False, slots=True)
class TargetAttempt:
    """A request for a pool to send, with callbacks for its outcome."""

    #: Returns the encoded request, with the deadline that is left now.
    encode: Callable[[], bytes]
    #: Handles a reply; returns whether it belongs to this request.
    receive: Callable[[HttpReply], ReplyMatch]
    #: Handles the end of the attempt without a reply.
    fail: Callable[[Failure], None]
    #: Whether only a recently used connection may carry the request, because
    #: it must not be sent again if the target has closed the connection.
    fresh_only: bool
    #: The priority among attempts that wait for a connection; 0 is highest.
    priority: int
    #: Among attempts of one priority, those with an earlier turn go first: a
    #: time in seconds, zero where organisations do not share.
    turn: float = 0
    #: Whether the method is HEAD.
    without_body: bool = False
    #: The connection that carries the request; None until it is sent.
    connection: ClientConnection | None = None
    #: Whether it has an outcome or was cancelled.
    ended: bool = False
