"""Until when a host may believe that a key has not been withdrawn.

With proof as of ``p``, a withdrawal that the host does not know was confirmed
after ``p``. A request that it handles was sent before, so one that is let in
within the bound after ``p`` was sent within the bound after the withdrawal.
"""

from datetime import timedelta

#: The share of the bound that is left for clocks that do not run alike.
MARGIN_SHARE = 0.05


def choose_proof_limit(bound: timedelta) -> timedelta:
    """Returns the age below which a proof lets callers in.

    ``bound`` is the time after which a withdrawn key lets nobody in.
    """
    return bound * (1 - MARGIN_SHARE)


def is_proven(age: timedelta | None, bound: timedelta | None) -> bool:
    """Whether knowledge of an age lets callers in by the keys it names.

    ``age`` is None if there is no proof, ``bound`` if withdrawal has none.
    """
    if bound is None:
        return True
    return age is not None and age < choose_proof_limit(bound)
