"""What the decisions on quotas ask of the host."""

import enum
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.quotas._messages import CreditQuery


@dataclass(frozen=True, slots=True)
class AskGrantor:
    """Sends a query to another host."""

    grantor: str
    query: CreditQuery


class CreditSource(enum.Enum):
    """What a request was let in with."""

    #: Its organisation has no quota.
    UNLIMITED = 'unlimited'
    #: The host's own part, until a grant covers it.
    OWN = 'own'
    #: A credit that this host granted itself.
    GRANTED_HERE = 'granted_here'
    #: A credit of another host.
    GRANTED = 'granted'


@dataclass(frozen=True, slots=True)
class LetIn:
    """Lets a request in."""

    ticket: int
    source: CreditSource


@dataclass(frozen=True, slots=True)
class TurnAway:
    """Refuses a request: its organisation has used up its quota."""

    ticket: int
    #: When a retry may be let in.
    retry_after: timedelta


QuotaAction = AskGrantor | LetIn | TurnAway
