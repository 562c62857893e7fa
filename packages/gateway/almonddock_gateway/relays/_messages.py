"""The messages between hosts."""

import enum
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from almonddock_core.dispatch import LoanOffer
from almonddock_core.quotas import CreditQuery, CreditReply
from almonddock_core.routing import Costs
from almonddock_gateway.store import StoreView


class PartFailure(enum.IntEnum):
    """Why one part of a relayed query failed.

    The numbers are sent over links.
    """

    #: The request was not sent to the target.
    UNSENT = 0
    #: The target may have run the request, but no reply arrived.
    LOST = 1
    #: The target ran the request and failed.
    FAILED = 2
    #: The target refused the request without running it.
    REFUSED = 3
    #: The address belongs to another target, which did not run the request.
    MISDIRECTED = 4


@dataclass(frozen=True, slots=True)
class Ping:
    """Checks that the other host still answers."""

    number: int
    #: Counts of roll-outs that this link has not carried; empty without any.
    counts: bytes = b''


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers a ping."""

    number: int
    #: As in a ping.
    counts: bytes = b''


@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender is stopping and accepts no new queries."""


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """A message of a later release, which is ignored."""


@dataclass(frozen=True, slots=True)
class RelayQuery:
    """A query to send to some targets and answer with merged records."""

    #: Unique on its link.
    number: int
    #: Start line and headers common to all targets.
    head: bytes
    body: bytes
    #: The id of the caller's attempt, which targets echo.
    attempt_id: bytes
    #: The time until the caller's request is given up.
    remaining: timedelta
    #: The delay until the relaying host sends the replies it has.
    flush_after: timedelta
    #: The most records in a merged reply.
    top: int
    #: Only greater records are wanted; empty if all are.
    threshold: bytes
    #: The priority among requests that wait for a connection; 0 is highest.
    priority: int
    #: The ids of the targets, one for each part.
    targets: tuple[str, ...]
    #: The typical time in which targets answer such requests; 0 if unknown.
    typical_latency: timedelta = timedelta()
    #: How much later than its arrival the turn of the query is; None where
    #: organisations do not share.
    delay: timedelta | None = None


@dataclass(frozen=True, slots=True)
class RelayCancel:
    """Cancels some parts of a query."""

    number: int
    parts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class RelayReply:
    """The merged replies of some parts of a query, and failed parts."""

    number: int
    parts: tuple[int, ...]
    stamps: tuple[bytes, ...]
    #: The time from the send to each target until its reply.
    elapsed: tuple[timedelta, ...]
    #: The greatest records of these parts, without those that the query's
    #: threshold and the earlier replies to it rule out.
    records: bytes
    failures: tuple[tuple[int, PartFailure], ...]
    #: What the sender knows of costly targets of its data centre; empty if it
    #: has sent the same over this link before.
    costs: Costs = ()


class StoreOutcome(enum.IntEnum):
    """The outcome of a read of the store for another host.

    The numbers are sent over links.
    """

    ANSWERED = 0
    LOST = 1
    HISTORY_LOST = 2


@dataclass(frozen=True, slots=True)
class StoreQuery:
    """A read of the store on behalf of the sender."""

    #: Unique on its link.
    number: int
    prefix: str
    #: Reads the changes after this revision; None reads all items.
    after: int | None
    #: How long to wait for the first change.
    wait: timedelta
    #: The costs of targets that the sender has observed itself.
    costs: Costs = ()
    #: What the sender lends of its retry budget.
    offer: LoanOffer = LoanOffer()
    #: Whether the sender tells the eras of the store apart; false for earlier
    #: releases.
    knows_eras: bool = True


@dataclass(frozen=True, slots=True)
class StoreReply:
    """The result of a store query; ``view`` is empty after a failure."""

    number: int
    outcome: StoreOutcome
    view: StoreView
    #: How long before the query arrived the read was sent that shows the view;
    #: negative if after it. None if the sender does not say.
    view_age: timedelta | None = None
    #: The costs of targets that hosts of the data centre have observed.
    costs: Costs = ()
    #: The sender's clock, which means nothing to others; zero if the sender
    #: grants no attempts.
    clock: timedelta = timedelta()
    #: Whether the sender tells the eras of the store apart; false for earlier
    #: releases.
    knows_eras: bool = True


@dataclass(frozen=True, slots=True)
class GrantQuery:
    """Asks for one attempt at each of some services beyond the own share."""

    #: Unique on its link.
    number: int
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class GrantReply:
    """The indices of the services at which an attempt is granted."""

    number: int
    granted: tuple[int, ...]


class MessageLink(Protocol):
    """A connection to another host."""

    @property
    def usable(self) -> bool:
        """Whether the other host has answered recently."""
        ...

    def send(self, message: 'LinkMessage') -> None:
        """Sends a message; drops it if the link is closed."""
        ...


LinkMessage = (
    Ping
    | Pong
    | Leaving
    | RelayQuery
    | RelayCancel
    | RelayReply
    | StoreQuery
    | StoreReply
    | CreditQuery
    | CreditReply
    | UnknownMessage
    | GrantQuery
    | GrantReply
)
