"""Decides who a caller is, or that it is not let in."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.access._proofs import is_proven
from almonddock_core.routing import (
    Caller,
    Rejected,
    RejectionReason,
    Route,
    RoutingTable,
)

#: The Retry-After of a host that does not know now whether a key counts. Other
#: hosts may know, so it is short.
UNPROVEN_RETRY_MS = 250
UNPROVEN_RETRY_AFTER = timedelta(milliseconds=UNPROVEN_RETRY_MS)

UNKNOWN = Rejected(RejectionReason.UNKNOWN_KEY)
UNPROVEN = Rejected(RejectionReason.UNPROVEN_KEY, UNPROVEN_RETRY_AFTER)


@dataclass(frozen=True, slots=True)
class PresentedKey:
    """What a request says of its caller."""

    route: Route
    #: None if it states no key, or not in one way only.
    key: bytes | None
    #: When it arrived, by the clock of :class:`Belief`.
    arrived: timedelta
    #: Whether it has waited for a read of the store.
    checked: bool = False


@dataclass(frozen=True, slots=True)
class Belief:
    """How well a host knows the configuration in force."""

    #: Everything confirmed before this moment is known; None if nothing is.
    as_of: timedelta | None
    now: timedelta
    #: The time after which a withdrawn key lets nobody in; None without one.
    revocation_bound: timedelta | None = None

    @property
    def age(self) -> timedelta | None:
        """How old the knowledge is; None without any."""
        return None if self.as_of is None else self.now - self.as_of


def identify_caller(
    presented: PresentedKey, table: RoutingTable, belief: Belief
) -> Caller | Rejected | None:
    """Returns the caller, or why it is not let in.

    Returns None if only a read of the store that is sent from now on can tell:
    the key is unknown, and may be newer than the table.
    """
    route = presented.route
    organisations = table.organisations
    if organisations is None or route.public:
        return Caller(route)
    if presented.key is None:
        return UNKNOWN
    organisation = organisations.find(presented.key)
    if organisation is not None:
        if is_proven(belief.age, belief.revocation_bound):
            return Caller(route, organisation)
        return UNPROVEN
    if belief.as_of is not None and belief.as_of >= presented.arrived:
        return UNKNOWN
    return UNPROVEN if presented.checked else None
