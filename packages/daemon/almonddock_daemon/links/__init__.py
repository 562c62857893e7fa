"""TCP links between hosts.

A :class:`LinkMesh` keeps one :class:`Link` for each host that this host
sends to, and accepts links from others.
"""

from almonddock_daemon.links._link import Link
from almonddock_daemon.links._mesh import LinkMesh

__all__ = ['Link', 'LinkMesh']
