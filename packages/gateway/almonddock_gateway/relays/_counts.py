"""The counts of roll-outs that travel with pings."""

from collections.abc import Callable
from dataclasses import dataclass

from almonddock_gateway.relays._messages import MessageLink


@dataclass(frozen=True, slots=True)
class CountExchange:
    """Records and lists encoded counts; by default there are none."""

    #: Whether a roll-out runs, so that counts are to be passed on.
    is_needed: Callable[[], bool] = bool
    #: Returns the counts that a link has not carried yet.
    list_new: Callable[[MessageLink], bytes] = lambda link: b''
    #: Records the counts that another host has sent.
    record: Callable[[bytes], None] = lambda encoded: None
