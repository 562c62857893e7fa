"""The part of a request that goes to one service."""

from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.dispatch._requests import TargetReply
from almonddock_core.placement import UnrepeatableRequest
from almonddock_core.routing import KnownTarget


@dataclass(slots=True)
class Attempt:
    """One attempt at one target, until it is answered or ends."""

    number: int
    branch: 'Branch'
    target: KnownTarget
    started: timedelta
    #: Its record at the target, if it must not be sent to another one.
    unrepeatable: UnrepeatableRequest | None = None
    #: Whether it hedges another attempt.
    is_hedge: bool = False
    #: Whether a hedge of this attempt was due; it may not have been allowed.
    hedged: bool = False


@dataclass(slots=True)
class Branch:
    """The state of the request at one service."""

    service: str
    #: Attempts without an outcome yet.
    open: list[Attempt] = field(default_factory=list)
    #: Targets that were tried; a target is asked once for each request.
    tried: set[str] = field(default_factory=set)
    #: Targets that the request was sent to, or may have been.
    sent: int = 0
    #: Whether a target may have run the request without a success.
    may_have_run: bool = False
    #: Whether a target refused the request or another one has its address.
    refused: bool = False
    #: The success, or the failure to forward if no success comes.
    reply: TargetReply | None = None
    #: Whether ``reply`` is a success.
    succeeded: bool = False

    @property
    def ended(self) -> bool:
        """Whether no further reply can come."""
        return self.succeeded or not self.open


@dataclass(frozen=True, slots=True)
class BranchCounts:
    """How far the branches of a request are."""

    answered: int
    #: Branches without a success that have an open attempt.
    waiting: int
