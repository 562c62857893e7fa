"""Who a caller is, by its key, and whether the key still counts.

A key is known if the configuration in force names it. That alone does not say
that it counts: a newer version may have withdrawn it, or added one that is not
known yet. How old the host's knowledge is decides::

    decision = identify_caller(presented, table, belief)
    if decision is None:
        ...  # wait for a read of the store, then decide again

"""

from almonddock_core.access._credentials import parse_key
from almonddock_core.access._identification import (
    UNPROVEN,
    Belief,
    PresentedKey,
    identify_caller,
)
from almonddock_core.access._key_checks import (
    CHECK_INTERVAL,
    MAX_WAITING,
    KeyCheckSchedule,
)
from almonddock_core.access._proofs import (
    choose_proof_limit,
    is_proven,
)

__all__ = [
    'CHECK_INTERVAL',
    'MAX_WAITING',
    'UNPROVEN',
    'Belief',
    'KeyCheckSchedule',
    'PresentedKey',
    'choose_proof_limit',
    'identify_caller',
    'is_proven',
    'parse_key',
]
