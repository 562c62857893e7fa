"""One try of a request at one target."""

from collections.abc import Callable
from dataclasses import dataclass

from almonddock_core.dispatch import Failure
from almonddock_gateway.http import ClientConnection, HttpReply, Reply


@dataclass(eq=False, slots=True)
class TargetAttempt:
    """What the pool needs to send the request and report its end."""

    #: Returns the request as it is to be sent now; its deadline shrinks.
    encode: Callable[[], bytes]
    #: Takes a reply; says whether it answers this request.
    receive: Callable[[HttpReply], Reply]
    #: Takes the end of the attempt without a reply.
    fail: Callable[[Failure], None]
    #: Whether only a connection in recent use may carry the request, because
    #: it must not be sent again if the connection turns out closed.
    fresh_only: bool
    #: The rank among attempts that wait for a connection; 0 goes first.
    priority: int
    #: Whether the method is HEAD.
    without_body: bool = False
    #: The connection that carries it, once it was sent.
    connection: ClientConnection | None = None
    #: Whether the outcome no longer matters.
    ended: bool = False
