"""The token bucket that limits hedges and retries."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """How many tries a host may send beyond one for each shard."""

    #: Tokens added for each first try.
    share: float = 0.05
    #: The most tokens in the bucket, which limits a burst of extra tries.
    capacity: float = 100
    #: Tokens in a new bucket, so that the first queries can hedge.
    initial: float = 5


class AttemptBudget:
    """Limits the extra tries of all queries of one host together.

    Call :meth:`refill` for first tries, then :meth:`spend` before each hedge
    or retry. :meth:`borrow` charges for a try that must be sent in any case;
    the balance may become negative, and :meth:`spend` fails below one token.
    """

    def __init__(self, settings: BudgetSettings | None = None) -> None:
        self._settings = settings or BudgetSettings()
        self._tokens = self._settings.initial

    @property
    def tokens(self) -> float:
        """The tokens left; may be negative after borrowing."""
        return self._tokens

    def refill(self, tries: int) -> None:
        """Adds the tokens for ``tries`` first tries."""
        earned = self._tokens + tries * self._settings.share
        self._tokens = min(earned, self._settings.capacity)

    def spend(self) -> bool:
        """Takes a token for one extra try; returns False without one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def borrow(self) -> None:
        """Takes a token even from an empty bucket, down to ``-capacity``."""
        self._tokens = max(self._tokens - 1, -self._settings.capacity)
