"""The token bucket that hedges and retries draw from."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """How many tries a host may send beyond one for each shard."""

    #: Tokens earned by each first try.
    share: float = 0.05
    #: Tokens kept at most, which bounds a burst of extra tries.
    capacity: float = 100
    #: Tokens in a new bucket, so that the first queries may hedge.
    initial: float = 5


class TryBudget:
    """Bounds the extra tries of all queries of one host together.

    Call :meth:`earn` for first tries, then :meth:`spend` before each hedge
    or retry. :meth:`borrow` pays for a try that must go out in any case; the
    debt is paid back before the next hedge.
    """

    def __init__(self, settings: BudgetSettings | None = None) -> None:
        self._settings = settings or BudgetSettings()
        self._tokens = self._settings.initial

    @property
    def tokens(self) -> float:
        """The tokens left; negative while a debt is open."""
        return self._tokens

    def earn(self, tries: int) -> None:
        """Adds what ``tries`` first tries earn."""
        earned = self._tokens + tries * self._settings.share
        self._tokens = min(earned, self._settings.capacity)

    def spend(self) -> bool:
        """Takes a token for one extra try; returns whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def borrow(self) -> None:
        """Takes a token even when there is none, down to a full debt."""
        self._tokens = max(self._tokens - 1, -self._settings.capacity)
