"""Whose turn it is where requests of several organisations wait for room.

Every request gets a turn, the moment up to which others may go ahead of it. An
organisation that has taken more than others is later by a time that grows with
what it took, and no later than :data:`MAX_DELAY`::

    turn = now + shares.measure_delay(caller, now)
    shares.record(caller, work, now)

Answers the load in which a few organisations ask for much more than the room
that is left for all.
"""

from almonddock_core.fairness._shares import MAX_DELAY, FairShares, Turn

__all__ = [
    'MAX_DELAY',
    'FairShares',
    'Turn',
]
