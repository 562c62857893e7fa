"""What hosts ask and grant."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class CreditQuery:
    """Asks a grantor for credits of one organisation.

    Grantors also send it to each other to tell and to learn how long they
    have granted; it asks for no credits then and names no organisation.
    """

    #: Unique among the queries of its sender.
    number: int
    organisation: str
    wanted: int
    #: How long the sender has known the receiver as a grantor, from a store
    #: that it follows; zero if it does not follow it.
    known_for: timedelta


@dataclass(frozen=True, slots=True)
class CreditReply:
    """Grants credits; each lets one request in."""

    number: int
    organisation: str
    granted: int
    #: If fewer were granted than wanted: the time until the next one.
    wait: timedelta
    #: Whether the sender grants, so that no other host has its part.
    grants: bool
