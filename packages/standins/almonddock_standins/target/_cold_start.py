"""How a stand-in target turns cold and becomes warm."""

from almonddock_standins.target._faults import Faults


class ColdStart:
    """Counts replies since the target turned cold."""

    def __init__(self, enough: int) -> None:
        #: Replies after which the target is warm; zero for never.
        self._enough = enough
        self._replies = 0

    def restart(self) -> None:
        """Starts from cold."""
        self._replies = 0

    def count_reply(self) -> None:
        """Counts one reply."""
        self._replies += 1

    def is_cold(self, faults: Faults) -> bool:
        """Returns whether only the cold slots are borne."""
        if not (faults.cold or faults.cold_unannounced):
            return False
        return not self._enough or self._replies < self._enough
