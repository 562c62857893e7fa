"""Connections between hosts, with messages encoded by pycapnp.

The library takes longer to load than the rest of the program, so a host that
starts imports this package only after it serves callers.
"""

from almonddock_gateway.links._codec import decode, encode
from almonddock_gateway.links._link import Link
from almonddock_gateway.links._peers import PeerLinks

__all__ = [
    'Link',
    'PeerLinks',
    'decode',
    'encode',
]
