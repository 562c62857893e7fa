"""Connections between hosts, with messages encoded by pycapnp.

pycapnp takes longer to import than the rest of the program, so a host imports
this package only after it has started to serve callers.
"""

from almonddock_gateway.links._codec import decode, encode
from almonddock_gateway.links._link import Link
from almonddock_gateway.links._peers import PeerLinks, PeerLinkSettings

__all__ = [
    'Link',
    'PeerLinkSettings',
    'PeerLinks',
    'decode',
    'encode',
]
